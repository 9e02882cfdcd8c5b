// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
)

const (
	// behindFor is how long a host may lack what a peer has before it asks for it, where
	// changes are handed to it: they are on their way.
	behindFor = 500 * time.Millisecond
	// differsFor is how long its entries may be others than its peers' although it lacks
	// nothing that it knows of.
	differsFor = 10 * time.Second
)

// behind decides when a host that is handed all changes compares its entries with a
// peer's. While much changes no two hosts ever hold the same, and a comparison of all keys
// at each heartbeat costs hosts times servers. It is safe for concurrent use.
type behind struct {
	mu     sync.Mutex
	spaces map[peerpb.Space]*difference
}

// difference is what is known of how one space differs from that of peers.
type difference struct {
	// wanted is the revision through which a peer has all and this host is looked at
	// soon; 0 is none.
	wanted uint64
	// since is from when on each heartbeat found other entries; zero is that the last
	// found the same.
	since time.Time
}

func newBehind() *behind {
	return &behind{spaces: make(map[peerpb.Space]*difference)}
}

func (b *behind) of(space peerpb.Space) *difference {
	d := b.spaces[space]
	if d == nil {
		d = &difference{}
		b.spaces[space] = d
	}
	return d
}

// same notes that a peer holds the same.
func (b *behind) same(space peerpb.Space) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(space).since = time.Time{}
}

// differs notes that a peer holds other entries, and reports whether that has lasted too
// long.
func (b *behind) differs(now time.Time, space peerpb.Space) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.of(space)
	if d.since.IsZero() {
		d.since = now
	}
	if now.Sub(d.since) < differsFor {
		return false
	}
	d.since = now
	return true
}

// ahead notes that a peer has all through a revision that this host has not, and reports
// whether that is to be looked at after behindFor.
func (b *behind) ahead(space peerpb.Space, own, other uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.of(space)
	if d.wanted > 0 || other <= own {
		return false
	}
	d.wanted = other
	return true
}

// late ends the look, and reports whether this host still lacks what the peer had.
func (b *behind) late(space peerpb.Space, own uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.of(space)
	wanted := d.wanted
	d.wanted = 0
	return own < wanted
}

// noteAhead synchronises with a peer that has more of the spaces that are handed on, unless
// this host has it soon.
func (g *Gossip) noteAhead(address netip.AddrPort, summaries []*peerpb.Summary) {
	for _, m := range summaries {
		space := m.GetSpace()
		store, err := g.options.Spaces.of(space)
		if err != nil || !g.options.Direct(space) || !g.behind.ahead(space, store.Summary().Through, m.GetThrough()) {
			continue
		}
		time.AfterFunc(behindFor, func() {
			if g.behind.late(space, store.Summary().Through) && g.ctx.Err() == nil {
				g.enqueue(func(ctx context.Context) { _, _ = g.synchronise(ctx, address, space) })
			}
		})
	}
}
