// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package request

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/verdict"
)

// EventType is the type of an event of an answer. The types are listed in the order in which
// events are sent.
type EventType string

const (
	// EventAccepted is the first event: the request was admitted.
	EventAccepted EventType = "accepted"
	// EventCheckpoint lets the caller resume the request at another node. It is sent for
	// repeatable requests only.
	EventCheckpoint EventType = "checkpoint"
	// EventChunk has the next part of the answer.
	EventChunk EventType = "chunk"
	// EventDone ends a complete answer.
	EventDone EventType = "done"
	// EventFailed ends a request without a complete answer.
	EventFailed EventType = "failed"
)

// Event is one event of an answer. The field that corresponds to Type is set.
type Event struct {
	// Type determines which field is set.
	Type EventType `json:"-"`
	// Accepted is set for EventAccepted.
	Accepted *Accepted `json:"accepted,omitempty"`
	// Checkpoint is set for EventCheckpoint.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// Chunk is set for EventChunk.
	Chunk *Chunk `json:"chunk,omitempty"`
	// Done is set for EventDone.
	Done *Done `json:"done,omitempty"`
	// Failed is set for EventFailed.
	Failed *Failed `json:"failed,omitempty"`
}

// Accepted reports which node runs the request.
type Accepted struct {
	ID      ID             `json:"id"`
	Node    netip.AddrPort `json:"node"`
	Attempt int            `json:"attempt"`
	// Deadline is the remaining time.
	Deadline pipeline.Duration `json:"deadline"`
	// Repeatable is set if the request may run again, so that checkpoints follow.
	Repeatable bool `json:"repeatable"`
}

// Chunk is one part of the answer. The chunks of an attempt replace those of all earlier
// attempts.
type Chunk struct {
	Attempt int `json:"attempt"`
	// Sequence counts the chunks of the attempt from 0, without gaps.
	Sequence int    `json:"seq"`
	Text     string `json:"text"`
}

// StageCost is the time and the attempts that one stage of a request took.
type StageCost struct {
	Stage    string            `json:"stage"`
	Server   netip.AddrPort    `json:"server"`
	Attempts int               `json:"attempts"`
	Wait     pipeline.Duration `json:"wait"`
	Work     pipeline.Duration `json:"work"`
}

// Done ends a complete answer.
type Done struct {
	ID      ID  `json:"id"`
	Attempt int `json:"attempt"`
	// Chunks is the number of chunks of the answer.
	Chunks int `json:"chunks"`
	// Digest is the SHA-256 of the whole text, in hexadecimal.
	Digest string      `json:"digest"`
	Costs  []StageCost `json:"costs"`
}

// Failed ends a request without a complete answer. It is also the body of a response that
// refuses a request.
type Failed struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	// Settled is set if nothing will ever run under the id of the request.
	Settled bool   `json:"settled,omitempty"`
	Message string `json:"message,omitempty"`
	// RetryAfter is how long to wait before a retry; 0 gives no advice.
	RetryAfter pipeline.Duration `json:"retry_after,omitempty"`
	// Addresses has other entry hosts and fresh ids, if these help.
	Addresses *Addresses  `json:"addresses,omitempty"`
	Costs     []StageCost `json:"costs,omitempty"`
}

// NewFailed converts err to the form that callers receive.
func NewFailed(err error) Failed {
	e := verdict.As(err)
	f := Failed{Verdict: e.Verdict, Reason: e.Reason, RetryAfter: pipeline.Duration(e.RetryAfter), Settled: e.Settled}
	if e.Err != nil {
		f.Message = e.Err.Error()
	}
	return f
}

// Err converts f to an error with its verdict.
func (f Failed) Err() *verdict.Error {
	e := verdict.New(f.Verdict, f.Reason, "%s", f.Message)
	e.Settled = f.Settled && f.Verdict == verdict.NotRun
	return e.WithRetryAfter(time.Duration(f.RetryAfter))
}

// Status is the status of a request.
type Status struct {
	ID ID `json:"id"`
	// State is running, done or failed.
	State   State   `json:"state"`
	Attempt int     `json:"attempt"`
	Stage   string  `json:"stage,omitempty"`
	Chunks  int     `json:"chunks"`
	Failed  *Failed `json:"failed,omitempty"`
}

// State is the state of a request.
type State string

const (
	// StateRunning means that the answer is not complete yet.
	StateRunning State = "running"
	// StateDone means that the complete answer is retained.
	StateDone State = "done"
	// StateFailed means that the request ended without a complete answer.
	StateFailed State = "failed"
)

// DecodeEvent decodes and checks the data of one server-sent event.
func DecodeEvent(kind string, data []byte) (Event, error) {
	e := Event{Type: EventType(kind)}
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, fmt.Errorf("request: event %q: %w", kind, err)
	}
	hasContent := map[EventType]bool{
		EventAccepted:   e.Accepted != nil,
		EventCheckpoint: e.Checkpoint != nil,
		EventChunk:      e.Chunk != nil,
		EventDone:       e.Done != nil,
		EventFailed:     e.Failed != nil,
	}
	if !hasContent[e.Type] {
		return Event{}, fmt.Errorf("request: event %q has no content of its type", kind)
	}
	return e, nil
}

// Digest computes the digest of the text of an answer.
type Digest struct{ h hash.Hash }

// NewDigest returns the digest of the empty text.
func NewDigest() Digest {
	return Digest{h: sha256.New()}
}

// Add appends text to the digested text.
func (d Digest) Add(text string) {
	_, _ = d.h.Write([]byte(text))
}

// Sum returns the digest in hexadecimal.
func (d Digest) Sum() string {
	return hex.EncodeToString(d.h.Sum(nil))
}
