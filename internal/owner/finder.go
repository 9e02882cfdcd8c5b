// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// avoidPeriod is how long a host that did not answer is avoided: about the time until the
// fleet view notices the failure too.
const avoidPeriod = 2 * time.Second

// Finder finds the owners of keys among the live hosts. It is safe for concurrent use.
type Finder struct {
	self      netip.AddrPort
	liveHosts func() *Hosts

	mu sync.Mutex
	// avoided has the time until which each host is avoided. Entries that have passed are
	// removed at the next look-up.
	avoided map[netip.AddrPort]time.Time
}

// NewFinder returns a Finder for the host self. liveHosts returns the live hosts, including
// self unless it is leaving. It is called for each key and must return the same Hosts as long
// as they do not change.
func NewFinder(self netip.AddrPort, liveHosts func() *Hosts) *Finder {
	return &Finder{self: self, liveHosts: liveHosts, avoided: make(map[netip.AddrPort]time.Time)}
}

// PeersFor returns up to count hosts to ask for key, the best first. It returns only those
// ranked before the host itself.
func (f *Finder) PeersFor(key string, count int) []Peer {
	hosts := f.liveHosts()
	avoided := f.currentlyAvoided()
	ranked := hosts.best(key)
	if peers, complete := f.precedingPeers(ranked, avoided, count); complete || len(ranked) < maxRanked && len(peers) > 0 {
		return peers
	}
	available := slices.DeleteFunc(slices.Clone(hosts.all), func(p Peer) bool { return avoided[p.Address] })
	peers, _ := f.precedingPeers(topPeers(Eligible(available), key, count), nil, count)
	return peers
}

// Best returns the count best hosts for key, the best first. Unlike PeersFor, it includes the host
// itself and the hosts that are avoided.
func (f *Finder) Best(key string, count int) []Peer {
	best := f.liveHosts().best(key)
	return best[:min(count, len(best))]
}

// Avoids reports whether a host is avoided now.
func (f *Finder) Avoids(address netip.AddrPort) bool {
	return f.currentlyAvoided()[address]
}

// precedingPeers returns up to count of the ranked hosts that are not avoided and that precede
// the host itself. It reports whether the result is complete, so that lower-ranked hosts need
// not be examined.
func (f *Finder) precedingPeers(ranked []Peer, avoided map[netip.AddrPort]bool, count int) ([]Peer, bool) {
	var peers []Peer
	for _, p := range ranked {
		if p.Address == f.self || len(peers) == count {
			return peers, true
		}
		if !avoided[p.Address] {
			peers = append(peers, p)
		}
	}
	return peers, len(peers) == count
}

// currentlyAvoided returns the hosts that are avoided now, and removes the expired ones. It
// returns nil if there are none.
func (f *Finder) currentlyAvoided() map[netip.AddrPort]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.avoided) == 0 {
		return nil
	}
	now := time.Now()
	avoided := make(map[netip.AddrPort]bool, len(f.avoided))
	for address, until := range f.avoided {
		if now.Before(until) {
			avoided[address] = true
			continue
		}
		delete(f.avoided, address)
	}
	return avoided
}

// Avoid excludes a host from results for avoidPeriod.
func (f *Finder) Avoid(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[address] = time.Now().Add(avoidPeriod)
}
