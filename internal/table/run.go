// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"context"
	"sync"
	"time"

	"github.com/wingvale/wingvale/request"
)

// Run is one request that has started here. It is safe for concurrent use.
type Run struct {
	// ID, Spec and Started never change.
	ID      request.ID
	Spec    request.Spec
	Started time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// accepted is set before anything else.
	accepted *request.Accepted
	// checkpoint is the last one and version counts them.
	checkpoint *request.Checkpoint
	version    int
	// attempt numbers the chunks' attempt and never falls.
	attempt int
	// text has the chunks' text end to end, and ends where each one ends.
	text  []byte
	ends  []int32
	stage string
	// final is set once and ends the run.
	final   *request.Event
	ended   time.Time
	dropped bool
	// changed is closed and replaced at every change.
	changed chan struct{}
	// done is closed when final is set.
	done    chan struct{}
	readers int
}

func newRun(ctx context.Context, id request.ID, spec request.Spec, now time.Time) *Run {
	ctx, cancel := context.WithCancelCause(ctx)
	return &Run{
		ctx:     ctx,
		ID:      id,
		Spec:    spec,
		Started: now,
		cancel:  cancel,
		changed: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

func (r *Run) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.final != nil {
		return
	}
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Accept notes that the run was admitted.
func (r *Run) Accept(a request.Accepted) {
	r.change(func() {
		r.accepted = &a
		r.attempt = a.Attempt
	})
}

// Checkpoint notes what a caller needs to go on elsewhere.
func (r *Run) Checkpoint(c request.Checkpoint) {
	r.change(func() {
		r.checkpoint = &c
		r.version++
	})
}

// Stage notes the stage that is under way.
func (r *Run) Stage(name string) {
	r.change(func() { r.stage = name })
}

// Restart begins the answer anew under the next attempt and returns it.
func (r *Run) Restart() int {
	r.change(func() {
		r.attempt++
		r.text, r.ends = nil, nil
	})
	return r.Attempt()
}

// Attempt returns the attempt that chunks are added under.
func (r *Run) Attempt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// Chunk adds text to the answer and reports whether it still fits.
func (r *Run) Chunk(text string) bool {
	fits := true
	r.change(func() {
		if len(r.text)+len(text) > request.MaxAnswerBytes {
			fits = false
			return
		}
		r.text = append(r.text, text...)
		r.ends = append(r.ends, int32(len(r.text)))
	})
	return fits
}

// Chunks returns how many chunks the answer has.
func (r *Run) Chunks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ends)
}

// chunk returns one chunk of the answer.
func (r *Run) chunk(i int) request.Chunk {
	from := int32(0)
	if i > 0 {
		from = r.ends[i-1]
	}
	return request.Chunk{Attempt: r.attempt, Sequence: i, Text: string(r.text[from:r.ends[i]])}
}

// End sets the final event. Only the first one counts.
func (r *Run) End(now time.Time, e request.Event) {
	r.change(func() {
		r.final = &e
		r.ended = now
		close(r.done)
	})
}

// Context returns the context that the run's work is bound to. It ends when
// the run is cancelled or has ended.
func (r *Run) Context() context.Context {
	return r.ctx
}

// Cancel asks the run to stop for the given cause. Its final event still comes.
func (r *Run) Cancel(cause error) {
	r.cancel(cause)
}

// Repeatable reports whether the run could go on at another node.
func (r *Run) Repeatable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted != nil && r.accepted.Repeatable
}

// Done is closed once the run has ended.
func (r *Run) Done() <-chan struct{} {
	return r.done
}

// Readers returns how many callers read the answer now.
func (r *Run) Readers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers
}

// Status returns what became of the run so far.
func (r *Run) Status() request.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := request.Status{ID: r.ID, State: request.StateRunning, Attempt: r.attempt, Stage: r.stage, Chunks: len(r.ends)}
	if r.final == nil {
		return s
	}
	s.Stage = ""
	s.State = request.StateDone
	if r.final.Failed != nil {
		s.State = request.StateFailed
		s.Failed = r.final.Failed
	}
	return s
}

// Cursor is how far one caller has read.
type Cursor struct {
	accepted bool
	version  int
	attempt  int
	next     int
}

// At returns a cursor for a caller that holds the first chunks of an attempt.
func At(attempt, chunks int) Cursor {
	return Cursor{attempt: attempt, next: chunks}
}

// Next waits for what the caller has not read, moves the cursor past it, and
// reports whether the answer has ended. It fails only with ctx, or with
// ErrDropped where the answer is no longer retained.
func (r *Run) Next(ctx context.Context, c *Cursor) ([]request.Event, bool, error) {
	for {
		r.mu.Lock()
		if r.dropped {
			r.mu.Unlock()
			return nil, false, ErrDropped
		}
		events := r.unread(c)
		ended := r.final != nil
		changed := r.changed
		r.mu.Unlock()
		if len(events) > 0 || ended {
			return events, ended, nil
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-changed:
		}
	}
}

func (r *Run) unread(c *Cursor) []request.Event {
	var events []request.Event
	if !c.accepted && r.accepted != nil {
		c.accepted = true
		events = append(events, request.Event{Type: request.EventAccepted, Accepted: r.accepted})
	}
	if c.version != r.version {
		c.version = r.version
		events = append(events, request.Event{Type: request.EventCheckpoint, Checkpoint: r.checkpoint})
	}
	if c.attempt != r.attempt {
		c.attempt, c.next = r.attempt, 0
	}
	for ; c.next < len(r.ends); c.next++ {
		chunk := r.chunk(c.next)
		events = append(events, request.Event{Type: request.EventChunk, Chunk: &chunk})
	}
	if r.final != nil {
		events = append(events, *r.final)
	}
	return events
}

// Attach counts a reader until the returned function is called.
func (r *Run) Attach() (detach func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.readers--
	}
}

// drop forgets the answer's text and keeps what became of the run.
func (r *Run) drop() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.size()
	r.text, r.ends, r.checkpoint = nil, nil, nil
	r.dropped = true
	return size
}

const endBytes = 4

// size is about what the answer takes.
func (r *Run) size() int {
	return len(r.text) + endBytes*len(r.ends)
}
