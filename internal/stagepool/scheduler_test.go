// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stagepool"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	spec  = stagepool.Spec{
		Service: "read", Size: 8, Slots: 1, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond,
		Room: 39e6, Hold: 4 * time.Second,
	}
)

func server(n int, zone string) stagepool.Server {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
	return stagepool.Server{Instance: fmt.Sprintf("s%d", n), Address: address, Zone: zone}
}

func work(request string, pieces int) stagepool.Work {
	w := stagepool.Work{Service: "read", Request: request, Latest: start.Add(time.Second), Deadline: start.Add(8 * time.Second)}
	for i := range pieces {
		w.Pieces = append(w.Pieces, i)
	}
	return w
}

func made(b stagepool.Batch) []stagepool.Outcome {
	var outcomes []stagepool.Outcome
	for i := range b.Requests() {
		outcomes = append(outcomes, stagepool.Outcome{Handle: fmt.Sprintf("%s/%s/%d", b.Server().Instance, b.Requests()[i], i)})
	}
	return outcomes
}

func failed(b stagepool.Batch, f stagepool.Failure) []stagepool.Outcome {
	outcomes := make([]stagepool.Outcome, len(b.Requests()))
	for i := range outcomes {
		outcomes[i].Failure = f
	}
	return outcomes
}

func next(t *testing.T, s *stagepool.Scheduler, now time.Time) stagepool.Batch {
	t.Helper()
	b, ok := s.Next(now)
	assert.Assert(t, ok, "nothing to send")
	return b
}

func TestOneCallHasPiecesOfManyRequests(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	for i := range 4 {
		s.Add(start, work(fmt.Sprint(i), 2))
	}
	s.Add(start, work("4", 1))
	b := next(t, s, start)
	assert.DeepEqual(t, b.Requests(), []string{"0", "0", "1", "1", "2", "2", "3", "3"})
	_, ok := s.Next(start)
	assert.Assert(t, !ok, "the server has one call at a time")
	s.Finish(start.Add(300*time.Millisecond), b, made(b)...)
	assert.DeepEqual(t, next(t, s, start.Add(300*time.Millisecond)).Requests(), []string{"4"})
}

func TestIdleServersShareWhatWaits(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"), server(2, "a"))
	s.Add(start, work("x", 3))
	s.Add(start, work("y", 3))
	assert.Equal(t, len(next(t, s, start).Requests()), 3)
	assert.Equal(t, len(next(t, s, start).Requests()), 3)
}

// A call whose pieces all failed for room came back in
// a millisecond. Its server was taken for a very fast one, the next call for
// overdue, and the server for so slow that it never got work again.
func TestAFailedCallDoesNotTellASpeed(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"), server(2, "a"))
	now := start
	for range 6 {
		s.Add(now, work("x", 1))
		b := next(t, s, now)
		s.Finish(now.Add(time.Millisecond), b, failed(b, stagepool.FailureRoom)...)
		now = now.Add(100 * time.Millisecond)
	}
	for i := range 4 {
		s.Add(now, work(fmt.Sprint(i), 4))
	}
	first, second := next(t, s, now), next(t, s, now)
	later := now.Add(210 * time.Millisecond)
	s.Overdue(later)
	s.Finish(later, first, made(first)...)
	s.Finish(later, second, made(second)...)
	s.Add(later, work("y", 8))
	s.Add(later, work("z", 8))
	got := []string{next(t, s, later).Server().Instance, next(t, s, later).Server().Instance}
	assert.Assert(t, got[0] != got[1], "both servers get work, got %v", got)
}

func TestASlowServerIsTriedAgain(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"), server(2, "a"))
	s.Add(start, work("x", 1))
	s.Add(start, work("y", 1))
	slow, quick := next(t, s, start), next(t, s, start)
	s.Finish(start.Add(166*time.Millisecond), quick, made(quick)...)
	now := start.Add(2 * time.Second)
	s.Finish(now, slow, made(slow)...)
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
			defer s.Finish(now.Add(278*time.Millisecond), b, made(b)...)
		}
	}
	assert.Equal(t, used(now), 1, "the slow server waits while the other works")
	assert.Equal(t, used(now.Add(20*time.Second)), 2, "its slowness is forgotten")
}

