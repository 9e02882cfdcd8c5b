// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// serverState is the scheduler's view of a server.
type serverState struct {
	Server
	running []*Call
	// used is how many bytes results and running calls occupy.
	used int64
	held map[string]heldResult
	// slowdown is the ratio of the time that calls take to their nominal time.
	slowdown  float64
	decayedAt time.Time
	failures  int
	// consecutiveFull counts refusals in a row because the server was full.
	consecutiveFull int
	// lossRate is roughly the share of calls without an answer. consecutiveOverdue is how many
	// calls in a row were overdue.
	lossRate           float64
	consecutiveOverdue int
	unavailableUntil   time.Time
	removed            bool
	// load is the zero value unless the pool is load-aware.
	load serverLoad
	// roomRefusedUntil is until when the server gets no calls because it answered that it has no
	// memory for results. It serves the record of times only.
	roomRefusedUntil time.Time
}

type heldResult struct {
	bytes   int64
	expires time.Time
}

// decay reduces the server's slowdown and loss rate with time while it is idle.
func (s *serverState) decay(now time.Time) {
	if !s.decayedAt.IsZero() && len(s.running) == 0 {
		keep := math.Exp2(-now.Sub(s.decayedAt).Seconds() / slowdownHalfLife.Seconds())
		s.slowdown = 1 + (s.slowdown-1)*keep
		s.lossRate *= keep
	}
	s.decayedAt = now
}

// reserve accounts for a result until it is released or expires.
func (s *serverState) reserve(handle string, bytes int64, expires time.Time) {
	s.used += bytes
	s.held[handle] = heldResult{bytes: bytes, expires: expires}
}

// release undoes reserve, unless the result has expired.
func (s *serverState) release(handle string) {
	if h, ok := s.held[handle]; ok {
		s.used -= h.bytes
		delete(s.held, handle)
	}
}

// ServerState is the scheduler's view of a server, for inspection.
type ServerState struct {
	Address  netip.AddrPort `json:"address"`
	Instance string         `json:"instance"`
	Running  int            `json:"running"`
	Used     int64          `json:"used_bytes"`
	Factor   float64        `json:"factor"`
	Failures int            `json:"failures"`
}

// Servers returns the state of all servers, sorted by address.
func (s *Scheduler) Servers() []ServerState {
	states := make([]ServerState, 0, len(s.servers))
	for _, state := range s.servers {
		states = append(states, ServerState{
			Address: state.Address, Instance: state.Instance, Running: len(state.running), Used: state.used, Factor: state.slowdown, Failures: state.failures,
		})
	}
	slices.SortFunc(states, func(a, b ServerState) int { return a.Address.Compare(b.Address) })
	return states
}

// Server returns the server of the pool at an address, if there is one.
func (s *Scheduler) Server(address netip.AddrPort) (Server, bool) {
	state := s.servers[address]
	if state == nil {
		return Server{}, false
	}
	return state.Server, true
}
