// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"net/netip"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
)

// next returns the member to contact: each live neighbour once a round in random
// order, and now and then, at a heartbeat that is not a quick one, one that is
// taken for gone.
func (g *Gossip) next(quick bool) (netip.AddrPort, bool) {
	members := g.options.View.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !quick {
		g.beats++
	}
	if !quick && g.beats%goneEvery == 0 {
		if gone := goneOf(members, g.options.Listed); len(gone) > 0 {
			return gone[g.random.IntN(len(gone))], true
		}
	}
	states := make(map[netip.AddrPort]fleet.State, len(members))
	for _, m := range members {
		states[m.Address] = m.State
	}
	for {
		if len(g.round) == 0 {
			g.round = neighbours(g.options.View.Self().Address, reachable(members))
			g.random.Shuffle(len(g.round), func(i, j int) { g.round[i], g.round[j] = g.round[j], g.round[i] })
		}
		if len(g.round) == 0 {
			return netip.AddrPort{}, false
		}
		target := g.round[0]
		g.round = g.round[1:]
		if state, ok := states[target]; ok && state != fleet.StateGone {
			return target, true
		}
	}
}

// neighbours returns the members that a host contacts in a large fleet: those that
// rendezvous names, so that connections to them are used again. As many others contact
// each of them, and what one knows reaches all by as few steps as at random.
func neighbours(self netip.AddrPort, addresses []netip.AddrPort) []netip.AddrPort {
	if len(addresses) <= neighboursMost {
		return addresses
	}
	return owner.Top(addresses, self.String(), neighboursMost)
}

func reachable(members []fleet.Member) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, m := range members {
		if m.State != fleet.StateGone {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

func goneOf(members []fleet.Member, listed func(netip.AddrPort) bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, m := range members {
		if m.State == fleet.StateGone && listed(m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// pick returns up to count live members at random, without the one excepted.
func (g *Gossip) pick(count int, except netip.AddrPort) []fleet.Member {
	var live []fleet.Member
	for _, m := range g.options.View.Members() {
		if m.State != fleet.StateGone && m.State != fleet.StateSuspect && m.Address != except {
			live = append(live, m)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(count, len(live))]
}