// The answers of calls were lost. Each kept its server
// from getting work for five seconds.
func TestOverdueCallsAreSentElsewhere(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"), server(2, "a"))
	task := s.Add(start, work("x", 1))
	first := next(t, s, start)
	assert.Equal(t, s.Overdue(start.Add(300*time.Millisecond)), 0)
	now := start.Add(time.Second)
	assert.Equal(t, s.Overdue(now), 1)
	second := next(t, s, now)
	assert.Assert(t, first.Server() != second.Server())
	s.Add(now, work("y", 1))
	later := now.Add(200 * time.Millisecond)
	s.Finish(later, second, made(second)...)
	failure, done := task.Done()
	assert.Assert(t, done && failure == "")
	assert.Equal(t, len(s.Finish(later, first, made(first)...)), 0, "nobody waits for the first")
	third := next(t, s, later)
	assert.DeepEqual(t, third.Requests(), []string{"y"})
	now = later.Add(200 * time.Millisecond)
	s.Finish(now, third, made(third)...)
	for _, name := range []string{"v", "w"} {
		w := work(name, 8)
		w.Deadline = now.Add(time.Minute)
		s.Add(now, w)
	}
	now = now.Add(20 * time.Second)
	one, other := next(t, s, now), next(t, s, now)
	assert.Assert(t, one.Server() != other.Server(), "both get work again")
}

// A piece whose answer was lost waited for seconds where every server had lost one.
func TestWhereAllServersLoseAnswersPiecesAreSentAgain(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	s.Add(start, work("x", 1))
	next(t, s, start)
	now := start.Add(time.Second)
	assert.Equal(t, s.Overdue(now), 1)
	assert.DeepEqual(t, next(t, s, now.Add(100*time.Millisecond)).Requests(), []string{"x"})
}

func TestNoCallBeyondTheRoomOfAServer(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	add := func(name string) {
		w := work(name, 5)
		w.ResultBytes = 3e6
		s.Add(start, w)
	}
	add("0")
	b := next(t, s, start)
	assert.Equal(t, len(b.Requests()), 5)
	outcomes := made(b)
	now := start.Add(200 * time.Millisecond)
	s.Finish(now, b, outcomes...)
	add("1")
	b = next(t, s, now)
	now = now.Add(200 * time.Millisecond)
	s.Finish(now, b, made(b)...)
	add("2")
	_, ok := s.Next(now)
	assert.Assert(t, !ok, "39 MB hold 13 results of 3 MB, 10 are there")
	for _, o := range outcomes {
		s.Release(b.Server().Address, o.Handle)
	}
	assert.Equal(t, len(next(t, s, now).Requests()), 5)
}

func TestTasksAreSplitOnlyWhereMoreWaitsThanACallTakes(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	s.Add(start, work("x", 5))
	s.Add(start, work("y", 3))
	s.Add(start, work("z", 3))
	assert.Equal(t, len(next(t, s, start).Requests()), 8, "full calls")
	s = stagepool.NewScheduler(spec, server(1, "a"), server(2, "a"))
	s.Add(start, work("x", 5))
	s.Add(start, work("y", 2))
	assert.DeepEqual(t, next(t, s, start).Requests(), []string{"x", "x", "x", "x", "x"})
	assert.DeepEqual(t, next(t, s, start).Requests(), []string{"y", "y"})
}

