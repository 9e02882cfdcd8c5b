// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import "slices"

// refuseClosed ends what waits that none of the servers there are takes, as when their
// zones are evacuated, so that callers hear of it at once.
func (s *scheduler) refuseClosed() {
	if len(s.servers) == 0 {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(t *task) bool {
		if s.taken(t) {
			return false
		}
		t.finish(FailureClosed)
		return true
	})
}

// taken reports whether any of the servers may take a task.
func (s *scheduler) taken(t *task) bool {
	for _, state := range s.servers {
		if !state.Leaving && t.allows(state.Server) {
			return true
		}
	}
	return false
}
