// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"slices"
	"time"
)

// OldestWait returns how long the longest waiting task has been queued.
func (s *Scheduler) OldestWait(now time.Time) time.Duration {
	var oldest time.Duration
	for _, t := range s.waiting {
		oldest = max(oldest, now.Sub(t.arrivedAt))
	}
	return oldest
}

// QueueWaits estimates how long new work that can be in time waits for the start of its call.
// Tasks that are already late go after it, and those due sooner before it.
func (s *Scheduler) QueueWaits(now time.Time) QueueWaits {
	var waits QueueWaits
	usable := s.usable(now)
	if len(usable) == 0 {
		rested, _ := s.restEndsIn(func(Server) bool { return true })
		for i := range waits {
			waits[i] = max(s.spec.CallTime, rested)
		}
		return waits
	}
	nextFreeIn := s.nextFreeIn(now, usable)
	rate := s.rate(now, len(usable))
	for i, pieces := range s.ahead(now) {
		waits[i] = nextFreeIn + time.Duration(float64(pieces)/rate*float64(time.Second))
	}
	return waits
}

// ahead returns how many pieces precede new work that is due within each of dueSteps.
func (s *Scheduler) ahead(now time.Time) [len(dueSteps)]int {
	var ahead [len(dueSteps)]int
	for _, t := range s.waiting {
		if t.deferred || s.late(now, t) {
			continue
		}
		due := t.rankTime().Sub(now)
		for i, step := range dueSteps {
			if due <= step {
				ahead[i] += len(t.pending)
			}
		}
	}
	return ahead
}

// rate returns the throughput of the pool in pieces a second when it is saturated. If there
// has been a backlog for a while, it is the measured throughput; before, it is that of full
// calls.
func (s *Scheduler) rate(now time.Time, servers int) float64 {
	nominal := float64(s.spec.Size*servers*s.spec.Slots) / s.nominalTime(s.spec.Size).Seconds()
	if !s.backlogEstablished(now) {
		return nominal
	}
	return min(max(s.currentRate(now), minThroughputShare*nominal), nominal)
}

// backlogEstablished reports whether the backlog has lasted long enough for measured
// throughput and arrivals to be meaningful. That takes at least a few calls, as otherwise the
// pieces waiting for a first long call would be counted as lost.
func (s *Scheduler) backlogEstablished(now time.Time) bool {
	return !s.backlogSince.IsZero() && now.Sub(s.backlogSince) >= 2*max(throughputWindow, s.CallTime())
}

// updateBacklog records whether more tasks wait than free servers can run.
func (s *Scheduler) updateBacklog(now time.Time) {
	switch {
	case len(s.waiting) == 0:
		s.backlogSince = time.Time{}
	case s.backlogSince.IsZero():
		s.backlogSince = now
	}
}

func (s *Scheduler) allSlotsBusy(servers []*serverState) bool {
	running := 0
	for _, state := range servers {
		running += len(state.running)
	}
	return running >= len(servers)*s.spec.Slots
}

// currentRate returns the recent throughput in pieces a second. If memory for results or slow
// servers limit it, it is below what the number of calls and servers would allow.
func (s *Scheduler) currentRate(now time.Time) float64 {
	if s.rateUpdatedAt.IsZero() {
		return 0
	}
	return s.piecesPerSecond * math.Exp(-now.Sub(s.rateUpdatedAt).Seconds()/throughputWindow.Seconds())
}

// recordMade adds completed pieces to the throughput.
func (s *Scheduler) recordMade(now time.Time, pieces int) {
	s.piecesPerSecond = s.currentRate(now) + float64(pieces)/throughputWindow.Seconds()
	s.rateUpdatedAt = now
}

// CallTime returns the average nominal time of recent calls, or that of a half-full call
// before the first.
func (s *Scheduler) CallTime() time.Duration {
	if s.recentCallTime == 0 {
		return s.nominalTime(s.spec.Size / 2)
	}
	return s.recentCallTime
}

// late reports whether a task that starts now would miss its objective. A task that occupies
// much memory at other servers is never late: while it waits, the pool that holds the results
// would stall.
func (s *Scheduler) late(now time.Time, t *Task) bool {
	if s.holdsMemory(t) {
		return false
	}
	return now.Add(s.CallTime() + lateMargin).After(t.Latest)
}

// sortWaiting puts tasks that can still meet their objective first, ordered by rank time.
// Deferred tasks go with the late ones.
func (s *Scheduler) sortWaiting(now time.Time, usable []*serverState) {
	for _, t := range s.waiting {
		t.deferred = s.late(now, t)
		t.rankAt = t.rankTime()
	}
	s.sort()
	if s.deferCostly(now, usable) {
		s.sort()
	}
}

func (s *Scheduler) sort() {
	slices.SortStableFunc(s.waiting, func(a, b *Task) int {
		if a.deferred != b.deferred {
			if a.deferred {
				return 1
			}
			return -1
		}
		return a.rankAt.Compare(b.rankAt)
	})
}

// rankTime returns the time by which tasks are ordered: when they must end, plus an offset for
// the priority.
func (t *Task) rankTime() time.Time {
	return t.Latest.Add(PriorityOffset(t.Priority))
}

// PriorityOffset returns how much later work of a priority is treated as due than the most
// urgent work.
func PriorityOffset(priority int) time.Duration {
	return time.Duration(priority) * priorityStep
}

// rejectHopeless fails the tasks that would not start in time for their deadline, so that
// their callers learn of it immediately, even while all servers are busy. The queue must be
// sorted.
func (s *Scheduler) rejectHopeless(now time.Time, usable []*serverState) {
	nextFreeIn := s.nextFreeIn(now, usable)
	rate := s.rate(now, len(usable))
	ahead := 0
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool {
		wait := s.expectedWait(now, t, nextFreeIn, rate, ahead)
		if now.Add(wait + s.spec.CallTime).After(t.Deadline) {
			t.Finish(FailureLate)
			return true
		}
		ahead += len(t.pending)
		return false
	})
}

// nextFreeIn returns the expected time until one of the servers is free, from the expected
// remaining time of its calls.
func (s *Scheduler) nextFreeIn(now time.Time, usable []*serverState) time.Duration {
	if !s.allSlotsBusy(usable) {
		return 0
	}
	shortestWait := s.nominalTime(s.spec.Size)
	for _, state := range usable {
		shortestWait = min(shortestWait, s.nextSlotIn(now, state))
	}
	return shortestWait
}
