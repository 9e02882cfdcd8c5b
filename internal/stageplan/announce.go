// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import "time"

// This file handles bursts of chains: their requests fill a later pool only after they were admitted,
// so that the queue there does not show yet how much will arrive.

// AnnouncedWork identifies work that will come to a later pool.
type AnnouncedWork struct {
	Service string
	// Priority is that of the requests, as in Work.
	Priority int
}

// Announced returns how many pieces the tasks of the pool will bring to each later pool, as far as
// they can be in time. Late work does not delay other work there.
func (s *Scheduler) Announced(now time.Time) map[AnnouncedWork]int {
	announced := make(map[AnnouncedWork]int)
	counted := make(map[*Task]bool)
	count := func(t *Task) {
		if len(t.Next) == 0 || counted[t] || t.ended || now.After(t.Latest) {
			return
		}
		counted[t] = true
		for _, l := range t.Next {
			announced[AnnouncedWork{Service: l.Service, Priority: t.Priority}] += l.Pieces
		}
	}
	for _, t := range s.waiting {
		if !t.deferred && !s.late(now, t) {
			count(t)
		}
	}
	for _, state := range s.servers {
		for _, c := range state.running {
			for _, item := range c.items {
				count(item.task)
			}
		}
	}
	return announced
}

// Rate returns the throughput of the pool in pieces a second when it is saturated; 0 means that no
// server is usable.
func (s *Scheduler) Rate(now time.Time) float64 {
	usable := s.usable(now)
	if len(usable) == 0 {
		return 0
	}
	return s.rate(now, len(usable))
}

// LateWait returns how long new work waits that cannot be in time. While work that can be in time
// takes all of the pool, the backlog is assumed to last as long again as it already has. Without a
// usable server it is the time until the first one has finished resting, as in QueueWaits: servers
// that are only in a short backoff must not look closed for as long as the report is used.
func (s *Scheduler) LateWait(now time.Time) time.Duration {
	usable := s.usable(now)
	if len(usable) == 0 {
		rested, _ := s.restEndsIn(func(Server) bool { return true })
		return max(s.spec.CallTime, rested)
	}
	t := &Task{Work: Work{Latest: now.Add(-time.Millisecond)}, arrivedAt: now, deferred: true}
	return s.expectedLateWait(now, t, s.nextFreeIn(now, usable), s.rate(now, len(usable)), s.Pieces())
}
