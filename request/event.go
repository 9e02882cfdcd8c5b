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

// EventType names the events of an answer, in the order they come.
type EventType string

const (
	// EventAccepted comes first: the request was admitted.
	EventAccepted EventType = "accepted"
	// EventCheckpoint lets the caller resume elsewhere; repeatable only.
	EventCheckpoint EventType = "checkpoint"
	// EventChunk bears the next part of the answer.
	EventChunk EventType = "chunk"
	// EventDone ends a whole answer.
	EventDone EventType = "done"
	// EventFailed ends a request that gave no whole answer.
	EventFailed EventType = "failed"
)

// Event is one step of an answer: the field that Type names is set.
type Event struct {
	// Type tells which field is set.
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

// Accepted says who runs the request.
type Accepted struct {
	ID      ID             `json:"id"`
	Node    netip.AddrPort `json:"node"`
	Attempt int            `json:"attempt"`
	// Deadline is the time left.
	Deadline pipeline.Duration `json:"deadline"`
	// Repeatable says that checkpoints follow.
	Repeatable bool `json:"repeatable"`
}

// Chunk is one part of the answer. Chunks of a higher attempt replace all
// chunks of lower ones.
type Chunk struct {
	Attempt int `json:"attempt"`
	// Sequence counts from 0 without gaps within the attempt.
	Sequence int    `json:"seq"`
	Text     string `json:"text"`
}

// StageCost is what one stage of one request took.
type StageCost struct {
	Stage    string            `json:"stage"`
	Server   netip.AddrPort    `json:"server"`
	Attempts int               `json:"attempts"`
	Wait     pipeline.Duration `json:"wait"`
	Work     pipeline.Duration `json:"work"`
}

// Done ends a whole answer.
type Done struct {
	ID      ID  `json:"id"`
	Attempt int `json:"attempt"`
	// Chunks is how many chunks the answer has.
	Chunks int `json:"chunks"`
	// Digest is the SHA-256 of all text, in hexadecimal.
	Digest string      `json:"digest"`
	Costs  []StageCost `json:"costs"`
}

// Failed ends a request without a whole answer. As a response body it is also
// what a refusal looks like.
type Failed struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	// Settled says that nothing will ever run under the request's id.
	Settled bool   `json:"settled,omitempty"`
	Message string `json:"message,omitempty"`
	// RetryAfter says when to come back; 0 says nothing.
	RetryAfter pipeline.Duration `json:"retry_after,omitempty"`
	// Addresses are other entry hosts and fresh ids, where that helps.
	Addresses *Addresses  `json:"addresses,omitempty"`
	Costs     []StageCost `json:"costs,omitempty"`
}

// FailedOf returns err as the caller sees it.
func FailedOf(err error) Failed {
	e := verdict.As(err)
	f := Failed{Verdict: e.Verdict, Reason: e.Reason, RetryAfter: pipeline.Duration(e.RetryAfter), Settled: e.Settled}
	if e.Err != nil {
		f.Message = e.Err.Error()
	}
	return f
}

// Err returns f as an error with its verdict.
func (f Failed) Err() *verdict.Error {
	e := verdict.New(f.Verdict, f.Reason, "%s", f.Message)
	e.Settled = f.Settled && f.Verdict == verdict.NotRun
	return e.After(time.Duration(f.RetryAfter))
}

// Status is what became of a request.
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
	// StateRunning means that the answer is not complete.
	StateRunning State = "running"
	// StateDone means that the whole answer is retained.
	StateDone State = "done"
	// StateFailed means that the request ended without a whole answer.
	StateFailed State = "failed"
)

// DecodeEvent reads the data of one server-sent event and checks it.
func DecodeEvent(kind string, data []byte) (Event, error) {
	e := Event{Type: EventType(kind)}
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, fmt.Errorf("request: event %q: %w", kind, err)
	}
	set := map[EventType]bool{
		EventAccepted:   e.Accepted != nil,
		EventCheckpoint: e.Checkpoint != nil,
		EventChunk:      e.Chunk != nil,
		EventDone:       e.Done != nil,
		EventFailed:     e.Failed != nil,
	}
	if !set[e.Type] {
		return Event{}, fmt.Errorf("request: event %q lacks its content", kind)
	}
	return e, nil
}

// Digest sums the text of an answer.
type Digest struct{ h hash.Hash }

// NewDigest returns the digest of no text.
func NewDigest() Digest {
	return Digest{h: sha256.New()}
}

// Add takes the next text in.
func (d Digest) Add(text string) {
	_, _ = d.h.Write([]byte(text))
}

// Sum returns the digest in hexadecimal.
func (d Digest) Sum() string {
	return hex.EncodeToString(d.h.Sum(nil))
}
