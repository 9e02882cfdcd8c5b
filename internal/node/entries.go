// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/wingvale/wingvale/internal/fleet"
)

const (
	// maxEntries limits the addresses in one answer.
	maxEntries = 4
	// hotLoad is the load, in thousandths, from which a node is used only as a last resort.
	hotLoad = 850
	// otherZoneLoad is the load added to a node of another availability zone.
	otherZoneLoad = 250
	fullLoad      = 1000
)

// entries returns the addresses that a caller in zone should use, best first. The order is
// random, weighted by the spare capacity of each node, so that callers which cache the answer
// are spread.
func (n *Node) entries(zone string) []netip.AddrPort {
	var candidates []fleet.Member
	for _, m := range n.view.Members() {
		if m.State == fleet.StateLive && n.isNotLeaving(m.Address) {
			candidates = append(candidates, m)
		}
	}
	if !n.leaving.Load() && n.ready.canAdmit() {
		self := n.view.Self()
		candidates = append(candidates, self)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []netip.AddrPort
	for len(candidates) > 0 && len(addresses) < maxEntries {
		i := pickWeighted(candidates, zone, n.random)
		addresses = append(addresses, candidates[i].Address)
		candidates = slices.Delete(candidates, i, i+1)
	}
	return addresses
}

// isNotLeaving reports whether the host list does not mark the host as leaving. A member
// missing from the list is used, since the list lags behind.
func (n *Node) isNotLeaving(address netip.AddrPort) bool {
	h, ok := n.hosts.Get(address.String())
	return !ok || !h.Leaving
}

// pickWeighted picks a random member, weighted by its spare capacity.
func pickWeighted(members []fleet.Member, zone string, random *rand.Rand) int {
	total := 0
	for _, m := range members {
		total += weight(m, zone)
	}
	point := random.IntN(total)
	for i, m := range members {
		point -= weight(m, zone)
		if point < 0 {
			return i
		}
	}
	return len(members) - 1
}

// weight returns the weight of a member: its spare capacity, reduced for another zone, and
// minimal for a hot node.
func weight(m fleet.Member, zone string) int {
	load := max(m.Load, 0)
	if zone != "" && zone != m.Zone {
		load += otherZoneLoad
	}
	if load >= hotLoad {
		return 1
	}
	spare := fullLoad - load
	return 1 + spare*spare/fullLoad
}

// reportLoad publishes the load of this node to peers: its running requests as a share of
// MaxRunning.
func (n *Node) reportLoad() {
	load := int(n.running.Load()) * fullLoad / n.settings.MaxRunning
	n.view.SetLoad(min(load, fullLoad))
	n.scope.Gauge("running").Update(float64(n.running.Load()))
}
