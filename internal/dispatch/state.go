// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// ServerState is the state of one server in the diagnostic dump.
type ServerState struct {
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Leaving  bool           `json:"leaving"`
	Ejected  bool           `json:"ejected"`
	InFlight int            `json:"in_flight"`
	Limit    float64        `json:"limit"`
	Slots    int            `json:"slots"`
	Slowdown float64        `json:"slowdown"`
	Served   int            `json:"served"`
	Models   []string       `json:"models,omitempty"`
}

// State is the state of a pool in the diagnostic dump.
type State struct {
	Waiting   int           `json:"waiting"`
	InFlight  int           `json:"in_flight"`
	Committed time.Duration `json:"committed_ns"`
	Servers   []ServerState `json:"servers"`
}

// State returns the state of the pool with at most limit of its servers.
func (p *Pool) State(limit int) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	state := State{InFlight: p.inFlight, Committed: p.totalCommitted.work}
	for _, modelQueue := range p.modelQueues {
		state.Waiting += modelQueue.Len()
	}
	for _, s := range p.active[:min(limit, len(p.active))] {
		state.Servers = append(state.Servers, ServerState{
			Address:  s.Address,
			Zone:     s.Zone,
			Leaving:  s.Leaving,
			Ejected:  s.ejected(now),
			InFlight: s.inFlight,
			Limit:    s.share(),
			Slots:    s.slots,
			Slowdown: s.limit.Slowdown(),
			Served:   s.served,
			Models:   slices.Sorted(maps.Keys(s.models)),
		})
	}
	return state
}
