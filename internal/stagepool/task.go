// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"context"
	"time"
)

// task is one Work under way.
type task struct {
	Work
	arrived time.Time
	results []Result
	// pending has the positions of pieces that wait to be sent.
	pending []int
	// tries counts the sends of each piece.
	tries []int
	// missing is how many pieces have no result.
	missing int
	failure Failure
	ended   bool
	done    chan struct{}
}

func (t *task) finish(f Failure) {
	if t.ended {
		return
	}
	t.ended = true
	t.failure = f
	t.pending = nil
	close(t.done)
}

// sentInVain reports whether a piece that waits was sent before.
func (t *task) sentInVain() bool {
	for _, position := range t.pending {
		if t.tries[position] > 0 {
			return true
		}
	}
	return false
}

// sent is one piece of a call.
type sent struct {
	task     *task
	position int
}

// batch is one call to one server.
type batch struct {
	server *serverState
	// target is the server as it was when the call was made up; it may be read
	// without the pool's lock.
	target   Server
	items    []sent
	began    time.Time
	expected time.Duration
	bytes    int64
	// abandoned says that its answer is not waited for any more; cancel ends
	// it.
	abandoned bool
	cancel    context.CancelFunc
	// unwantedAt is when it was first seen that nobody waits for its pieces,
	// the zero time while somebody does.
	unwantedAt time.Time
	// cut says that it was ended for that; its server may be at work on it yet.
	cut bool
}

// unwanted reports whether nobody waits for any of a call's pieces.
func (b *batch) unwanted() bool {
	for _, item := range b.items {
		if !item.task.ended {
			return false
		}
	}
	return true
}

func (b *batch) take(t *task, count int) {
	for range count {
		position := t.pending[0]
		b.items = append(b.items, sent{task: t, position: position})
		b.bytes += t.ResultBytes
		t.tries[position]++
		t.pending = t.pending[1:]
	}
}

// takeResults returns the results of a failed task once.
func (t *task) takeResults() []Result {
	var results []Result
	for i, r := range t.results {
		if r.Handle != "" {
			results = append(results, r)
			t.results[i] = Result{}
		}
	}
	return results
}
