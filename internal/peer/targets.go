// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
)

// nextTarget returns the member to contact. It returns each reachable neighbour once per
// rotation in random order, and at one in goneProbeEvery heartbeats, quick ones not counted, a
// member considered gone.
func (g *Gossip) nextTarget(quick bool) (netip.AddrPort, bool) {
	members := g.options.View.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !quick {
		g.heartbeats++
	}
	if !quick && g.heartbeats%goneProbeEvery == 0 {
		if gone := listedGone(members, g.options.Listed); len(gone) > 0 {
			return gone[g.random.IntN(len(gone))], true
		}
	}
	states := make(map[netip.AddrPort]fleet.State, len(members))
	for _, m := range members {
		states[m.Address] = m.State
	}
	for {
		if len(g.rotation) == 0 {
			g.rotation = neighbours(g.options.View.Self().Address, reachable(members))
			g.random.Shuffle(len(g.rotation), func(i, j int) { g.rotation[i], g.rotation[j] = g.rotation[j], g.rotation[i] })
		}
		if len(g.rotation) == 0 {
			return netip.AddrPort{}, false
		}
		target := g.rotation[0]
		g.rotation = g.rotation[1:]
		if state, ok := states[target]; ok && state != fleet.StateGone {
			return target, true
		}
	}
}

// neighbours returns the members that a host contacts in a large fleet. They are chosen by
// rendezvous hashing, so that connections to them are reused. Each host is contacted by as many
// others, and news reaches all hosts in as few steps as with random targets.
func neighbours(self netip.AddrPort, addresses []netip.AddrPort) []netip.AddrPort {
	if len(addresses) <= maxNeighbours {
		return addresses
	}
	return owner.Top(addresses, self.String(), maxNeighbours)
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

func listedGone(members []fleet.Member, listed func(netip.AddrPort) bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, m := range members {
		if m.State == fleet.StateGone && listed(m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// successors returns the count live members that follow this host in the order of the hashes of
// their addresses, the next one first. With every host relaying to its successor, news that any
// host has reaches all others.
func (g *Gossip) successors(count int) []fleet.Member {
	hash := func(address netip.AddrPort) uint64 { return xxhash.Sum64String(address.String()) }
	self := hash(g.options.View.Self().Address)
	// The distance wraps around, so that the first host follows the last one.
	distance := func(m fleet.Member) uint64 { return hash(m.Address) - self }
	live := g.pickLive(math.MaxInt, netip.AddrPort{})
	slices.SortFunc(live, func(a, b fleet.Member) int { return cmp.Compare(distance(a), distance(b)) })
	return live[:min(count, len(live))]
}

// pickLive returns up to count random live members other than except.
func (g *Gossip) pickLive(count int, except netip.AddrPort) []fleet.Member {
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
