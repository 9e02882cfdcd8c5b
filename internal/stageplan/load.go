// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// loadTTL is how long a reported load is used. Loads change many times a second, and a
	// server must not be left idle because of a report that no later one replaces.
	loadTTL = 300 * time.Millisecond
	// reportTransit is how long ago a call may have ended and still be counted in a report that
	// was under way meanwhile.
	reportTransit = 50 * time.Millisecond
	// maxAwaitedPace bounds the reported pace by which a call is awaited. An unbounded one would
	// delay the detection of calls that are never answered.
	maxAwaitedPace = 4
)

// ReportedLoad is what a server reports about its load.
type ReportedLoad struct {
	// Calls is the number of calls of all hosts that run or wait at the server.
	Calls int
	// Pace is the current time of work as a multiple of its usual time, 0 if it is not reported.
	Pace float64
}

// LoadChange is how a reported load changes whether a server may get calls.
type LoadChange int

// The changes by a reported load.
const (
	LoadChangeNone LoadChange = iota
	// LoadChangeBusy says that the server is now known to have calls of others.
	LoadChangeBusy
	// LoadChangeFree says that the server has no more calls of others.
	LoadChangeFree
)

// serverLoad is the last load that a server reported.
type serverLoad struct {
	// pace is the reported pace, 0 if none was reported. Both are used until expires.
	pace float64
	// busyElsewhere says that the server has calls that this scheduler does not know of.
	busyElsewhere bool
	expires       time.Time
	// endedAt has when calls were answered within the last reportTransit.
	endedAt []time.Time
}

// RecordLoad records the load that a run of a server reports in an answer. It must be called
// before Finish or Refuse for the call that the answer belongs to, since the report may count
// that call. Without LoadAware it has no effect.
func (s *Scheduler) RecordLoad(now time.Time, instance string, address netip.AddrPort, r ReportedLoad) LoadChange {
	state := s.servers[address]
	if !s.spec.LoadAware || state == nil || state.Instance != instance {
		return LoadChangeNone
	}
	was := state.busyElsewhere(now)
	state.load.forgetEnded(now)
	known := len(state.running) + len(state.load.endedAt)
	state.load.pace, state.load.busyElsewhere, state.load.expires = r.Pace, r.Calls > known, now.Add(loadTTL)
	switch {
	case state.load.busyElsewhere && !was:
		return LoadChangeBusy
	case was && !state.load.busyElsewhere:
		return LoadChangeFree
	default:
		return LoadChangeNone
	}
}

// recordEnd records that a call was answered.
func (l *serverLoad) recordEnd(now time.Time) {
	l.forgetEnded(now)
	l.endedAt = append(l.endedAt, now)
}

func (l *serverLoad) forgetEnded(now time.Time) {
	l.endedAt = slices.DeleteFunc(l.endedAt, func(at time.Time) bool { return now.Sub(at) > reportTransit })
}

// busyElsewhere reports whether the server has calls that this scheduler does not know of.
func (s *serverState) busyElsewhere(now time.Time) bool {
	return s.load.busyElsewhere && now.Before(s.load.expires)
}

// pace returns the ratio of the time that calls take now to their nominal time: the measured
// one, or the reported one if it is higher. A lower one is not used, since a server may report
// that it is idle and yet answer slowly.
func (s *serverState) pace(now time.Time) float64 {
	if !now.Before(s.load.expires) {
		return s.slowdown
	}
	return max(s.slowdown, s.load.pace)
}

// awaitedPace returns the pace by which a call that starts now is awaited.
func (s *serverState) awaitedPace(now time.Time) float64 {
	return max(s.slowdown, min(s.pace(now), maxAwaitedPace))
}
