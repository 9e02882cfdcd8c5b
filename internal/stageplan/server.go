// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// serverState is what the owner knows of a server.
type serverState struct {
	Server
	running []*Call
	// used is the room that results and running calls take.
	used int64
	held map[string]heldResult
	// factor is how long calls take over what was expected.
	factor   float64
	fadedAt  time.Time
	failures int
	// fulls is how often in a row it was full.
	fulls int
	// losing is about the share of calls that bring no answer, and overdues how many
	// were overdue in a row.
	losing   float64
	overdues int
	until    time.Time
	gone     bool
}

type heldResult struct {
	bytes   int64
	expires time.Time
}

// fade lets a server's slowness be forgotten.
func (s *serverState) fade(now time.Time) {
	if !s.fadedAt.IsZero() && len(s.running) == 0 {
		keep := math.Exp2(-now.Sub(s.fadedAt).Seconds() / factorFade.Seconds())
		s.factor = 1 + (s.factor-1)*keep
		s.losing *= keep
	}
	s.fadedAt = now
}

// hold notes room that is taken until it is given up or expires.
func (s *serverState) hold(handle string, bytes int64, expires time.Time) {
	s.used += bytes
	s.held[handle] = heldResult{bytes: bytes, expires: expires}
}

// ServerState is what is known of a server.
type ServerState struct {
	Address  netip.AddrPort `json:"address"`
	Instance string         `json:"instance"`
	Running  int            `json:"running"`
	Used     int64          `json:"used_bytes"`
	Factor   float64        `json:"factor"`
	Failures int            `json:"failures"`
}

// Servers returns what is known of the servers, by address.
func (s *Scheduler) Servers() []ServerState {
	states := make([]ServerState, 0, len(s.servers))
	for _, state := range s.servers {
		states = append(states, ServerState{
			Address: state.Address, Instance: state.Instance, Running: len(state.running), Used: state.used, Factor: state.factor, Failures: state.failures,
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
