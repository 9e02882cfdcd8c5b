// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import "time"

// The load pattern: work with large results is best made in its zone, and the one or
// two servers of that zone have more of it than they make in time, while those of
// other zones would.

// zoneQueue is what waits for the servers of one zone.
type zoneQueue struct {
	servers int
	// soonest is when the first of them is free, from now.
	soonest time.Duration
	// ahead is how many pieces wait for them.
	ahead int
}

// leaveZones lets tasks leave their zone that would be late if they waited for its
// servers. The order must be fresh.
func (s *Scheduler) leaveZones(now time.Time, usable []*serverState) {
	queues := s.zoneQueues(now, usable)
	for _, t := range s.waiting {
		t.leavesZone = false
		q := queues[t.Zone]
		if q == nil || !t.heavy() {
			continue
		}
		calls := q.ahead / (s.spec.Size * q.servers)
		wait := q.soonest + time.Duration(calls)*s.CallTime()
		t.leavesZone = !t.last && s.tooLate(now, t, wait)
		if !t.leavesZone {
			q.ahead += len(t.pending)
		}
	}
}

func (s *Scheduler) zoneQueues(now time.Time, usable []*serverState) map[string]*zoneQueue {
	queues := make(map[string]*zoneQueue)
	for _, state := range usable {
		free := s.freeIn(now, state)
		q := queues[state.Zone]
		if q == nil {
			q = &zoneQueue{soonest: free}
			queues[state.Zone] = q
		}
		q.servers++
		q.soonest = min(q.soonest, free)
	}
	return queues
}

// freeIn is how long it takes until a server takes another call.
func (s *Scheduler) freeIn(now time.Time, state *serverState) time.Duration {
	if len(state.running) < s.spec.Slots {
		return 0
	}
	soonest := never
	for _, c := range state.running {
		soonest = min(soonest, max(c.expected-now.Sub(c.began), 0))
	}
	return soonest
}
