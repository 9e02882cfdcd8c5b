// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// avoidFor is how long a host that did not answer is passed over: about the
// time in which the fleet view notices it too.
const avoidFor = 2 * time.Second

// Finder finds the owners of keys among the hosts that work. It is safe for
// concurrent use.
type Finder struct {
	self netip.AddrPort
	live func() *Hosts

	mu sync.Mutex
	// avoided is until when hosts are passed over; none has passed for longer than
	// it takes to look for it.
	avoided map[netip.AddrPort]time.Time
}

// NewFinder returns a finder for the host self. live returns the hosts that
// work, self included unless it leaves; it is asked for each key, and returns the same
// Hosts while they are the same.
func NewFinder(self netip.AddrPort, live func() *Hosts) *Finder {
	return &Finder{self: self, live: live, avoided: make(map[netip.AddrPort]time.Time)}
}

// Others returns up to count hosts to ask for key, the best first, as far as
// they go before the host itself.
func (f *Finder) Others(key string, count int) []Peer {
	hosts := f.live()
	avoided := f.passedOver()
	ranked := hosts.best(key)
	if peers, whole := f.before(ranked, avoided, count); whole || len(ranked) < rankedMost && len(peers) > 0 {
		return peers
	}
	useful := slices.DeleteFunc(slices.Clone(hosts.all), func(p Peer) bool { return avoided[p.Address] })
	peers, _ := f.before(topPeers(Eligible(useful), key, count), nil, count)
	return peers
}

// before returns up to count of the ranked hosts that are not avoided, as far as they
// go before the host itself, and reports whether no more of them can be wanted.
func (f *Finder) before(ranked []Peer, avoided map[netip.AddrPort]bool, count int) ([]Peer, bool) {
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

// passedOver returns the hosts that are passed over now, and forgets the others; nil is
// none.
func (f *Finder) passedOver() map[netip.AddrPort]bool {
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

// Avoid passes a host over for a while.
func (f *Finder) Avoid(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[address] = time.Now().Add(avoidFor)
}
