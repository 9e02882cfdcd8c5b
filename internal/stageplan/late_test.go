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

func TestWhatCannotBeInTimeGoesLast(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest = start.Add(50 * time.Millisecond)
	s.Add(start, late)
	s.Add(start, work("timely", 8))
	assert.Equal(t, requests(next(t, s, start))[0], "timely")
}

func TestWhatWouldNotBeReachedEndsAtOnce(t *testing.T) {
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

// A quick note was refused 5.0 s after it was sent, though nothing of it had run.
// All servers were at work when it came; only once one was free did the owner look
// whether the note could be reached, and by then newer work was due sooner.
func TestWhatCannotBeReachedIsToldWhileAllServersWork(t *testing.T) {
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
	assert.Assert(t, !ok, "the server works")
	failure, done := last.Ended()
	assert.Assert(t, done, "four calls of 278 ms are ahead of it")
	assert.Equal(t, failure, stageplan.FailureLate)
}

// crowd lets 36 pieces a second come for 3.3 s to a server that makes 29, and
// returns when it ends.
func crowd(t *testing.T, s *stageplan.Scheduler) time.Time {
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
		assert.Assert(t, !ok, "the server works")
		now = now.Add(139 * time.Millisecond)
	}
	return now
}

// In a burst of 2.4 times the usual, late work waited for a gap until its callers
// had left: what came was due sooner and filled every call.
func TestLateWorkEndsAtOnceWhereTimelyWorkTakesAll(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	now := crowd(t, s)
	w := work("late", 1)
	w.Latest, w.Deadline = now.Add(-time.Second), now.Add(3*time.Second)
	late := s.Add(now, w)
	s.Next(now)
	failure, done := late.Ended()
	assert.Assert(t, done, "it has 3 s, and the crowd is taken to last as long again")
	assert.Equal(t, failure, stageplan.FailureLate)
}

// On calm days with short bursts, callers that had come back were refused again,
// and requests with two of three stages made were given up: 28 of worth refused
// again where 6 had been.
func TestWorkThatCameLateWaitsWhileTheCrowdMayEnd(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	now := crowd(t, s)
	w := work("late", 1)
	w.Latest, w.Deadline = now.Add(-time.Second), now.Add(6*time.Second)
	late := s.Add(now, w)
	s.Next(now)
	_, done := late.Ended()
	assert.Assert(t, !done, "it has 6 s")
}

// The same work waits where less comes than the pool makes.
func TestLateWorkWaitsForAGapThatComes(t *testing.T) {
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
	assert.Assert(t, !done, "half of every call is free")
}

// Late tasks waited behind timely ones while their
// inputs filled the rooms of the pool before, which came to a stand.
func TestHeavyWorkIsNotPutOff(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest, late.InputBytes = start.Add(-time.Second), 1<<20
	s.Add(start, work("timely", 8))
	s.Add(start, late)
	assert.Equal(t, requests(next(t, s, start))[0], "late")
}

// Late pieces with large results waited while the
// results beside them filled the rooms of another pool.
func TestWorkBesideResultsIsNotPutOff(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest, late.Beside = start.Add(-time.Second), true
	s.Add(start, work("timely", 8))
	s.Add(start, late)
	assert.Equal(t, requests(next(t, s, start))[0], "late")
}

// Urgent work goes before the rest, so only the urgent that waits counts for it.
func TestWorkThatIsDueSoonerWaitsLess(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	s.Add(start, work("running", 8))
	next(t, s, start)
	for i := range 4 {
		w := work(fmt.Sprint(i), 8)
		w.Latest = start.Add(2 * time.Second)
		s.Add(start, w)
	}
	waits := s.Queue(start)
	call := spec.CallTime + 8*spec.PieceTime
	assert.Assert(t, waits.Before(time.Second) <= call, "got %v", waits.Before(time.Second))
	assert.Assert(t, waits.Before(3*time.Second) >= 4*call, "got %v", waits.Before(3*time.Second))
}