func TestHeavyWorkWaitsForItsZoneAWhile(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"), server(2, "b"))
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

// Light work took the servers of one zone first; heavy
// work that wanted them then crossed zones.
func TestWorkGoesToItsZoneAndElseLeavesAllZonesRoom(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"), server(2, "b"), server(3, "b"))
	s.Add(start, work("light", 8))
	assert.Equal(t, next(t, s, start).Server().Zone, "b", "it has more free servers")
	heavy := work("heavy", 1)
	heavy.ResultBytes, heavy.Zone = 3e6, "b"
	s.Add(start, heavy)
	assert.Equal(t, next(t, s, start).Server().Zone, "b")
}

// The parts of a task that fills more than a call stay in one zone.
func TestTheRestOfASplitTaskStaysInItsZone(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"), server(2, "b"))
	w := work("x", 20)
	w.ResultBytes = 1e6
	s.Add(start, w)
	first := next(t, s, start)
	_, ok := s.Next(start)
	assert.Assert(t, !ok, "the rest waits for the zone of the first part")
	now := start.Add(150 * time.Millisecond)
	s.Finish(now, first, made(first)...)
	assert.Equal(t, next(t, s, now).Server().Zone, first.Server().Zone)
}

func TestLeavingServersGetNoCalls(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	leaving := server(1, "a")
	leaving.Leaving = true
	s.SetServers(leaving)
	s.Add(start, work("x", 1))
	_, ok := s.Next(start)
	assert.Assert(t, !ok)
}

func TestWhatCannotBeInTimeGoesLast(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest = start.Add(50 * time.Millisecond)
	s.Add(start, late)
	s.Add(start, work("timely", 8))
	assert.Equal(t, next(t, s, start).Requests()[0], "timely")
}

// With links full of other traffic, 6,899 of 15,127 calls found their server full.
// Calls that had been given up as overdue were still at work there; every piece
// was sent there again each 40 ms, and its request failed after four times.
func TestAFullServerIsLeftAloneForACall(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
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
	_, done := task.Done()
	assert.Assert(t, !done, "it can wait for 8 s")
	assert.Assert(t, calls >= 4 && calls <= 10, "%d calls in the time of 9", calls)
}

func TestUnreachableServersAreLeftAlone(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"), server(2, "a"))
	s.Add(start, work("x", 1))
	b := next(t, s, start)
	s.Refuse(start, b, false)
	again := next(t, s, start)
	assert.Assert(t, again.Server() != b.Server())
}

func TestWhatWouldNotBeReachedEndsAtOnce(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	var tasks []stagepool.Task
	for i := range 40 {
		w := work(fmt.Sprint(i), 8)
		w.Deadline = start.Add(2 * time.Second)
		tasks = append(tasks, s.Add(start, w))
	}
	next(t, s, start)
	ended := 0
	for _, task := range tasks {
		if failure, done := task.Done(); done {
			assert.Equal(t, failure, stagepool.FailureLate)
			ended++
		}
	}
	assert.Assert(t, ended > 30 && ended < 36, "one server makes 7 such calls in 2 s, %d of 40 ended", ended)
}

// A quick note was refused 5.0 s after it was sent, though nothing of it had run.
// All servers were at work when it came; only once one was free did the owner look
// whether the note could be reached, and by then newer work was due sooner.
func TestWhatCannotBeReachedIsToldWhileAllServersWork(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	s.Add(start, work("running", 8))
	next(t, s, start)
	for i := range 4 {
		s.Add(start, work(fmt.Sprint(i), 8))
	}
	w := work("last", 1)
	w.Latest, w.Deadline = start.Add(1100*time.Millisecond), start.Add(1100*time.Millisecond)
	last := s.Add(start, w)
	_, ok := s.Next(start)
	assert.Assert(t, !ok, "the server works")
	failure, done := last.Done()
	assert.Assert(t, done, "four calls of 278 ms are ahead of it")
	assert.Equal(t, failure, stagepool.FailureLate)
}

// crowd lets 36 pieces a second come for 3.3 s to a server that makes 29, and
// returns when it ends.
func crowd(t *testing.T, s *stagepool.Scheduler) time.Time {
	t.Helper()
	now := start
	var b stagepool.Batch
	for i := range 24 {
		w := work(fmt.Sprint(i), 5)
		w.Latest, w.Deadline = now.Add(900*time.Millisecond), now.Add(8*time.Second)
		s.Add(now, w)
		if i%2 == 0 {
			if i > 0 {
				s.Finish(now, b, made(b)...)
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
	s := stagepool.NewScheduler(spec, server(1, "a"))
	now := crowd(t, s)
	w := work("late", 1)
	w.Latest, w.Deadline = now.Add(-time.Second), now.Add(3*time.Second)
	late := s.Add(now, w)
	s.Next(now)
	failure, done := late.Done()
	assert.Assert(t, done, "it has 3 s, and the crowd is taken to last as long again")
	assert.Equal(t, failure, stagepool.FailureLate)
}

// On calm days with short bursts, callers that had come back were refused again,
// and requests with two of three stages made were given up: 28 of worth refused
// again where 6 had been.
func TestWorkThatCameLateWaitsWhileTheCrowdMayEnd(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	now := crowd(t, s)
	w := work("late", 1)
	w.Latest, w.Deadline = now.Add(-time.Second), now.Add(6*time.Second)
	late := s.Add(now, w)
	s.Next(now)
	_, done := late.Done()
	assert.Assert(t, !done, "it has 6 s")
}

// The same work waits where less comes than the pool makes.
func TestLateWorkWaitsForAGapThatComes(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	now := start
	var b stagepool.Batch
	for i := range 12 {
		w := work(fmt.Sprint(i), 4)
		w.Latest, w.Deadline = now.Add(900*time.Millisecond), now.Add(8*time.Second)
		s.Add(now, w)
		if i > 0 {
			s.Finish(now, b, made(b)...)
		}
		b = next(t, s, now)
		now = now.Add(278 * time.Millisecond)
	}
	w := work("late", 1)
	w.Latest, w.Deadline = now.Add(-time.Second), now.Add(5*time.Second)
	late := s.Add(now, w)
	s.Next(now)
	_, done := late.Done()
	assert.Assert(t, !done, "half of every call is free")
}

// Late tasks waited behind timely ones while their
// inputs filled the rooms of the pool before, which came to a stand.
func TestHeavyWorkIsNotPutOff(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest, late.InputBytes = start.Add(-time.Second), 1<<20
	s.Add(start, work("timely", 8))
	s.Add(start, late)
	assert.Equal(t, next(t, s, start).Requests()[0], "late")
}

// Late pieces with large results waited while the
// results beside them filled the rooms of another pool.
func TestWorkBesideResultsIsNotPutOff(t *testing.T) {
	s := stagepool.NewScheduler(spec, server(1, "a"))
	late := work("late", 8)
	late.Latest, late.Beside = start.Add(-time.Second), true
	s.Add(start, work("timely", 8))
	s.Add(start, late)
	assert.Equal(t, next(t, s, start).Requests()[0], "late")
}
