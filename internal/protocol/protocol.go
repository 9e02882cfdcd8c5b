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
	// HeaderRequest, HeaderStage and HeaderAttempt identify the call. The server echoes them,
	// and an answer that does not match is discarded.
	HeaderRequest = "Wingvale-Request"
	HeaderStage   = "Wingvale-Stage"
	HeaderAttempt = "Wingvale-Attempt"
	// HeaderDeadline is the remaining time in whole milliseconds.
	HeaderDeadline = "Wingvale-Deadline-Ms"
	// HeaderStream identifies the stream that an engine's answer belongs to.
	HeaderStream = "Wingvale-Stream"
	// HeaderNotStarted is "true" in the refusal of a call that was not started.
	HeaderNotStarted = "Wingvale-Not-Started"
	// HeaderLoad is the load report of the server.
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

// MaxResultBytes limits the result of one stage.
const MaxResultBytes = 1 << 20

// Load is the load report of a backend server.
type Load struct {
	// Instance identifies this run of the server.
	Instance string
	// Running is the number of calls being processed, Waiting that of queued calls.
	Running int
	Waiting int
	// Slots is how many calls the server processes concurrently.
	Slots int
	// Leaving is set if the server accepts no new work.
	Leaving bool
}

// Marshal returns the value of the header: a structured field dictionary (RFC 9651).
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

// maxLoad caps the numbers in a report.
const maxLoad = 1 << 20

// ParseLoad parses the load header. It returns false if the header is missing or malformed,
// which degrades scheduling but never correctness.
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
		Running: loadNumber(d, "running"),
		Waiting: loadNumber(d, "waiting"),
		Slots:   loadNumber(d, "slots"),
	}
	if item, ok := itemValue(d, "instance").(string); ok && len(item) <= pipeline.MaxNameBytes {
		l.Instance = item
	}
	l.Leaving, _ = itemValue(d, "leaving").(bool)
	return l, true
}

func itemValue(d *httpsfv.Dictionary, name string) any {
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

func loadNumber(d *httpsfv.Dictionary, name string) int {
	n, _ := itemValue(d, name).(int64)
	return int(min(max(n, 0), maxLoad))
}

// StageCall is the body of a call to a pool or a plain service.
type StageCall struct {
	Request   request.ID `json:"request"`
	Stage     string     `json:"stage"`
	Attempt   int        `json:"attempt"`
	Workspace string     `json:"workspace"`
	// Input is the input of the caller.
	Input string `json:"input"`
	// Previous is the result of the previous stage; absent for the first stage.
	Previous json.RawMessage `json:"previous,omitempty"`
	// Unrepeatable is set if the call is never sent again.
	Unrepeatable bool `json:"unrepeatable,omitempty"`
}

// StageAnswer is the body of the answer to a StageCall.
type StageAnswer struct {
	Request request.ID      `json:"request"`
	Stage   string          `json:"stage"`
	Attempt int             `json:"attempt"`
	Result  json.RawMessage `json:"result"`
}

// Check reports an error if the answer has no result.
func (a StageAnswer) Check() error {
	if len(a.Result) == 0 {
		return fmt.Errorf("protocol: the answer has no result")
	}
	return nil
}

// Completion is the body of a call to an engine: a standard completion call with a few
// additional fields.
type Completion struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// Stream is always true.
	Stream bool `json:"stream"`
	// Priority orders calls; lower values are served first.
	Priority int    `json:"priority"`
	User     string `json:"user"`
}

// CompletionChunk is one event of an engine's stream.
type CompletionChunk struct {
	// ID identifies the stream and is the same in all its events.
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

// CompletionUsage counts tokens; it is part of the last event.
type CompletionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// CachedTokens is how many tokens of the prompt were in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// StreamEnd is the data of the event that ends a complete stream.
const StreamEnd = "[DONE]"

// Refusal is the body of any answer whose status is not 200.
type Refusal struct {
	Error string `json:"error"`
	// RetryAfter is how long to wait before a retry.
	RetryAfter pipeline.Duration `json:"retry_after,omitempty"`
}
