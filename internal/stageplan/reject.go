// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"slices"
	"time"
)

// rejectClosed fails the queued tasks that no server accepts, for example when their zones are
// evacuated, so that callers learn of it immediately.
func (s *Scheduler) rejectClosed() {
	if len(s.servers) == 0 {
		return
	}
	// Most tasks may run in any region and share one look at the servers. Looking at all servers
	// for each task took most of the time of an owner with some hundred tasks.
	anywhere := &Task{}
	open := s.hasAllowedServer(anywhere)
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool {
		if open && len(t.AllowedRegions) == 0 || len(t.AllowedRegions) > 0 && s.hasAllowedServer(t) {
			return false
		}
		t.Finish(FailureClosed)
		return true
	})
}

// hasAllowedServer reports whether any of the servers may run a task.
func (s *Scheduler) hasAllowedServer(t *Task) bool {
	for _, state := range s.servers {
		if !state.Leaving && t.Allows(state.Server) {
			return true
		}
	}
	return false
}

// rejectResting fails the queued tasks whose deadline would pass before the first server that
// accepts them has finished resting.
func (s *Scheduler) rejectResting(now time.Time) {
	if !s.anyResting() {
		return
	}
	anywhere := &Task{}
	anywhereRested, anywhereOK := s.restEndsIn(anywhere.Allows)
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool {
		rested, ok := anywhereRested, anywhereOK
		if len(t.AllowedRegions) > 0 {
			rested, ok = s.restEndsIn(t.Allows)
		}
		if !ok || rested == 0 || !now.Add(rested+s.spec.CallTime).After(t.Deadline) {
			return false
		}
		t.Finish(FailureResting)
		return true
	})
}

// anyResting reports whether a server that is not leaving rests. If none does, no task waits for one.
func (s *Scheduler) anyResting() bool {
	for _, state := range s.servers {
		if !state.Leaving && s.restTime(state.Instance) > 0 {
			return true
		}
	}
	return false
}

// restEndsIn returns the time until the first of the allowed servers that are not leaving has
// finished resting, 0 if one is not resting. It reports false if there are none.
func (s *Scheduler) restEndsIn(allows func(Server) bool) (time.Duration, bool) {
	shortestWait := time.Duration(-1)
	for _, state := range s.servers {
		if state.Leaving || !allows(state.Server) {
			continue
		}
		if restTime := s.restTime(state.Instance); shortestWait < 0 || restTime < shortestWait {
			shortestWait = restTime
		}
	}
	return max(shortestWait, 0), shortestWait >= 0
}
