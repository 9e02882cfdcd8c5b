// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"context"
	"sync"
	"time"

	"github.com/wingvale/wingvale/request"
)

// Run is a request that has started on this node, and its answer. It is safe for concurrent
// use.
type Run struct {
	// ID, Spec and Started are immutable.
	ID      request.ID
	Spec    request.Spec
	Started time.Time

	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// accepted is set when the run is admitted, before any of the following fields.
	accepted *request.Accepted
	// checkpoint is the latest checkpoint, and checkpointVersion counts them.
	checkpoint        *request.Checkpoint
	checkpointVersion int
	// attempt is the number of the attempt that the chunks belong to. It never decreases.
	attempt int
	// text is the concatenated text of the chunks, and chunkEnds holds the offset of the end
	// of each.
	text      []byte
	chunkEnds []int32
	stage     string
	// final is the last event of the run. It is set once.
	final     *request.Event
	endedAt   time.Time
	discarded bool
	// changed is closed and replaced at every update, to wake up readers.
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

// update applies a change and wakes up readers. It does nothing once the run has ended.
func (r *Run) update(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.final != nil {
		return
	}
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Accept records that the run was admitted.
func (r *Run) Accept(a request.Accepted) {
	r.update(func() {
		r.accepted = &a
		r.attempt = a.Attempt
	})
}

// Checkpoint records what a caller needs to continue the run on another node.
func (r *Run) Checkpoint(c request.Checkpoint) {
	r.update(func() {
		r.checkpoint = &c
		r.checkpointVersion++
	})
}

// Stage records the stage that is in progress.
func (r *Run) Stage(name string) {
	r.update(func() { r.stage = name })
}

// Restart discards the answer so far and returns the number of the next attempt.
func (r *Run) Restart() int {
	r.update(func() {
		r.attempt++
		r.text, r.chunkEnds = nil, nil
	})
	return r.Attempt()
}

// Attempt returns the number of the current attempt, to which chunks are added.
func (r *Run) Attempt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempt
}

// Chunk appends a chunk to the answer. It reports false if the answer would exceed
// request.MaxAnswerBytes.
func (r *Run) Chunk(text string) bool {
	fits := true
	r.update(func() {
		if len(r.text)+len(text) > request.MaxAnswerBytes {
			fits = false
			return
		}
		r.text = append(r.text, text...)
		r.chunkEnds = append(r.chunkEnds, int32(len(r.text)))
	})
	return fits
}

// Chunks returns the number of chunks in the answer.
func (r *Run) Chunks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.chunkEnds)
}

// chunk returns chunk i of the answer. The mutex must be held.
func (r *Run) chunk(i int) request.Chunk {
	from := int32(0)
	if i > 0 {
		from = r.chunkEnds[i-1]
	}
	return request.Chunk{Attempt: r.attempt, Sequence: i, Text: string(r.text[from:r.chunkEnds[i]])}
}

// End sets the final event. Calls after the first have no effect.
func (r *Run) End(now time.Time, e request.Event) {
	r.update(func() {
		r.final = &e
		r.endedAt = now
		close(r.done)
	})
}

// Context returns the context of the run's work. It is cancelled when the run is cancelled
// or has ended.
func (r *Run) Context() context.Context {
	return r.ctx
}

// Cancel cancels the run's work with the given cause. The run still gets a final event.
func (r *Run) Cancel(cause error) {
	r.cancel(cause)
}

// Repeatable reports whether the run may be continued on another node.
func (r *Run) Repeatable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted != nil && r.accepted.Repeatable
}

// Done returns a channel that is closed when the run has ended.
func (r *Run) Done() <-chan struct{} {
	return r.done
}

// Readers returns how many callers are reading the answer.
func (r *Run) Readers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers
}

// Status returns the current status of the run.
func (r *Run) Status() request.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := request.Status{ID: r.ID, State: request.StateRunning, Attempt: r.attempt, Stage: r.stage, Chunks: len(r.chunkEnds)}
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

// Cursor is the read position of one caller. The zero value is the beginning of the answer.
type Cursor struct {
	accepted          bool
	checkpointVersion int
	attempt           int
	next              int
}

// CursorAt returns a cursor for a caller that already has the given number of chunks of
// an attempt.
func CursorAt(attempt, chunks int) Cursor {
	return Cursor{attempt: attempt, next: chunks}
}

// Next waits until there are events that the caller has not read, returns them, advances the
// cursor, and reports whether the answer has ended. It fails only if ctx is done, or with
// ErrDropped if the answer is no longer retained.
func (r *Run) Next(ctx context.Context, c *Cursor) ([]request.Event, bool, error) {
	for {
		r.mu.Lock()
		if r.discarded {
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

// unread returns the events after the cursor and advances it. The mutex must be held.
func (r *Run) unread(c *Cursor) []request.Event {
	var events []request.Event
	if !c.accepted && r.accepted != nil {
		c.accepted = true
		events = append(events, request.Event{Type: request.EventAccepted, Accepted: r.accepted})
	}
	if c.checkpointVersion != r.checkpointVersion {
		c.checkpointVersion = r.checkpointVersion
		events = append(events, request.Event{Type: request.EventCheckpoint, Checkpoint: r.checkpoint})
	}
	if c.attempt != r.attempt {
		c.attempt, c.next = r.attempt, 0
	}
	for ; c.next < len(r.chunkEnds); c.next++ {
		chunk := r.chunk(c.next)
		events = append(events, request.Event{Type: request.EventChunk, Chunk: &chunk})
	}
	if r.final != nil {
		events = append(events, *r.final)
	}
	return events
}

// Attach counts a reader until detach is called. An answer is retained while it has readers.
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

// discardAnswer discards the text and the checkpoint but keeps the final event. It returns
// the number of bytes freed.
func (r *Run) discardAnswer() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	answerSize := r.answerSize()
	r.text, r.chunkEnds, r.checkpoint = nil, nil, nil
	r.discarded = true
	return answerSize
}

// chunkEndBytes is the size of an entry of chunkEnds.
const chunkEndBytes = 4

// answerSize returns the approximate size of the answer in memory, in bytes. The mutex must be
// held.
func (r *Run) answerSize() int {
	return len(r.text) + chunkEndBytes*len(r.chunkEnds)
}
