// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/dunglas/httpsfv"

	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
)

// Headers of the backend protocols.
const (
	// HeaderRequest, HeaderStage and HeaderAttempt name the call; the server
	// echoes them, and an answer that does not is dropped.
	HeaderRequest = "Wingvale-Request"
	HeaderStage   = "Wingvale-Stage"
	HeaderAttempt = "Wingvale-Attempt"
	// HeaderDeadline is the time left, in whole milliseconds.
	HeaderDeadline = "Wingvale-Deadline-Ms"
	// HeaderStream names the stream that an engine's answer belongs to.
	HeaderStream = "Wingvale-Stream"
	// HeaderNotStarted is "true" on a refusal of a call that did not start.
	HeaderNotStarted = "Wingvale-Not-Started"
	// HeaderLoad is the server's load report.
	HeaderLoad = "Wingvale-Load"
)

// Paths of the backend protocols.
const (
	PathStages      = "/v1/stages/"
	PathCompletions = "/v1/completions"
	PathStreams     = "/v1/streams/"
	PathLoad        = "/v1/load"
	PathOrders      = "/v1/orders"
	PathCacheEvents = "/v1/cache-events"
)

// MaxResultBytes bounds the result of one stage.
const MaxResultBytes = 1 << 20

// Load is what a backend server says of itself.
type Load struct {
	// Instance names this run of the server.
	Instance string
	// Running calls are worked on, Waiting ones are not yet.
	Running int
	Waiting int
	// Slots is how many calls the server works on at once.
	Slots int
	// Leaving says that the server wants no new work.
	Leaving bool
}

// Marshal returns the header's form: a dictionary of RFC 9651.
func (l Load) Marshal() string {
	d := httpsfv.NewDictionary()
	d.Add("running", httpsfv.NewItem(int64(l.Running)))
	d.Add("waiting", httpsfv.NewItem(int64(l.Waiting)))
	d.Add("slots", httpsfv.NewItem(int64(l.Slots)))
	d.Add("instance", httpsfv.NewItem(l.Instance))
	d.Add("leaving", httpsfv.NewItem(l.Leaving))
	text, err := httpsfv.Marshal(d)
	if err != nil {
		return ""
	}
	return text
}

// maxLoad keeps a reported number from being taken at any size.
const maxLoad = 1 << 20

// ParseLoad reads the header's form. It reports false where it is missing or
// malformed, which costs quality and never a promise.
func ParseLoad(header http.Header) (Load, bool) {
	values := header.Values(HeaderLoad)
	if len(values) != 1 {
		return Load{}, false
	}
	d, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return Load{}, false
	}
	l := Load{
		Running: number(d, "running"),
		Waiting: number(d, "waiting"),
		Slots:   number(d, "slots"),
	}
	if item, ok := member(d, "instance").(string); ok && len(item) <= pipeline.MaxNameBytes {
		l.Instance = item
	}
	l.Leaving, _ = member(d, "leaving").(bool)
	return l, true
}

func member(d *httpsfv.Dictionary, name string) any {
	m, ok := d.Get(name)
	if !ok {
		return nil
	}
	item, ok := m.(httpsfv.Item)
	if !ok {
		return nil
	}
	return item.Value
}

func number(d *httpsfv.Dictionary, name string) int {
	n, _ := member(d, name).(int64)
	return int(min(max(n, 0), maxLoad))
}

// StageCall is the body of a call to a pool or a plain service.
type StageCall struct {
	Request   request.ID `json:"request"`
	Stage     string     `json:"stage"`
	Attempt   int        `json:"attempt"`
	Workspace string     `json:"workspace"`
	// Input is the caller's text.
	Input string `json:"input"`
	// Previous is the result of the stage before, or absent.
	Previous json.RawMessage `json:"previous,omitempty"`
	// Unrepeatable says that the call is never sent again.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
}

// StageAnswer is the body of its answer.
type StageAnswer struct {
	Request request.ID      `json:"request"`
	Stage   string          `json:"stage"`
	Attempt int             `json:"attempt"`
	Result  json.RawMessage `json:"result"`
}

// Check reports what is missing of a.
func (a StageAnswer) Check() error {
	if len(a.Result) == 0 {
		return fmt.Errorf("protocol: an answer without a result")
	}
	return nil
}

// Completion is the body of a call to an engine: the usual completion call
// with a few fields more.
type Completion struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// Stream is always true.
	Stream bool `json:"stream"`
	// Priority is lower for what must come first.
	Priority int    `json:"priority"`
	User     string `json:"user"`
}

// CompletionChunk is one event of an engine's stream.
type CompletionChunk struct {
	// ID names the stream and is the same in all its events.
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *CompletionUsage   `json:"usage,omitempty"`
}

// CompletionChoice is the text of one event.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// CompletionUsage counts tokens and stands in the last event.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is how much of the prompt came from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// StreamEnd is the data that ends a whole stream.
const StreamEnd = "[DONE]"

// Refusal is the body of any status that is not 200.
type Refusal struct {
	Error string `json:"error"`
	// RetryAfter says when to come back.
	RetryAfter pipeline.Duration `json:"retry_after,omitempty"`
}
