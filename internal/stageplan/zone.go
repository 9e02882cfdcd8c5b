// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import "time"

// This file handles overloaded zones: work with large results is best done in its zone, but the one
// or two servers of that zone have more of it than they can finish in time, while servers of other
// zones could.

// zoneQueue is the work that waits for the servers of one zone.
type zoneQueue struct {
	servers int
	// shortestWait is the time until the first of them is free.
	shortestWait time.Duration
	// ahead is how many pieces wait for them.
	ahead int
}

// relaxZones lets tasks run outside their zone if they would be late waiting for its servers.
// The queue must be sorted.
func (s *Scheduler) relaxZones(now time.Time, usable []*serverState) {
	queues := s.zoneQueues(now, usable)
	for _, t := range s.waiting {
		t.anyZone = false
		q := queues[t.Zone]
		if q == nil || !t.zoneSensitive() {
			continue
		}
		calls := q.ahead / (s.spec.Size * q.servers)
		wait := q.shortestWait + time.Duration(calls)*s.CallTime()
		t.anyZone = !t.deferred && s.tooLate(now, t, wait)
		if !t.anyZone {
			q.ahead += len(t.pending)
		}
	}
}

func (s *Scheduler) zoneQueues(now time.Time, usable []*serverState) map[string]*zoneQueue {
	queues := make(map[string]*zoneQueue)
	for _, state := range usable {
		free := s.nextSlotIn(now, state)
		q := queues[state.Zone]
		if q == nil {
			q = &zoneQueue{shortestWait: free}
			queues[state.Zone] = q
		}
		q.servers++
		q.shortestWait = min(q.shortestWait, free)
	}
	return queues
}

// nextSlotIn returns the time until a server can accept another call.
func (s *Scheduler) nextSlotIn(now time.Time, state *serverState) time.Duration {
	if len(state.running) < s.spec.Slots {
		return 0
	}
	shortestWait := maxWait
	for _, c := range state.running {
		shortestWait = min(shortestWait, max(c.expected-now.Sub(c.startedAt), 0))
	}
	return shortestWait
}
