// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"
	"sync"
	"time"
)

// Peer is a host that can own something.
type Peer struct {
	// Address names the host; Control is where it serves its peers.
	Address netip.AddrPort
	Control netip.AddrPort
}

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
	live := f.live()
	byAddress := make(map[netip.AddrPort]Peer, len(live))
	addresses := make([]netip.AddrPort, 0, len(live))
	f.mu.Lock()
	for _, p := range live {
		if now.Before(f.avoided[p.Address]) {
			continue
		}
		byAddress[p.Address] = p
		addresses = append(addresses, p.Address)
	}
	f.mu.Unlock()
	var peers []Peer
	for _, a := range Top(addresses, key, count) {
		if a == f.self {
			break
		}
		peers = append(peers, byAddress[a])
	}
	return peers
}

// Avoid passes a host over for a while.
func (f *Finder) Avoid(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided[address] = time.Now().Add(avoidFor)
}
