// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/request"
)

const (
	// keeperGroups is the number of groups of streams with the same keepers. The hosts that rank best
	// for a group are computed once.
	keeperGroups = 128
	// maxRanked is how many hosts are ranked for a group: the keepers, and those that replace them while
	// some don't answer.
	maxRanked = 8
)

// group is a group of streams with the same keepers.
type group int

func (s Stream) group() group {
	return group(uint64(s) % keeperGroups)
}

// key is what hosts are ranked for.
func (g group) key() string {
	return "origin/" + strconv.Itoa(int(g))
}

// Host is a host that may keep the versions of streams.
type Host struct {
	// Address identifies the host. Control is the address on which it serves its peers.
	Address, Control netip.AddrPort
	Zone             string
	Incarnation      request.Incarnation
	// Leaving reports whether the host is known to be shutting down.
	Leaving bool
}

// hostID identifies a run of a host.
type hostID struct {
	address     netip.AddrPort
	incarnation request.Incarnation
}

func (h Host) id() hostID {
	return hostID{address: h.Address, incarnation: h.Incarnation}
}

// Hosts are the hosts that serve their peers as of one version of the fleet's view. It is safe for
// concurrent use.
type Hosts struct {
	self netip.AddrPort
	// all is immutable, and so are the groups by zone of those that stay and of those that leave.
	all             []Host
	staying, leaves [][]Host
	selfLeaves      bool

	mu sync.Mutex
	// ranked caches the best hosts of each group; nil before they are asked for.
	ranked [keeperGroups][]Host
}

// NewHosts returns Hosts for all hosts as the host self sees them, including itself. It keeps the slice,
// which must not change.
func NewHosts(self netip.AddrPort, hosts []Host) *Hosts {
	h := &Hosts{self: self, all: hosts}
	staying, leaves := make(map[string][]Host), make(map[string][]Host)
	for _, host := range hosts {
		if host.Leaving {
			leaves[host.Zone] = append(leaves[host.Zone], host)
			h.selfLeaves = h.selfLeaves || host.Address == self
			continue
		}
		staying[host.Zone] = append(staying[host.Zone], host)
	}
	for _, zone := range staying {
		h.staying = append(h.staying, zone)
	}
	for _, zone := range leaves {
		h.leaves = append(h.leaves, zone)
	}
	return h
}

// best returns the hosts that rank best for a group, the best first. The first ones are in different zones
// as far as there are several. Hosts that are leaving follow all others.
func (h *Hosts) best(g group) []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ranked[g] == nil && len(h.all) > 0 {
		best := rank(h.staying, g.key())
		if len(best) < maxRanked {
			best = append(best, rank(h.leaves, g.key())...)
		}
		h.ranked[g] = slices.Clip(best[:min(maxRanked, len(best))])
	}
	return h.ranked[g]
}

// bestLeaving returns the hosts that rank best for a group among those that are leaving.
func (h *Hosts) bestLeaving(g group) []Host {
	return rank(h.leaves, g.key())
}

// rank returns the best hosts of each zone for key: first the best one of each, then the second best.
func rank(zones [][]Host, key string) []Host {
	type place struct {
		host Host
		// round is how many hosts of the same zone precede.
		round int
		score uint64
	}
	var places []place
	for _, zone := range zones {
		addresses := make([]netip.AddrPort, 0, len(zone))
		for _, host := range zone {
			addresses = append(addresses, host.Address)
		}
		for round, address := range owner.Top(addresses, key, maxRanked) {
			i := slices.Index(addresses, address)
			places = append(places, place{host: zone[i], round: round, score: owner.Score(address, key)})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(b.score, a.score), a.host.Address.Compare(b.host.Address))
	})
	hosts := make([]Host, 0, len(places))
	for _, p := range places {
		hosts = append(hosts, p.host)
	}
	return hosts
}

// keeps reports whether the host itself is among the keepers of a group, as at least one of the others
// sees it.
func (h *Hosts) keeps(g group) bool {
	best := h.best(g)
	return slices.ContainsFunc(best[:min(copies+1, len(best))], func(host Host) bool { return host.Address == h.self })
}
