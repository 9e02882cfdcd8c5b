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
	// largeDataBytes is the size of results or inputs from which work is preferably done in
	// its zone.
	largeDataBytes = 256 << 10
	// zoneWaitLimit is the longest that work with large data waits for a server of its zone.
	zoneWaitLimit = 500 * time.Millisecond
	// minEjection and maxEjection bound how long a failing server gets no calls.
	minEjection = 200 * time.Millisecond
	maxEjection = 3 * time.Second
	// fullBackoff is the least time that a full server gets no calls. From the second refusal
	// in a row on it doubles, up to maxFullDoublings times.
	fullBackoff      = 40 * time.Millisecond
	maxFullDoublings = 2
	// maxAttempts bounds how often one piece is sent.
	maxAttempts = 4
	// priorityStep is how much later a task may be due and still precede a task of the next
	// lower priority.
	priorityStep = 700 * time.Millisecond
	// lateMargin is kept between the end of a call and the time by which it must have ended.
	// It covers network latency and the wait for the next call.
	lateMargin = 60 * time.Millisecond
	// averageWeight is the divisor of the moving averages: each new sample counts for one part
	// in averageWeight.
	averageWeight = 8
	// capacityBackoff is how long a server without room for results gets no calls, unless
	// results are released there before.
	capacityBackoff = 50 * time.Millisecond
	// overdueFactor times its expected time plus overdueSlack is how long a call may take
	// before its pieces are sent to another server.
	overdueFactor = 2.0
	overdueSlack  = 120 * time.Millisecond
	// throughputWindow is the time constant of the average throughput of a pool: a few calls.
	throughputWindow = 700 * time.Millisecond
	// minThroughputShare is the least share of its nominal throughput that a pool is assumed
	// to reach when more work arrives than before.
	minThroughputShare = 0.5
	// unwantedGrace is how long a call continues when no caller waits for its pieces. The
	// results of a call that ends within that time can be released. The platform counts a
	// server as kept busy for a caller that left after half a second, part of which network
	// latency and the interval between checks consume.
	unwantedGrace = 300 * time.Millisecond
)

// Scheduler decides which pieces the next call of a pool contains and which server gets it. It
// is not safe for concurrent use.
type Scheduler struct {
	spec Spec
	// restTime returns for how long a server accepts no calls from this host.
	restTime func(instance string) time.Duration
	servers  map[netip.AddrPort]*serverState
	// waiting has the tasks with pending pieces.
	waiting []*Task
	// overdue has the calls whose pieces were sent again and whose answers are still accepted.
	overdue []*Call
	// callCount counts the calls built so far.
	callCount int
	// recentCallTime is the moving average of the nominal times of calls, 0 before the first.
	recentCallTime time.Duration
	// piecesPerSecond is the throughput averaged over throughputWindow, as of rateUpdatedAt.
	piecesPerSecond float64
	rateUpdatedAt   time.Time
	// backlogSince is the time since when tasks have been waiting for a server without
	// interruption. It is zero when none waits.
	backlogSince time.Time
	// arrivalRates has the rate of arriving work that is due within each of dueSteps.
	arrivalRates [len(dueSteps)]arrivalRate
}

// New returns the scheduler of a pool without servers. restTime returns for how long a server
// accepts no calls from this host.
func New(spec Spec, restTime func(instance string) time.Duration) *Scheduler {
	return &Scheduler{spec: spec, restTime: restTime, servers: make(map[netip.AddrPort]*serverState)}
}

// SetServers replaces the servers and keeps the state of those that remain.
func (s *Scheduler) SetServers(servers []Server) {
	listed := make(map[netip.AddrPort]bool, len(servers))
	for _, server := range servers {
		listed[server.Address] = true
		old := s.servers[server.Address]
		if old != nil && old.Instance == server.Instance {
			old.Server = server
			continue
		}
		s.servers[server.Address] = &serverState{Server: server, slowdown: 1, held: make(map[string]heldResult)}
	}
	for address, state := range s.servers {
		if !listed[address] {
			state.removed = true
			delete(s.servers, address)
		}
	}
}

// Configure replaces the pool's spec and its servers.
func (s *Scheduler) Configure(spec Spec, servers []Server) {
	s.spec = spec
	s.SetServers(servers)
}

