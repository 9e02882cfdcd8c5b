// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// heavyBytes is the size of results or inputs from which work is done in
	// its zone.
	heavyBytes = 256 << 10
	// zonePatience is the longest that heavy work waits for a server of its zone.
	zonePatience = 500 * time.Millisecond
	// ejectFirst and ejectMost bound how long a failing server is left alone.
	ejectFirst = 200 * time.Millisecond
	ejectMost  = 3 * time.Second
	// fullPause is the least time that a server is left alone that was full; from
	// the second time in a row on it is longer, up to fullsMost doublings.
	fullPause = 40 * time.Millisecond
	fullsMost = 2
	// triesMost bounds how often one piece is sent.
	triesMost = 4
	// priorityTime is how much later a task may be due to go before one of the
	// next lower priority.
	priorityTime = 700 * time.Millisecond
	// lateMargin is kept between the end of a call and the moment by which it
	// must have ended, for the ways and the next call's turn.
	lateMargin = 60 * time.Millisecond
	// latelyWeight is how many calls the average time of calls comes from.
	latelyWeight = 8
	// roomPause is how long a server without room gets no work, unless results
	// are given up there before.
	roomPause = 50 * time.Millisecond
	// overdueFactor times its expected time and overdueSlack is how long a call
	// may take before its pieces are sent to another server.
	overdueFactor = 2.0
	overdueSlack  = 120 * time.Millisecond
	// paceSpan is over how long the pace of a pool is averaged: a few calls.
	paceSpan = 700 * time.Millisecond
	// paceLeast is the least share of its nominal pace that a pool is taken to
	// reach when more work comes than before.
	paceLeast = 0.5
	// unwantedFor is how long a call goes on whose pieces nobody waits for. The
	// results of one that ends before can be given up; later, the platform
	// counts its server as kept at work for a caller who left: after half a
	// second, of which the ways and recheck take some.
	unwantedFor = 300 * time.Millisecond
)

// Scheduler decides what the next call of a pool has and where it goes. It is
// not safe for concurrent use.
type Scheduler struct {
	spec Spec
	// rest returns for how long a server wants nothing from this host.
	rest    func(instance string) time.Duration
	servers map[netip.AddrPort]*serverState
	// waiting has the tasks with pending pieces.
	waiting []*Task
	// lately is the average time of the last calls, as their pieces have it.
	lately time.Duration
	// pace is how many pieces were made a second, over paceSpan, as of pacedAt.
	pace    float64
	pacedAt time.Time
	// crowdedSince is from when on some work has always waited for a server;
	// zero where none waits.
	crowdedSince time.Time
	// flows has what comes that is due within each of dueSteps.
	flows [len(dueSteps)]flow
}

// New returns the scheduler of a pool without servers; rest returns for how long a
// server wants nothing from this host.
func New(spec Spec, rest func(instance string) time.Duration) *Scheduler {
	return &Scheduler{spec: spec, rest: rest, servers: make(map[netip.AddrPort]*serverState)}
}

// SetServers replaces the servers, and keeps what is known of those that stay.
func (s *Scheduler) SetServers(servers []Server) {
	listed := make(map[netip.AddrPort]bool, len(servers))
	for _, server := range servers {
		listed[server.Address] = true
		old := s.servers[server.Address]
		if old != nil && old.Instance == server.Instance {
			old.Server = server
			continue
		}
		s.servers[server.Address] = &serverState{Server: server, factor: 1, held: make(map[string]heldResult)}
	}
	for address, state := range s.servers {
		if !listed[address] {
			state.gone = true
			delete(s.servers, address)
		}
	}
}

// Configure replaces the pool's spec and its servers.
func (s *Scheduler) Configure(spec Spec, servers []Server) {
	s.spec = spec
	s.SetServers(servers)
}

// Spec returns what the configuration says of the pool.
func (s *Scheduler) Spec() Spec {
	return s.spec
}

