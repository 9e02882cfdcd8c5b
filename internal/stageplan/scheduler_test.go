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

func TestCallBatchesPiecesOfManyRequests(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	for i := range 4 {
		s.Add(start, work(fmt.Sprint(i), 2))
	}
	s.Add(start, work("4", 1))
	b := next(t, s, start)
	assert.DeepEqual(t, requests(b), []string{"0", "0", "1", "1", "2", "2", "3", "3"})
	_, ok := s.Next(start)
	assert.Assert(t, !ok, "the server has one call at a time")
	s.Finish(start.Add(300*time.Millisecond), b, made(b))
	assert.DeepEqual(t, requests(next(t, s, start.Add(300*time.Millisecond))), []string{"4"})
}

func TestIdleServersShareWaitingWork(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "a"))
	s.Add(start, work("x", 3))
	s.Add(start, work("y", 3))
	assert.Equal(t, len(requests(next(t, s, start))), 3)
	assert.Equal(t, len(requests(next(t, s, start))), 3)
}

// A call whose pieces all failed for lack of room came back within a millisecond. The server
// then counted as very fast, its next call as overdue, and after that the server as so slow
// that it never got work again.
func TestFailedCallIsNotASpeedSample(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "a"))
	now := start
	for range 6 {
		s.Add(now, work("x", 1))
		b := next(t, s, now)
		s.Finish(now.Add(time.Millisecond), b, failed(b, stageplan.FailureRoom))
		now = now.Add(100 * time.Millisecond)
	}
	for i := range 4 {
		s.Add(now, work(fmt.Sprint(i), 4))
	}
	first, second := next(t, s, now), next(t, s, now)
	later := now.Add(210 * time.Millisecond)
	overdue(s, later)
	s.Finish(later, first, made(first))
	s.Finish(later, second, made(second))
	for _, name := range []string{"y", "z"} {
		w := work(name, 8)
		w.Latest = later.Add(time.Second)
		s.Add(later, w)
	}
	got := []string{next(t, s, later).Server().Instance, next(t, s, later).Server().Instance}
	assert.Assert(t, got[0] != got[1], "both servers get work, got %v", got)
}

func TestSlowServerIsTriedAgain(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "a"))
	s.Add(start, work("x", 1))
	s.Add(start, work("y", 1))
	slow, quick := next(t, s, start), next(t, s, start)
	s.Finish(start.Add(166*time.Millisecond), quick, made(quick))
	now := start.Add(2 * time.Second)
	s.Finish(now, slow, made(slow))
	used := func(now time.Time) int {
		for _, name := range []string{"v", "w"} {
			w := work(name, 8)
			w.Latest, w.Deadline = now.Add(time.Second), now.Add(8*time.Second)
			s.Add(now, w)
		}
		calls := 0
		for {
			b, ok := s.Next(now)
			if !ok {
				return calls
			}
			calls++
			defer s.Finish(now.Add(278*time.Millisecond), b, made(b))
		}
	}
	assert.Equal(t, used(now), 1, "the slow server waits while the other works")
	assert.Equal(t, used(now.Add(20*time.Second)), 2, "its slowdown has decayed")
}

// Answers of calls were lost. Each lost answer kept its server from getting work for five
// seconds.
func TestOverdueCallsAreSentElsewhere(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "a"))
	task := s.Add(start, work("x", 1))
	first := next(t, s, start)
	assert.Equal(t, overdue(s, start.Add(300*time.Millisecond)), 0)
	now := start.Add(time.Second)
	assert.Equal(t, overdue(s, now), 1)
	second := next(t, s, now)
	assert.Assert(t, first.Server() != second.Server())
	s.Add(now, work("y", 1))
	later := now.Add(200 * time.Millisecond)
	s.Finish(later, second, made(second))
	failure, done := task.Ended()
	assert.Assert(t, done && failure == "")
	assert.Equal(t, len(s.Finish(later, first, made(first))), 1, "nobody waits for the first, whose result is released")
	third := next(t, s, later)
	assert.DeepEqual(t, requests(third), []string{"y"})
	now = later.Add(200 * time.Millisecond)
	s.Finish(now, third, made(third))
	for _, name := range []string{"v", "w"} {
		w := work(name, 8)
		w.Deadline = now.Add(time.Minute)
		s.Add(now, w)
	}
	now = now.Add(20 * time.Second)
	one, other := next(t, s, now), next(t, s, now)
	assert.Assert(t, one.Server() != other.Server(), "both get work again")
}

