// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"net/netip"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// rankedMost is how many of the best hosts are kept for a key: those that are
	// asked, and as many again that may be passed over.
	rankedMost = 4
	// keysMost bounds the keys whose best hosts are kept.
	keysMost = 512
)

// ownerShare of the largest capacity there is makes a host an owner, so that
// small hosts do not carry the work of whole pools.
const ownerShare = 0.5

// Peer is a host that can own something.
type Peer struct {
	// Address names the host; Control is where it serves its peers.
	Address netip.AddrPort
	Control netip.AddrPort
	// Capacity is how much the host can do beside others; 0 counts as 1.
	Capacity int
}

func (p Peer) capacity() int {
	return max(p.Capacity, 1)
}

// Hosts are the hosts that work, as of one version of the fleet's view. What a key
// needs is found once and kept, so that a look-up doesn't grow with the fleet. It is
// safe for concurrent use.
type Hosts struct {
	// all never changes.
	all []Peer
	// eligible are those that may own something.
	eligible []Peer
	// ranked has the best of eligible for a key, at most rankedMost.
	ranked *lru.Cache[string, []Peer]
}

// NewHosts returns the hosts that work. It keeps peers, which must not change.
func NewHosts(peers []Peer) *Hosts {
	// The only error is a size below 1.
	ranked, _ := lru.New[string, []Peer](keysMost)
	return &Hosts{all: peers, eligible: Eligible(peers), ranked: ranked}
}

// Eligible returns the hosts that may own something. It must not be changed.
func (h *Hosts) Eligible() []Peer {
	return h.eligible
}

// Count is how many hosts work.
func (h *Hosts) Count() int {
	return len(h.all)
}

// best returns the best hosts for a key, the best first.
func (h *Hosts) best(key string) []Peer {
	if best, ok := h.ranked.Get(key); ok {
		return best
	}
	best := topPeers(h.eligible, key, rankedMost)
	h.ranked.Add(key, best)
	return best
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

// topPeers is Top for peers.
func topPeers(peers []Peer, key string, count int) []Peer {
	score := func(p Peer) uint64 { return Score(p.Address, key) }
	return highest(peers, count, score, func(a, b Peer) int { return a.Address.Compare(b.Address) })
}
