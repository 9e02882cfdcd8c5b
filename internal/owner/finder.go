// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Peer is a host that can own something.
type Peer struct {
	// Address names the host; Control is where it serves its peers.
	Address netip.AddrPort
	Control netip.AddrPort
	// Capacity is how much the host can do beside others; 0 counts as 1.
	Capacity int
}

// ownerShare of the largest capacity there is makes a host an owner, so that
// small hosts do not carry the work of whole pools.
const ownerShare = 0.5

// avoidFor is how long a host that did not answer is passed over: about the
// time in which the fleet view notices it too.
const avoidFor = 2 * time.Second

// Finder finds the owners of keys among the hosts that work. It is safe for
// concurrent use.
type Finder struct {
	self netip.AddrPort
	live func() []Peer

	mu sync.Mutex
	// avoided is until when hosts are passed over.
	avoided map[netip.AddrPort]time.Time
}

// NewFinder returns a finder for the host self. live returns the hosts that
// work, self included unless it leaves.
func NewFinder(self netip.AddrPort, live func() []Peer) *Finder {
	return &Finder{self: self, live: live, avoided: make(map[netip.AddrPort]time.Time)}
}

// Others returns up to count hosts to ask for key, the best first, as far as
// they go before the host itself.
func (f *Finder) Others(key string, count int) []Peer {
	now := time.Now()
	f.mu.Lock()
	useful := slices.DeleteFunc(slices.Clone(f.live()), func(p Peer) bool { return now.Before(f.avoided[p.Address]) })
	f.mu.Unlock()
	byAddress := make(map[netip.AddrPort]Peer, len(useful))
	addresses := make([]netip.AddrPort, 0, len(useful))
	for _, p := range Eligible(useful) {
		byAddress[p.Address] = p
		addresses = append(addresses, p.Address)
	}
	var peers []Peer
	for _, a := range Top(addresses, key, count) {
		if a == f.self {
			break
		}
		peers = append(peers, byAddress[a])
	}
	return peers
}

// Eligible returns the hosts that may own something: those with at least half of the
// largest capacity there is.
func Eligible(hosts []Peer) []Peer {
	largest := 0
	for _, p := range hosts {
		largest = max(largest, p.capacity())
	}
	var eligible []Peer
	for _, p := range hosts {
		if float64(p.capacity()) >= ownerShare*float64(largest) {
			eligible = append(eligible, p)
		}
	}
	return eligible
}

func (p Peer) capacity() int {
	return max(p.Capacity, 1)
}

// Avoid passes a host over for a while.
func (f *Finder) Avoid(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[address] = time.Now().Add(avoidFor)
}
