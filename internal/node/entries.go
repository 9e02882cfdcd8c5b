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
	// maxEntries bounds the addresses in one answer.
	maxEntries = 4
	// hot is the load, in thousandths, above which a node is put last.
	hot = 850
	// farLoad is the load that another availability zone counts as.
	farLoad = 250
	full    = 1000
)

// entries returns the addresses that a caller in zone should use, the best
// first. Which of two like nodes comes first is left to chance, weighted by
// the room that each has, so that callers who hold the answer spread.
func (n *Node) entries(zone string) []netip.AddrPort {
	var candidates []fleet.Member
	for _, m := range n.view.Members() {
		if m.State == fleet.StateLive && n.listedLive(m.Address) {
			candidates = append(candidates, m)
		}
	}
	if !n.leaving.Load() && n.ready.ok() {
		self := n.view.Self()
		candidates = append(candidates, self)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []netip.AddrPort
	for len(candidates) > 0 && len(addresses) < maxEntries {
		i := draw(candidates, zone, n.random)
		addresses = append(addresses, candidates[i].Address)
		candidates = slices.Delete(candidates, i, i+1)
	}
	return addresses
}

// listedLive reports whether the host list does not call the host leaving. A
// member that the list lacks is taken, since the list lags.
func (n *Node) listedLive(address netip.AddrPort) bool {
	h, ok := n.hosts.Get(address.String())
	return !ok || !h.Leaving
}

// draw picks a member at random, by the room it has.
func draw(members []fleet.Member, zone string, random *rand.Rand) int {
	total := 0
	for _, m := range members {
		total += room(m, zone)
	}
	at := random.IntN(total)
	for i, m := range members {
		at -= room(m, zone)
		if at < 0 {
			return i
		}
	}
	return len(members) - 1
}

// room weighs a member: what is free of it, less for another zone, and next to
// nothing for a hot one.
func room(m fleet.Member, zone string) int {
	load := max(m.Load, 0)
	if zone != "" && zone != m.Zone {
		load += farLoad
	}
	if load >= hot {
		return 1
	}
	free := full - load
	return 1 + free*free/full
}

// reportLoad tells the others how busy this node is: by the requests that run,
// and by the fullest pool.
func (n *Node) reportLoad() {
	load := int(n.running.Load()) * full / n.settings.MaxRunning
	n.view.SetLoad(min(load, full))
	n.scope.Gauge("running").Update(float64(n.running.Load()))
}