// Stage servers were 16 times slower than published. Guards against giving up the answers of overdue calls:
// each piece was sent four times, none of which was waited for, and its request failed.
func TestLateAnswersOfOverdueCallsAreUsed(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "a"))
	task := s.Add(start, work("x", 1))
	now := start
	var calls []*stageplan.Call
	for now.Before(start.Add(5 * time.Second)) {
		if b, ok := s.Next(now); ok {
			calls = append(calls, b)
		}
		now = now.Add(100 * time.Millisecond)
		overdue(s, now)
	}
	assert.Equal(t, len(calls), 4, "sends of one piece")
	_, done := task.Ended()
	assert.Assert(t, !done, "all four may still answer")
	for _, b := range calls[1:] {
		s.Refuse(now, b, false)
	}
	_, done = task.Ended()
	assert.Assert(t, !done, "the first may still answer")
	assert.Equal(t, len(s.Finish(now, calls[0], made(calls[0]))), 0)
	failure, done := task.Ended()
	assert.Assert(t, done && failure == "")
	assert.Equal(t, task.Results()[0].Server, calls[0].Server().Address)
}

// Guards against sending a piece a third time when its overdue call fails while the second one runs, and
// against blaming the server of the overdue call twice.
func TestFailureOfOverdueCallChangesNothing(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "a"), server(3, "a"))
	task := s.Add(start, work("x", 1))
	first := next(t, s, start)
	now := start.Add(time.Second)
	assert.Equal(t, overdue(s, now), 1)
	second := next(t, s, now)
	before := s.Servers()
	s.Refuse(now, first, false)
	_, again := s.Next(now)
	assert.Assert(t, !again, "the second call may still answer")
	after := s.Servers()
	for i := range after {
		assert.Equal(t, after[i].Failures, before[i].Failures, "server %d", i)
	}
	s.Refuse(now, second, false)
	third := next(t, s, now)
	s.Finish(now, third, made(third))
	failure, done := task.Ended()
	assert.Assert(t, done && failure == "")
}

// Two calls were sent to one server at the same time and lost. Guards against memory that stays taken.
func TestLostResultsOfSimultaneousCallsExpire(t *testing.T) {
	two := spec
	two.Slots = 2
	s := newScheduler(two, server(1, "a"))
	for _, name := range []string{"x", "y"} {
		w := work(name, 8)
		w.ResultBytes = 1e6
		s.Add(start, w)
	}
	next(t, s, start)
	next(t, s, start)
	now := start.Add(time.Second)
	assert.Equal(t, overdue(s, now), 2)
	s.Add(now.Add(20*time.Second), work("z", 1))
	s.Next(now.Add(20 * time.Second))
	assert.Equal(t, s.Servers()[0].Used, int64(0))
}

// Guards against a task that waits for its deadline when no call can answer any more.
func TestPieceFailsOnceNoCallMayAnswer(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "a"))
	task := s.Add(start, work("x", 1))
	now := start
	for now.Before(start.Add(20 * time.Second)) {
		b, ok := s.Next(now)
		now = now.Add(2 * time.Second)
		overdue(s, now)
		if ok {
			s.Refuse(now, b, false)
		}
	}
	failure, _ := task.Ended()
	assert.Equal(t, failure, stageplan.FailureFailed)
}

// The memory that is reserved for the results of an overdue call is that of its results once they
// arrive. Guards against counting both until they expire, and against keeping those that nobody wants.
func TestLateResultsAreCountedOnce(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	w := work("x", 5)
	w.ResultBytes = 3e6
	task := s.Add(start, w)
	first := next(t, s, start)
	now := start.Add(time.Second)
	assert.Equal(t, overdue(s, now), 1)
	assert.Equal(t, s.Servers()[0].Used, int64(15e6))
	assert.Equal(t, len(s.Finish(now, first, made(first))), 0)
	failure, done := task.Ended()
	assert.Assert(t, done && failure == "")
	assert.Equal(t, s.Servers()[0].Used, int64(15e6))
}

// A piece whose answer was lost waited for seconds if every server had lost one.
func TestPiecesAreResentWhenAllServersLoseAnswers(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	s.Add(start, work("x", 1))
	next(t, s, start)
	now := start.Add(time.Second)
	assert.Equal(t, overdue(s, now), 1)
	assert.DeepEqual(t, requests(next(t, s, now.Add(100*time.Millisecond))), []string{"x"})
}

