// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

const (
	// behindFor is how long a host may lack what a peer has before it asks for it, where
	// changes are handed to it: they are on their way.
	behindFor = time.Second
	// differsFor is how long its entries may be others than its peers' although it lacks
	// nothing that it knows of.
	differsFor = 10 * time.Second
)

// behind decides when a host that is handed all changes compares its entries with a
// peer's. While much changes no two hosts ever hold the same, and a comparison of all keys
// at each heartbeat costs hosts times servers. It is safe for concurrent use.
type behind struct {
	mu    sync.Mutex
	space map[peerpb.Space]*difference
}

// difference is what is known of how one space differs from that of peers.
type difference struct {
	// wanted is the revision through which a peer had all, since when this host lacked
	// that; 0 is none.
	wanted uint64
	since  time.Time
	// differs is since when each heartbeat found other entries; zero is not.
	differs time.Time
}

func newBehind() *behind {
	return &behind{space: make(map[peerpb.Space]*difference)}
}

func (b *behind) of(space peerpb.Space) *difference {
	d := b.space[space]
	if d == nil {
		d = &difference{}
		b.space[space] = d
	}
	return d
}

// same notes that a peer holds the same.
func (b *behind) same(space peerpb.Space) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*b.of(space) = difference{}
}

// compares reports whether a host with its own summary compares its entries with those of
// a peer that holds others.
func (b *behind) compares(now time.Time, space peerpb.Space, own, other published.Summary) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.of(space)
	if own.Through == 0 {
		return true
	}
	if own.Through >= d.wanted {
		d.wanted = 0
	}
	if d.wanted == 0 && other.Through > own.Through {
		d.wanted, d.since = other.Through, now
	}
	if d.differs.IsZero() {
		d.differs = now
	}
	lacks := d.wanted > 0 && now.Sub(d.since) >= behindFor
	if !lacks && now.Sub(d.differs) < differsFor {
		return false
	}
	*d = difference{differs: now}
	return true
}
