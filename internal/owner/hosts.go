// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxRanked is how many of the best hosts are cached for a key: those that are contacted,
	// and as many again that may be avoided.
	maxRanked = 4
	// maxCachedKeys bounds the number of keys whose best hosts are cached.
	maxCachedKeys = 512
)

// minOwnerShare is the share of the largest capacity that a host needs to be an owner, so that
// small hosts do not carry the work of whole pools.
const minOwnerShare = 0.5

// Peer is a host that can own keys.
type Peer struct {
	// Address identifies the host. Control is the address on which it serves its peers.
	Address netip.AddrPort
	Control netip.AddrPort
	// Capacity is the host's capacity relative to other hosts; 0 counts as 1.
	Capacity int
}

func (p Peer) capacity() int {
	return max(p.Capacity, 1)
}

// Hosts are the live hosts as of one version of the fleet's view. The best hosts of a key are
// computed once and cached, so that the cost of a look-up does not grow with the fleet. It is
// safe for concurrent use.
type Hosts struct {
	// all is immutable.
	all []Peer
	// eligible are the hosts that may own keys.
	eligible []Peer
	// ranked caches the best eligible hosts of a key, at most maxRanked.
	ranked *lru.Cache[string, []Peer]
}

// NewHosts returns Hosts for the live peers. It keeps the slice, which must not change.
func NewHosts(peers []Peer) *Hosts {
	// lru.New fails only for a size below 1.
	ranked, _ := lru.New[string, []Peer](maxCachedKeys)
	return &Hosts{all: peers, eligible: Eligible(peers), ranked: ranked}
}

// Eligible returns the hosts that may own keys. The slice must not be modified.
func (h *Hosts) Eligible() []Peer {
	return h.eligible
}

// Count returns the number of live hosts.
func (h *Hosts) Count() int {
	return len(h.all)
}

// best returns the best hosts for a key, the best first.
func (h *Hosts) best(key string) []Peer {
	if best, ok := h.ranked.Get(key); ok {
		return best
	}
	best := topPeers(h.eligible, key, maxRanked)
	h.ranked.Add(key, best)
	return best
}

// Eligible returns the hosts that may own keys: those with at least half of the largest
// capacity.
func Eligible(hosts []Peer) []Peer {
	largest := 0
	for _, p := range hosts {
		largest = max(largest, p.capacity())
	}
	var eligible []Peer
	for _, p := range hosts {
		if float64(p.capacity()) >= minOwnerShare*float64(largest) {
			eligible = append(eligible, p)
		}
	}
	return eligible
}

// topPeers is like Top for peers.
func topPeers(peers []Peer, key string, count int) []Peer {
	score := func(p Peer) uint64 { return Score(p.Address, key) }
	return highest(peers, count, score, func(a, b Peer) int { return a.Address.Compare(b.Address) })
}
