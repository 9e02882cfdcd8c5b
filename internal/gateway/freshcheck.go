// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"sync"
	"time"
)

// freshCheckInterval is the least time between the starts of two runs of a check.
const freshCheckInterval = 20 * time.Millisecond

// freshCheck shares the runs of a check between callers that need a result not older than a time of their own.
// The zero result is a failure, for which it is enough that the run ended later. It is safe for concurrent use.
type freshCheck[T comparable] struct {
	// check performs the check.
	check func(ctx context.Context) T
	// ctx is cancelled when the node stops.
	ctx context.Context

	mu sync.Mutex
	// ended is the last run that has ended, and running the one in progress; nil if there is none.
	ended, running *checkRun[T]
}

// checkRun is one run of a check. The other fields are set before done is closed.
type checkRun[T comparable] struct {
	done      chan struct{}
	startedAt time.Time
	endedAt   time.Time
	result    T
}

// tells reports whether the result of a run that has ended is of use for a caller that needs one not older than
// since.
func (r *checkRun[T]) tells(since time.Time) bool {
	var failed T
	return !r.startedAt.Before(since) || r.result == failed && !r.endedAt.Before(since)
}

func newFreshCheck[T comparable](ctx context.Context, check func(ctx context.Context) T) *freshCheck[T] {
	return &freshCheck[T]{check: check, ctx: ctx}
}

// result returns the result of a run that began at since or later, or the zero result if a later run failed or
// ctx ended before.
func (c *freshCheck[T]) result(ctx context.Context, since time.Time) T {
	for ctx.Err() == nil {
		run := c.runFor(since)
		select {
		case <-run.done:
		case <-ctx.Done():
		}
		if ctx.Err() == nil && run.tells(since) {
			return run.result
		}
	}
	var failed T
	return failed
}

// runFor returns the last run if it is of use, or else the one in progress, or a new one.
func (c *freshCheck[T]) runFor(since time.Time) *checkRun[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pause time.Duration
	if c.ended != nil {
		if c.ended.tells(since) {
			return c.ended
		}
		pause = freshCheckInterval - time.Since(c.ended.startedAt)
	}
	if c.running == nil {
		c.running = &checkRun[T]{done: make(chan struct{})}
		go c.run(c.running, pause)
	}
	return c.running
}

// run runs the check after a pause.
func (c *freshCheck[T]) run(run *checkRun[T], pause time.Duration) {
	if pause > 0 {
		sleep(c.ctx, pause)
	}
	run.startedAt = time.Now()
	run.result = c.check(c.ctx)
	run.endedAt = time.Now()
	c.mu.Lock()
	c.ended, c.running = run, nil
	c.mu.Unlock()
	close(run.done)
}
