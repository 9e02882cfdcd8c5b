// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"slices"
	"time"
)

// refuseClosed ends what waits that none of the servers there are takes, as when their
// zones are evacuated, so that callers hear of it at once.
func (s *Scheduler) refuseClosed() {
	if len(s.servers) == 0 {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool {
		if s.taken(t) {
			return false
		}
		t.Finish(FailureClosed)
		return true
	})
}

// taken reports whether any of the servers may take a task.
func (s *Scheduler) taken(t *Task) bool {
	for _, state := range s.servers {
		if !state.Leaving && t.Allows(state.Server) {
			return true
		}
	}
	return false
}

// refuseResting ends what waits that would be of no use any more once the first of the
// servers that take it is rested.
func (s *Scheduler) refuseResting(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool {
		rested, ok := s.restedIn(t.Allows)
		if !ok || rested == 0 || !now.Add(rested+s.spec.CallTime).After(t.Deadline) {
			return false
		}
		t.Finish(FailureResting)
		return true
	})
}

// restedIn is how long it takes until the first of the servers that don't leave, of those
// allowed, is rested; 0 where one doesn't rest. It reports false where there are none.
func (s *Scheduler) restedIn(allows func(Server) bool) (time.Duration, bool) {
	soonest := time.Duration(-1)
	for _, state := range s.servers {
		if state.Leaving || !allows(state.Server) {
			continue
		}
		if rest := s.rest(state.Instance); soonest < 0 || rest < soonest {
			soonest = rest
		}
	}
	return max(soonest, 0), soonest >= 0
}
