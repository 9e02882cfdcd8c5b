// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"slices"
	"time"
)

// Oldest is how long the first task has waited for the start of its pieces.
func (s *Scheduler) Oldest(now time.Time) time.Duration {
	var oldest time.Duration
	for _, t := range s.waiting {
		oldest = max(oldest, now.Sub(t.arrived))
	}
	return oldest
}

// Queue is how long new work that can be in time waits for the start of its
// call, roughly: what is late already goes after it, and what is due sooner
// before it.
func (s *Scheduler) Queue(now time.Time) Queue {
	var waits Queue
	usable := s.usable(now)
	if len(usable) == 0 {
		rested, _ := s.restedIn(func(Server) bool { return true })
		for i := range waits {
			waits[i] = max(s.spec.CallTime, rested)
		}
		return waits
	}
	turn := s.turn(now, usable)
	rate := s.rate(now, len(usable))
	for i, pieces := range s.ahead(now) {
		waits[i] = turn + time.Duration(float64(pieces)/rate*float64(time.Second))
	}
	return waits
}

// ahead is how many pieces wait that go before new work due within each of
// dueSteps.
func (s *Scheduler) ahead(now time.Time) [len(dueSteps)]int {
	var ahead [len(dueSteps)]int
	for _, t := range s.waiting {
		if t.last || s.late(now, t) {
			continue
		}
		due := t.rank().Sub(now)
		for i, step := range dueSteps {
			if due <= step {
				ahead[i] += len(t.pending)
			}
		}
	}
	return ahead
}

// rate is how many pieces a second the pool makes when more waits than it
// takes. Where it has been crowded for a while that was seen; before, it is what
// full calls would make.
func (s *Scheduler) rate(now time.Time, servers int) float64 {
	nominal := float64(s.spec.Size*servers*s.spec.Slots) / s.even(s.spec.Size).Seconds()
	if !s.crowdedLong(now) {
		return nominal
	}
	return min(max(s.paced(now), paceLeast*nominal), nominal)
}

// crowdedLong reports whether work has waited long enough for what was made and
// what came meanwhile to tell of the pool: some calls at least, else the pieces
// that wait for a first long call are taken for lost.
func (s *Scheduler) crowdedLong(now time.Time) bool {
	return !s.crowdedSince.IsZero() && now.Sub(s.crowdedSince) >= 2*max(paceSpan, s.CallTime())
}

// noteCrowd notes whether more waits than free servers take.
func (s *Scheduler) noteCrowd(now time.Time) {
	switch {
	case len(s.waiting) == 0:
		s.crowdedSince = time.Time{}
	case s.crowdedSince.IsZero():
		s.crowdedSince = now
	}
}

func (s *Scheduler) busy(servers []*serverState) bool {
	running := 0
	for _, state := range servers {
		running += len(state.running)
	}
	return running >= len(servers)*s.spec.Slots
}

// paced is how many pieces a second the pool makes lately. Where room or slow
// servers bound it, that is less than calls and servers would allow.
func (s *Scheduler) paced(now time.Time) float64 {
	if s.pacedAt.IsZero() {
		return 0
	}
	return s.pace * math.Exp(-now.Sub(s.pacedAt).Seconds()/paceSpan.Seconds())
}

// made counts pieces that were made.
func (s *Scheduler) made(now time.Time, pieces int) {
	s.pace = s.paced(now) + float64(pieces)/paceSpan.Seconds()
	s.pacedAt = now
}

// CallTime is how long calls take lately.
func (s *Scheduler) CallTime() time.Duration {
	if s.lately == 0 {
		return s.even(s.spec.Size / 2)
	}
	return s.lately
}

// late reports whether a task that starts now cannot end in time. One that holds
// room elsewhere never counts as late: while it waits, the pool where the room
// is comes to a stand.
func (s *Scheduler) late(now time.Time, t *Task) bool {
	if t.holdsRoom() {
		return false
	}
	return now.Add(s.CallTime() + lateMargin).After(t.Latest)
}

// order puts first what can still keep its objective, and there what must end
// first; what is set aside goes with what is late.
func (s *Scheduler) order(now time.Time, usable []*serverState) {
	for _, t := range s.waiting {
		t.last = s.late(now, t)
		t.due = t.rank()
	}
	s.sort()
	if s.setAside(now, usable) {
		s.sort()
	}
}

func (s *Scheduler) sort() {
	slices.SortStableFunc(s.waiting, func(a, b *Task) int {
		if a.last != b.last {
			if a.last {
				return 1
			}
			return -1
		}
		return a.due.Compare(b.due)
	})
}

// rank orders tasks: by when they must end, with some time for each priority.
func (t *Task) rank() time.Time {
	return t.Latest.Add(PriorityTime(t.Priority))
}

// PriorityTime is how much later work of a priority is taken to be due than the
// most urgent.
func PriorityTime(priority int) time.Duration {
	return time.Duration(priority) * priorityTime
}

// giveUp ends tasks that would not be reached before they are of no use, so that
// their callers hear of it at once, also while all servers work. The order must be
// fresh.
func (s *Scheduler) giveUp(now time.Time, usable []*serverState) {
	turn := s.turn(now, usable)
	rate := s.rate(now, len(usable))
	ahead := 0
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool {
		wait := s.reach(now, t, turn, rate, ahead)
		if now.Add(wait + s.spec.CallTime).After(t.Deadline) {
			t.Finish(FailureLate)
			return true
		}
		ahead += len(t.pending)
		return false
	})
}

// turn is how long it takes until one of the servers is free, by how long its
// calls are expected to take yet.
func (s *Scheduler) turn(now time.Time, usable []*serverState) time.Duration {
	if !s.busy(usable) {
		return 0
	}
	soonest := s.even(s.spec.Size)
	for _, state := range usable {
		soonest = min(soonest, s.freeIn(now, state))
	}
	return soonest
}