// Spec returns the configuration of the pool.
func (s *Scheduler) Spec() Spec {
	return s.spec
}

// Add queues work and returns its task.
func (s *Scheduler) Add(now time.Time, w Work) *Task {
	t := &Task{
		Work:      w,
		arrivedAt: now,
		results:   make([]Result, len(w.Pieces)),
		attempts:  make([]int, len(w.Pieces)),
		inFlight:  make([]int, len(w.Pieces)),
		missing:   len(w.Pieces),
		done:      make(chan struct{}),
	}
	for i := range w.Pieces {
		t.pending = append(t.pending, i)
	}
	s.waiting = append(s.waiting, t)
	s.recordArrival(now, t)
	return t
}

// Pieces returns the number of queued pieces.
func (s *Scheduler) Pieces() int {
	total := 0
	for _, t := range s.waiting {
		total += len(t.pending)
	}
	return total
}

// expected returns the expected time of a call with the given number of pieces at a server with
// the given pace.
func (s *Scheduler) expected(pace float64, pieces int) time.Duration {
	return time.Duration(float64(s.nominalTime(pieces)) * pace)
}

// nominalTime returns the time of a call with the given number of pieces at an undisturbed
// server.
func (s *Scheduler) nominalTime(pieces int) time.Duration {
	return s.spec.CallTime + time.Duration(pieces)*s.spec.PieceTime
}

// usable returns the servers that may get calls, the fastest first. It omits servers that are
// leaving, resting or in backoff.
func (s *Scheduler) usable(now time.Time) []*serverState {
	var states []*serverState
	for _, state := range s.servers {
		state.decay(now)
		if !state.Leaving && !now.Before(state.unavailableUntil) && s.restTime(state.Instance) == 0 {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(a, b *serverState) int {
		if c := cmp.Compare(a.pace(now), b.pace(now)); c != 0 {
			return c
		}
		return a.Address.Compare(b.Address)
	})
	return states
}

// Next returns the next call. It reports false if nothing can be sent now.
func (s *Scheduler) Next(now time.Time) (*Call, bool) {
	call := s.nextCall(now)
	if call == nil {
		s.updateBacklog(now)
	}
	return call, call != nil
}

// Idle reports whether no task is queued.
func (s *Scheduler) Idle() bool {
	return len(s.waiting) == 0
}

func (s *Scheduler) nextCall(now time.Time) *Call {
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
		case len(state.running) >= s.spec.Slots || state.busyElsewhere(now):
		case state.pace(now) > usable[0].pace(now)*slowFactor || state.losesAnswers():
			slow = append(slow, state)
		default:
			free = append(free, state)
		}
	}
	s.rejectClosed()
	s.rejectResting(now)
	if len(usable) == 0 {
		s.recordRoom(now, zones)
		return nil
	}
	s.sortWaiting(now, usable)
	s.relaxZones(now, usable)
	s.rejectHopeless(now, usable)
	if !s.reservesServers(now, len(free), len(usable)) {
		if call := s.fillFree(now, free, zones); call != nil {
			return call
		}
	}
	call := s.fillSlow(now, slow, len(usable)-len(slow), zones)
	if call == nil {
		s.recordRoom(now, zones)
	}
	return call
}

// reservesServers reports whether late tasks must wait although servers are free. Half of the
// servers are reserved for arriving tasks that can still be in time, which would otherwise
// wait for a whole call.
func (s *Scheduler) reservesServers(now time.Time, free, usable int) bool {
	if len(s.waiting) == 0 || !s.waiting[0].deferred {
		return false
	}
	return 2*free <= usable && s.arrivalsWithin(now, s.CallTime()) >= 1
}

// fillFree builds a call for one of the free servers, the one preferred by the first task that
// any of them can run.
func (s *Scheduler) fillFree(now time.Time, free []*serverState, zones map[string]bool) *Call {
	pieces := s.Pieces()
	for len(free) > 0 && pieces > 0 {
		maxPieces := min((pieces+len(free)-1)/len(free), s.spec.Size)
		split := pieces > s.spec.Size*len(free)
		best := s.selectServer(now, free, zones)
		if best < 0 {
			return nil
		}
		if call := s.fill(now, free[best], callLimits{maxPieces: maxPieces, split: split}, zones); call != nil {
			return call
		}
		// The server has no room for the results of any queued task.
		free = slices.Delete(free, best, best+1)
	}
	return nil
}