func TestCallsStayWithinServerMemory(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	add := func(name string) {
		w := work(name, 5)
		w.ResultBytes = 3e6
		s.Add(start, w)
	}
	add("0")
	b := next(t, s, start)
	assert.Equal(t, len(requests(b)), 5)
	outcomes := made(b)
	now := start.Add(200 * time.Millisecond)
	s.Finish(now, b, outcomes)
	add("1")
	b = next(t, s, now)
	now = now.Add(200 * time.Millisecond)
	s.Finish(now, b, made(b))
	add("2")
	_, ok := s.Next(now)
	assert.Assert(t, !ok, "39 MB hold 13 results of 3 MB, 10 are there")
	for _, o := range outcomes {
		s.Release(b.Server().Address, []string{o.Handle})
	}
	assert.Equal(t, len(requests(next(t, s, now))), 5)
}

func TestTasksAreSplitOnlyWhenMoreWaitsThanOneCallTakes(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	s.Add(start, work("x", 5))
	s.Add(start, work("y", 3))
	s.Add(start, work("z", 3))
	assert.Equal(t, len(requests(next(t, s, start))), 8, "full calls")
	s = newScheduler(spec, server(1, "a"), server(2, "a"))
	s.Add(start, work("x", 5))
	s.Add(start, work("y", 2))
	assert.DeepEqual(t, requests(next(t, s, start)), []string{"x", "x", "x", "x", "x"})
	assert.DeepEqual(t, requests(next(t, s, start)), []string{"y", "y"})
}

func TestWorkWithLargeResultsWaitsForItsZone(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "b"))
	w := work("x", 1)
	w.ResultBytes, w.Zone = 3e6, "b"
	s.Add(start, w)
	b := next(t, s, start)
	assert.Equal(t, b.Server().Zone, "b")
	s.Add(start, w)
	_, ok := s.Next(start)
	assert.Assert(t, !ok, "the server of its zone is busy")
	assert.Equal(t, next(t, s, start.Add(550*time.Millisecond)).Server().Zone, "a")
}

// Tasks with little data took the servers of one zone first; those with large data that
// preferred this zone then crossed zones.
func TestWorkGoesToItsZoneOrTheOneWithMostFreeServers(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "b"), server(3, "b"))
	s.Add(start, work("light", 8))
	assert.Equal(t, next(t, s, start).Server().Zone, "b", "it has more free servers")
	heavy := work("heavy", 1)
	heavy.ResultBytes, heavy.Zone = 3e6, "b"
	s.Add(start, heavy)
	assert.Equal(t, next(t, s, start).Server().Zone, "b")
}

// The parts of a task that is larger than a call stay in one zone.
func TestRemainderOfSplitTaskStaysInZone(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "b"))
	w := work("x", 20)
	w.ResultBytes = 1e6
	s.Add(start, w)
	first := next(t, s, start)
	_, ok := s.Next(start)
	assert.Assert(t, !ok, "the rest waits for the zone of the first part")
	now := start.Add(150 * time.Millisecond)
	s.Finish(now, first, made(first))
	assert.Equal(t, next(t, s, now).Server().Zone, first.Server().Zone)
}

func TestLeavingServersGetNoCalls(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	leaving := server(1, "a")
	leaving.Leaving = true
	s.SetServers([]stageplan.Server{leaving})
	s.Add(start, work("x", 1))
	_, ok := s.Next(start)
	assert.Assert(t, !ok)
}

// With links saturated by other traffic, 6,899 of 15,127 calls found their server full. It was
// still working on calls that had been abandoned as overdue. Every piece was sent there again
// each 40 ms, and its request failed after four attempts.
func TestFullServerIsBackedOffForOneCall(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	task := s.Add(start, work("x", 4))
	now := start
	calls := 0
	for now.Before(start.Add(2 * time.Second)) {
		if b, ok := s.Next(now); ok {
			calls++
			s.Refuse(now, b, true)
		}
		now = now.Add(10 * time.Millisecond)
	}
	_, done := task.Ended()
	assert.Assert(t, !done, "it can wait for 8 s")
	assert.Assert(t, calls >= 4 && calls <= 10, "%d calls in the time of 9", calls)
}

func TestUnreachableServersAreBackedOff(t *testing.T) {
	s := newScheduler(spec, server(1, "a"), server(2, "a"))
	s.Add(start, work("x", 1))
	b := next(t, s, start)
	s.Refuse(start, b, false)
	again := next(t, s, start)
	assert.Assert(t, again.Server() != b.Server())
}
