// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stageplan"
)

func TestLateWorkGoesLast(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest = start.Add(50 * time.Millisecond)
	s.Add(start, late)
	s.Add(start, work("timely", 8))
	assert.Equal(t, requests(next(t, s, start))[0], "timely")
}

func TestWorkThatCannotMeetDeadlineFailsImmediately(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	var tasks []*stageplan.Task
	for i := range 40 {
		w := work(fmt.Sprint(i), 8)
		w.Deadline = start.Add(2 * time.Second)
		tasks = append(tasks, s.Add(start, w))
	}
	next(t, s, start)
	ended := 0
	for _, task := range tasks {
		if failure, done := task.Ended(); done {
			assert.Equal(t, failure, stageplan.FailureLate)
			ended++
		}
	}
	assert.Assert(t, ended > 30 && ended < 36, "one server makes 7 such calls in 2 s, %d of 40 ended", ended)
}

// A request was refused 5.0 s after it was sent although none of it had run. All servers were
// busy when it arrived. The scheduler checked whether it could be served only once a server
// was free, and by then newer work was due sooner.
func TestHopelessWorkFailsWhileAllServersAreBusy(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	s.Add(start, work("running", 8))
	next(t, s, start)
	for i := range 4 {
		s.Add(start, work(fmt.Sprint(i), 8))
	}
	w := work("last", 8)
	w.Priority = 1
	w.Latest, w.Deadline = start.Add(1100*time.Millisecond), start.Add(1100*time.Millisecond)
	last := s.Add(start, w)
	_, ok := s.Next(start)
	assert.Assert(t, !ok, "the server is busy")
	failure, done := last.Ended()
	assert.Assert(t, done, "four calls of 278 ms are ahead of it")
	assert.Equal(t, failure, stageplan.FailureLate)
}

// overload adds 36 pieces a second for 3.3 s to a server that makes 29, and returns the time
// at the end.
func overload(t *testing.T, s *stageplan.Scheduler) time.Time {
	t.Helper()
	now := start
	var b *stageplan.Call
	for i := range 24 {
		w := work(fmt.Sprint(i), 5)
		w.Latest, w.Deadline = now.Add(900*time.Millisecond), now.Add(8*time.Second)
		s.Add(now, w)
		if i%2 == 0 {
			if i > 0 {
				s.Finish(now, b, made(b))
			}
			b = next(t, s, now)
		}
		_, ok := s.Next(now)
		assert.Assert(t, !ok, "the server is busy")
		now = now.Add(139 * time.Millisecond)
	}
	return now
}

// In a burst of 2.4 times the usual load, late tasks waited for free capacity until their
// callers had left: arriving work was due sooner and filled every call.
func TestLateWorkFailsImmediatelyWhenTimelyWorkFillsPool(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	now := overload(t, s)
	w := work("late", 1)
	w.Latest, w.Deadline = now.Add(-time.Second), now.Add(3*time.Second)
	late := s.Add(now, w)
	s.Next(now)
	failure, done := late.Ended()
	assert.Assert(t, done, "it has 3 s, and the backlog is assumed to last as long again")
	assert.Equal(t, failure, stageplan.FailureLate)
}

// Under moderate load with short bursts, callers that had come back were refused again, and
// requests with two of three stages done were abandoned. The value refused again rose from 6
// to 28.
func TestWorkThatArrivedLateWaitsWhileBacklogMayEnd(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	now := overload(t, s)
	w := work("late", 1)
	w.Latest, w.Deadline = now.Add(-time.Second), now.Add(6*time.Second)
	late := s.Add(now, w)
	s.Next(now)
	_, done := late.Ended()
	assert.Assert(t, !done, "it has 6 s")
}

// The same task waits if less work arrives than the pool can do.
func TestLateWorkWaitsForFreeCapacity(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	now := start
	var b *stageplan.Call
	for i := range 12 {
		w := work(fmt.Sprint(i), 4)
		w.Latest, w.Deadline = now.Add(900*time.Millisecond), now.Add(8*time.Second)
		s.Add(now, w)
		if i > 0 {
			s.Finish(now, b, made(b))
		}
		b = next(t, s, now)
		now = now.Add(278 * time.Millisecond)
	}
	w := work("late", 1)
	w.Latest, w.Deadline = now.Add(-time.Second), now.Add(5*time.Second)
	late := s.Add(now, w)
	s.Next(now)
	_, done := late.Ended()
	assert.Assert(t, !done, "half of every call is unused")
}

// Late tasks waited behind timely ones while their inputs filled the memory of the preceding
// pool, which stalled.
func TestWorkWithLargeInputsIsNotDeferred(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest, late.InputBytes = start.Add(-time.Second), 1<<20
	s.Add(start, work("timely", 8))
	s.Add(start, late)
	assert.Equal(t, requests(next(t, s, start))[0], "late")
}

// Late pieces with large results waited while other results of the request filled the memory
// of another pool.
func TestWorkWithOtherResultsHeldIsNotDeferred(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest, late.HoldsOtherResults = start.Add(-time.Second), true
	s.Add(start, work("timely", 8))
	s.Add(start, late)
	assert.Equal(t, requests(next(t, s, start))[0], "late")
}

// Urgent work precedes the rest, so only urgent work in the queue adds to its wait.
func TestWorkDueSoonerWaitsLess(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	s.Add(start, work("running", 8))
	next(t, s, start)
	for i := range 4 {
		w := work(fmt.Sprint(i), 8)
		w.Latest = start.Add(2 * time.Second)
		s.Add(start, w)
	}
	waits := s.QueueWaits(start)
	call := spec.CallTime + 8*spec.PieceTime
	assert.Assert(t, waits.ForDue(time.Second) <= call, "got %v", waits.ForDue(time.Second))
	assert.Assert(t, waits.ForDue(3*time.Second) >= 4*call, "got %v", waits.ForDue(3*time.Second))
}
