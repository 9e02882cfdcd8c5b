// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"slices"
	"time"
)

// oldest is how long the first task has waited for the start of its pieces.
func (s *scheduler) oldest(now time.Time) time.Duration {
	var oldest time.Duration
	for _, t := range s.waiting {
		oldest = max(oldest, now.Sub(t.arrived))
	}
	return oldest
}

// wait is how long new work that can be in time waits for the start of its
// call, roughly: what is late already goes after it.
func (s *scheduler) wait(now time.Time) time.Duration {
	usable := s.usable(now)
	if len(usable) == 0 {
		return s.spec.CallTime
	}
	pieces := 0
	for _, t := range s.waiting {
		if !s.late(now, t) {
			pieces += len(t.pending)
		}
	}
	rounds := float64(pieces) / float64(s.spec.Size*len(usable)*s.spec.Slots)
	busy := 0
	for _, state := range usable {
		busy += len(state.running)
	}
	if busy >= len(usable)*s.spec.Slots {
		rounds += 0.5 / float64(len(usable))
	}
	return time.Duration(rounds * float64(s.even(s.spec.Size)))
}

// callTime is how long calls take lately.
func (s *scheduler) callTime() time.Duration {
	if s.lately == 0 {
		return s.even(s.spec.Size / 2)
	}
	return s.lately
}

// late reports whether a task that starts now cannot end in time. One that holds
// room elsewhere never counts as late: while it waits, the pool where the room
// is comes to a stand.
func (s *scheduler) late(now time.Time, t *task) bool {
	if t.holdsRoom() {
		return false
	}
	return now.Add(s.callTime() + lateMargin).After(t.Latest)
}

// order puts first what can still keep its objective, and there what must end
// first.
func (s *scheduler) order(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *task) int {
		lateA, lateB := s.late(now, a), s.late(now, b)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		return a.rank().Compare(b.rank())
	})
}

// rank orders tasks: by when they must end, with some time for each priority.
func (t *task) rank() time.Time {
	return t.Latest.Add(time.Duration(t.Priority) * priorityTime)
}

// giveUp ends tasks that would not be reached before they are of no use, so that
// their callers hear of it at once. The order must be fresh.
func (s *scheduler) giveUp(now time.Time, servers int) {
	round := float64(s.even(s.spec.Size)) / float64(s.spec.Size*s.spec.Slots*servers)
	ahead := 0
	s.waiting = slices.DeleteFunc(s.waiting, func(t *task) bool {
		wait := time.Duration(float64(ahead) * round)
		if now.Add(wait + s.spec.CallTime).After(t.Deadline) {
			t.finish(FailureLate)
			return true
		}
		ahead += len(t.pending)
		return false
	})
}