// Add lets work wait.
func (s *Scheduler) Add(now time.Time, w Work) *Task {
	t := &Task{
		Work:    w,
		arrived: now,
		results: make([]Result, len(w.Pieces)),
		tries:   make([]int, len(w.Pieces)),
		missing: len(w.Pieces),
		done:    make(chan struct{}),
	}
	for i := range w.Pieces {
		t.pending = append(t.pending, i)
	}
	s.waiting = append(s.waiting, t)
	s.came(now, t)
	return t
}

// Pieces is how many pieces wait.
func (s *Scheduler) Pieces() int {
	total := 0
	for _, t := range s.waiting {
		total += len(t.pending)
	}
	return total
}

// expected is how long a call with so many pieces takes at a server.
func (s *Scheduler) expected(state *serverState, pieces int) time.Duration {
	return time.Duration(float64(s.even(pieces)) * state.factor)
}

// even is how long a call with so many pieces takes at an undisturbed server.
func (s *Scheduler) even(pieces int) time.Duration {
	return s.spec.CallTime + time.Duration(pieces)*s.spec.PieceTime
}

// usable returns the servers that may get work, the quickest first. A slow one
// is left out while there are others.
func (s *Scheduler) usable(now time.Time) []*serverState {
	var states []*serverState
	for _, state := range s.servers {
		state.fade(now)
		if !state.Leaving && !now.Before(state.until) && s.rest(state.Instance) == 0 {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(a, b *serverState) int {
		if c := cmp.Compare(a.factor, b.factor); c != 0 {
			return c
		}
		return a.Address.Compare(b.Address)
	})
	return states
}

// Next returns the next call, and reports false where nothing can be sent now.
func (s *Scheduler) Next(now time.Time) (*Call, bool) {
	c := s.choose(now)
	if c == nil {
		s.noteCrowd(now)
	}
	return c, c != nil
}

// Idle reports whether nothing waits to be sent.
func (s *Scheduler) Idle() bool {
	return len(s.waiting) == 0
}

func (s *Scheduler) choose(now time.Time) *Call {
	s.expire(now)
	if len(s.waiting) == 0 {
		return nil
	}
	usable := s.usable(now)
	var free, slow []*serverState
	zones := make(map[string]bool)
	for _, state := range usable {
		zones[state.Zone] = true
		switch {
		case len(state.running) >= s.spec.Slots:
		case state.factor > usable[0].factor*slowFactor || state.losesAnswers():
			slow = append(slow, state)
		default:
			free = append(free, state)
		}
	}
	s.refuseClosed()
	s.refuseResting(now)
	if len(usable) == 0 {
		return nil
	}
	s.order(now, usable)
	s.leaveZones(now, usable)
	s.giveUp(now, usable)
	if !s.keepsFree(now, len(free), len(usable)) {
		if b := s.fillFree(now, free, zones); b != nil {
			return b
		}
	}
	return s.fillSlow(now, slow, len(usable)-len(slow), zones)
}

// keepsFree reports whether what is late waits although servers are free: half of them
// are kept for what comes and can be in time, which would wait for a whole call.
func (s *Scheduler) keepsFree(now time.Time, free, usable int) bool {
	if len(s.waiting) == 0 || !s.waiting[0].last {
		return false
	}
	return 2*free <= usable && s.comesWithin(now, s.CallTime()) >= 1
}

// fillFree makes up a call for one of the free servers: the one that suits the
// first task that any of them suits.
func (s *Scheduler) fillFree(now time.Time, free []*serverState, zones map[string]bool) *Call {
	pieces := s.Pieces()
	for len(free) > 0 && pieces > 0 {
		most := min((pieces+len(free)-1)/len(free), s.spec.Size)
		split := pieces > s.spec.Size*len(free)
		best := s.firstSuited(now, free, zones)
		if best < 0 {
			return nil
		}
		if b := s.fill(now, free[best], callOf{most: most, split: split}, zones); b != nil {
			return b
		}
		// It has no room for anything that waits.
		free = slices.Delete(free, best, best+1)
	}
	return nil
}

// firstSuited returns the position of the server for the first task that may
// run on one of them: in the task's zone where it has one, else in the zone with
// most free servers, so that all zones keep some. It returns -1 for none.
func (s *Scheduler) firstSuited(now time.Time, free []*serverState, zones map[string]bool) int {
	inZone := make(map[string]int)
	for _, state := range free {
		inZone[state.Zone]++
	}
	for _, t := range s.waiting {
		best := -1
		for i, state := range free {
			if !s.fits(now, t, state, zones) {
				continue
			}
			if best < 0 || suits(t, state, free[best], inZone) {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

// suits reports whether a task is better run at one server than at another.
func suits(t *Task, one, other *serverState, inZone map[string]int) bool {
	if t.heavy() && t.Zone != "" && (one.Zone == t.Zone) != (other.Zone == t.Zone) {
		return one.Zone == t.Zone
	}
	return inZone[one.Zone] > inZone[other.Zone]
}

// callOf is what a call may have.
type callOf struct {
	// most bounds its pieces; split says whether tasks may be spread over calls.
	most  int
	split bool
	// fresh leaves out what was sent in vain before, for a while.
	fresh bool
}

// fill makes up a call for a server.
func (s *Scheduler) fill(now time.Time, state *serverState, c callOf, zones map[string]bool) *Call {
	b := &Call{server: state, target: state.Server, began: now}
	room := s.spec.Room - state.used
	for _, t := range s.waiting {
		if !s.fits(now, t, state, zones) || c.fresh && t.sentInVain() && now.Sub(t.arrived) < vainPatience {
			continue
		}
		b.take(t, s.takes(t, b, c.most, c.split, room))
		if len(t.pending) > 0 && len(t.pending) < len(t.Pieces) && t.heavy() {
			// The rest is best made where this part is.
			t.Zone = state.Zone
		}
		if len(b.items) >= c.most {
			break
		}
	}
	if len(b.items) == 0 {
		return nil
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool { return len(t.pending) == 0 })
	b.expected = s.expected(state, len(b.items))
	even := s.even(len(b.items))
	s.lately = s.CallTime() + (even-s.CallTime())/latelyWeight
	state.used += b.bytes
	state.running = append(state.running, b)
	return b
}

// takes is how many pieces of a task go into a call. A task is split only where
// it is larger than a call, or where more waits than the free servers take and
// full calls count: otherwise its pieces end together and in one zone.
func (s *Scheduler) takes(t *Task, b *Call, most int, split bool, room int64) int {
	count := min(len(t.pending), s.spec.Size-len(b.items))
	if s.spec.Room > 0 && t.ResultBytes > 0 {
		count = min(count, int(max(room-b.bytes, 0)/t.ResultBytes))
	}
	whole := min(len(t.pending), s.spec.Size)
	if count > 0 && split {
		return min(count, most-len(b.items))
	}
	if count < whole && (len(b.items) > 0 || int64(whole)*t.ResultBytes <= s.spec.Room) {
		return 0
	}
	if len(b.items) > 0 && len(b.items)+count > most {
		return 0
	}
	return count
}

// fits reports whether a task may run at a server as far as zones go.
func (s *Scheduler) fits(now time.Time, t *Task, state *serverState, zones map[string]bool) bool {
	if !t.Allows(state.Server) {
		return false
	}
	if !t.heavy() || t.Zone == "" || t.Zone == state.Zone || !zones[t.Zone] {
		return true
	}
	return t.leavesZone || now.Sub(t.arrived) > zonePatience
}

// expire ends the tasks that are of no use any more and forgets results that
// their servers have dropped.
func (s *Scheduler) expire(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool {
		if t.ended {
			return true
		}
		if now.Add(s.spec.CallTime).After(t.Deadline) {
			t.Finish(FailureLate)
			return true
		}
		return false
	})
	for _, state := range s.servers {
		for handle, h := range state.held {
			if now.After(h.expires) {
				state.used -= h.bytes
				delete(state.held, handle)
			}
		}
	}
}
