// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import "time"

// Task is a Work that has been queued.
type Task struct {
	Work
	arrivedAt time.Time
	results   []Result
	// pending has the indexes of the pieces that wait to be sent.
	pending []int
	// attempts counts the sends of each piece, and inFlight the calls whose answers may still
	// contain it.
	attempts []int
	inFlight []int
	// missing is the number of pieces without a result.
	missing int
	// deferred says that the task goes after those that can be in time, either because it is
	// late or because deferring it keeps others in time. anyZone says that it may run in any
	// zone. rankAt orders the tasks that are equal in this. All three are computed anew before
	// each call.
	deferred, anyZone bool
	rankAt            time.Time
	times             taskTimes

	failure Failure
	ended   bool
	done    chan struct{}
}

// Done returns a channel that is closed when the task has ended.
func (t *Task) Done() <-chan struct{} {
	return t.done
}

// Ended reports whether the task has ended, and its failure if any.
func (t *Task) Ended() (Failure, bool) {
	return t.failure, t.ended
}

// Results returns the result of each piece; a piece without a result has the zero Result.
func (t *Task) Results() []Result {
	return t.results
}

// Waiting reports whether pieces of the task wait to be sent.
func (t *Task) Waiting() bool {
	return len(t.pending) > 0
}

// Finish ends the task with a failure, or with success if f is empty. It has no effect on a
// task that has ended.
func (t *Task) Finish(f Failure) {
	if t.ended {
		return
	}
	t.ended = true
	t.failure = f
	t.times.endedQueued = len(t.pending) > 0
	t.pending = nil
	close(t.done)
}

// hasRetries reports whether a waiting piece was sent before.
func (t *Task) hasRetries() bool {
	for _, position := range t.pending {
		if t.attempts[position] > 0 {
			return true
		}
	}
	return false
}

// callItem is one piece of a call.
type callItem struct {
	task     *Task
	position int
}

// Call is one call to one server.
type Call struct {
	// number identifies the call in its scheduler.
	number int
	server *serverState
	// target is the server as it was when the call was built.
	target    Server
	items     []callItem
	startedAt time.Time
	expected  time.Duration
	bytes     int64
	// overdue says that the call's pieces were sent again and that its slot counts as free, since
	// its answer may be lost. The answer is still accepted.
	overdue bool
	// settled says that the call no longer counts in inFlight of its tasks.
	settled bool
	// abandoned says that the answer is no longer awaited.
	abandoned bool
	// unwantedSince is when no task was first found waiting for its pieces. It is zero while
	// one does.
	unwantedSince time.Time
	// cancelled says that the call was ended because no task waits for its pieces any more.
	// Its server may still be working on it.
	cancelled bool
}

// Server returns the server as it was when the call was built.
func (c *Call) Server() Server {
	return c.target
}

// StartedAt returns when the call was built.
func (c *Call) StartedAt() time.Time {
	return c.startedAt
}

// Expected returns how long the call should take.
func (c *Call) Expected() time.Duration {
	return c.expected
}

// Abandoned reports whether the call was abandoned or cancelled.
func (c *Call) Abandoned() bool {
	return c.abandoned || c.cancelled
}

// Items returns the pieces that the call requests.
func (c *Call) Items() []Item {
	items := make([]Item, 0, len(c.items))
	for _, s := range c.items {
		t := s.task
		items = append(items, Item{
			Request:  t.Request,
			Stage:    t.Stage,
			Piece:    t.Pieces[s.position],
			Key:      t.Key,
			Inputs:   t.Inputs,
			TimeLeft: t.Deadline.Sub(c.startedAt),
		})
	}
	return items
}

// unwanted reports whether no task waits for any of the call's pieces.
func (c *Call) unwanted() bool {
	for _, item := range c.items {
		if !item.task.ended {
			return false
		}
	}
	return true
}

func (c *Call) add(t *Task, count int) {
	if count > 0 {
		t.times.recordSent(c.startedAt)
	}
	for range count {
		position := t.pending[0]
		c.items = append(c.items, callItem{task: t, position: position})
		c.bytes += t.ResultBytes
		t.attempts[position]++
		t.inFlight[position]++
		t.pending = t.pending[1:]
	}
}

// settle records that the call's answer has arrived or is no longer awaited.
func (c *Call) settle() {
	if c.settled {
		return
	}
	c.settled = true
	for _, item := range c.items {
		item.task.inFlight[item.position]--
	}
}

// unanswered returns those of a settled call's items that have to be sent again. Those of an overdue
// call were sent again before, and another call may still answer them.
func (c *Call) unanswered(items []callItem) []callItem {
	if !c.overdue {
		return items
	}
	var unanswered []callItem
	for _, item := range items {
		if item.task.inFlight[item.position] == 0 {
			unanswered = append(unanswered, item)
		}
	}
	return unanswered
}

// TakeResults returns the results of a failed task and clears them, so that each is returned
// once.
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