// selectServer returns the index of the server for the first task that may run on one of them:
// a server in the task's zone if it has one, else in the zone with most free servers, so that
// every zone keeps some free. It returns -1 if there is none.
func (s *Scheduler) selectServer(now time.Time, free []*serverState, zones map[string]bool) int {
	inZone := make(map[string]int)
	for _, state := range free {
		inZone[state.Zone]++
	}
	for _, t := range s.waiting {
		best := -1
		for i, state := range free {
			if !s.zoneAllows(now, t, state, zones) {
				continue
			}
			if best < 0 || prefersServer(t, state, free[best], inZone) {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

// prefersServer reports whether a task should run on one server rather than on another.
func prefersServer(t *Task, one, other *serverState, inZone map[string]int) bool {
	if t.zoneSensitive() && t.Zone != "" && (one.Zone == t.Zone) != (other.Zone == t.Zone) {
		return one.Zone == t.Zone
	}
	return inZone[one.Zone] > inZone[other.Zone]
}

// callLimits restricts what a call may contain.
type callLimits struct {
	// maxPieces bounds its pieces; split says whether tasks may be spread over several calls.
	maxPieces int
	split     bool
	// skipRetries leaves out pieces that were sent before without an answer, until
	// retryWaitLimit has passed.
	skipRetries bool
}

// fill builds a call for a server. It returns nil if no task fits.
func (s *Scheduler) fill(now time.Time, state *serverState, limits callLimits, zones map[string]bool) *Call {
	call := &Call{server: state, target: state.Server, startedAt: now, number: s.callCount}
	room := s.spec.ResultCapacity - state.used
	for _, t := range s.waiting {
		if !s.zoneAllows(now, t, state, zones) || limits.skipRetries && t.hasRetries() && now.Sub(t.arrivedAt) < retryWaitLimit {
			continue
		}
		call.add(t, s.pieceCount(t, call, limits.maxPieces, limits.split, room))
		if len(t.pending) > 0 && len(t.pending) < len(t.Pieces) && t.zoneSensitive() {
			// The remaining pieces are best done in the zone of this part.
			t.Zone = state.Zone
		}
		if len(call.items) >= limits.maxPieces {
			break
		}
	}
	if len(call.items) == 0 {
		return nil
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Task) bool { return len(t.pending) == 0 })
	call.expected = s.expected(state.awaitedPace(now), len(call.items))
	s.callCount++
	nominalTime := s.nominalTime(len(call.items))
	s.recentCallTime = s.CallTime() + (nominalTime-s.CallTime())/averageWeight
	state.used += call.bytes
	state.running = append(state.running, call)
	return call
}

// pieceCount returns how many pieces of a task go into a call. A task is split only if it is
// larger than a call, or if more pieces wait than the free servers take and calls should be
// full. Otherwise its pieces end together and in one zone.
func (s *Scheduler) pieceCount(t *Task, call *Call, maxPieces int, split bool, room int64) int {
	count := min(len(t.pending), s.spec.Size-len(call.items))
	if s.spec.ResultCapacity > 0 && t.ResultBytes > 0 {
		count = min(count, int(max(room-call.bytes, 0)/t.ResultBytes))
	}
	whole := min(len(t.pending), s.spec.Size)
	if count > 0 && split {
		return min(count, maxPieces-len(call.items))
	}
	if count < whole && (len(call.items) > 0 || int64(whole)*t.ResultBytes <= s.spec.ResultCapacity) {
		return 0
	}
	if len(call.items) > 0 && len(call.items)+count > maxPieces {
		return 0
	}
	return count
}

// zoneAllows reports whether a task may run on a server as far as regions and zones are
// concerned.
func (s *Scheduler) zoneAllows(now time.Time, t *Task, state *serverState, zones map[string]bool) bool {
	if !t.Allows(state.Server) {
		return false
	}
	if !t.zoneSensitive() || t.Zone == "" || t.Zone == state.Zone || !zones[t.Zone] {
		return true
	}
	return t.anyZone || now.Sub(t.arrivedAt) > zoneWaitLimit
}

// expire fails the tasks that can no longer finish by their deadline and forgets results that
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
