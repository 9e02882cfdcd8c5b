// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import "time"

// Task is one Work under way.
type Task struct {
	Work
	arrived time.Time
	results []Result
	// pending has the positions of pieces that wait to be sent.
	pending []int
	// tries counts the sends of each piece.
	tries []int
	// missing is how many pieces have no result.
	missing int
	// last says that it goes after what can be in time: it is late, or set aside so that
	// others aren't. leavesZone says that it may be made in any zone, due orders it among
	// those alike. All are found anew before each call.
	last, leavesZone bool
	due              time.Time

	failure Failure
	ended   bool
	done    chan struct{}
}

// Done is closed when the task has ended.
func (t *Task) Done() <-chan struct{} {
	return t.done
}

// Ended reports whether the task has ended, and with what failure.
func (t *Task) Ended() (Failure, bool) {
	return t.failure, t.ended
}

// Results returns the result of each piece; the zero Result is none.
func (t *Task) Results() []Result {
	return t.results
}

// Waiting reports whether pieces of the task wait to be sent.
func (t *Task) Waiting() bool {
	return len(t.pending) > 0
}

// Finish ends a task that has not ended.
func (t *Task) Finish(f Failure) {
	if t.ended {
		return
	}
	t.ended = true
	t.failure = f
	t.pending = nil
	close(t.done)
}

// sentInVain reports whether a piece that waits was sent before.
func (t *Task) sentInVain() bool {
	for _, position := range t.pending {
		if t.tries[position] > 0 {
			return true
		}
	}
	return false
}

// sent is one piece of a call.
type sent struct {
	task     *Task
	position int
}

// Call is one call to one server.
type Call struct {
	server *serverState
	// target is the server as it was when the call was made up.
	target   Server
	items    []sent
	began    time.Time
	expected time.Duration
	bytes    int64
	// abandoned says that its answer is not waited for any more.
	abandoned bool
	// unwantedAt is when it was first seen that nobody waits for its pieces,
	// the zero time while somebody does.
	unwantedAt time.Time
	// cut says that it was ended for that; its server may be at work on it yet.
	cut bool
}

// Server returns the server as it was when the call was made up.
func (c *Call) Server() Server {
	return c.target
}

// Began returns when the call was made up.
func (c *Call) Began() time.Time {
	return c.began
}

// Expected is how long the call should take.
func (c *Call) Expected() time.Duration {
	return c.expected
}

// Given reports whether the call was given up.
func (c *Call) Given() bool {
	return c.abandoned || c.cut
}

// Items returns what the call is to make.
func (c *Call) Items() []Item {
	items := make([]Item, 0, len(c.items))
	for _, s := range c.items {
		t := s.task
		items = append(items, Item{
			Request: t.Request,
			Stage:   t.Stage,
			Piece:   t.Pieces[s.position],
			Key:     t.Key,
			Inputs:  t.Inputs,
			Left:    t.Deadline.Sub(c.began),
		})
	}
	return items
}

// unwanted reports whether nobody waits for any of a call's pieces.
func (c *Call) unwanted() bool {
	for _, item := range c.items {
		if !item.task.ended {
			return false
		}
	}
	return true
}

func (c *Call) take(t *Task, count int) {
	for range count {
		position := t.pending[0]
		c.items = append(c.items, sent{task: t, position: position})
		c.bytes += t.ResultBytes
		t.tries[position]++
		t.pending = t.pending[1:]
	}
}

// TakeResults returns the results of a failed task once.
func (t *Task) TakeResults() []Result {
	var results []Result
	for i, r := range t.results {
		if r.Handle != "" {
			results = append(results, r)
			t.results[i] = Result{}
		}
	}
	return results
}
