// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

const (
	// lagCheckDelay is how long a host may lack entries that a peer has before it requests them,
	// in spaces whose changes are pushed directly: they are probably on their way.
	lagCheckDelay = 500 * time.Millisecond
	// differsTimeout is how long the entries of a host may differ from those of its peers
	// without a known gap before it compares them.
	differsTimeout = 10 * time.Second
)

// lagTracker decides when a host to which all changes are pushed directly compares its entries
// with those of a peer. Under constant change no two hosts ever hold the same entries, and a
// comparison of all keys at each heartbeat costs hosts times servers. It is safe for concurrent
// use.
type lagTracker struct {
	mu     sync.Mutex
	spaces map[peerpb.Space]*spaceLag
}

// spaceLag is the difference between one space of this host and that of its peers.
type spaceLag struct {
	// checkPosition is the position up to which a peer has every key, for which a check is
	// scheduled; the zero position means that no check is scheduled.
	checkPosition published.Position
	// differsSince is the time from which each heartbeat found different entries; zero if the
	// last heartbeat found equal ones.
	differsSince time.Time
}

func newLagTracker() *lagTracker {
	return &lagTracker{spaces: make(map[peerpb.Space]*spaceLag)}
}

func (l *lagTracker) lag(space peerpb.Space) *spaceLag {
	d := l.spaces[space]
	if d == nil {
		d = &spaceLag{}
		l.spaces[space] = d
	}
	return d
}

// markSame records that a peer holds the same entries.
func (l *lagTracker) markSame(space peerpb.Space) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag(space).differsSince = time.Time{}
}

// differsTooLong records that a peer holds other entries and reports whether that has lasted for
// differsTimeout. It then starts over.
func (l *lagTracker) differsTooLong(now time.Time, space peerpb.Space) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.lag(space)
	if d.differsSince.IsZero() {
		d.differsSince = now
	}
	if now.Sub(d.differsSince) < differsTimeout {
		return false
	}
	d.differsSince = now
	return true
}

// startCheck records that a peer has every key up to position other, and this host only up to
// own. It reports whether the caller must check again after lagCheckDelay.
func (l *lagTracker) startCheck(space peerpb.Space, own, other published.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.lag(space)
	if !d.checkPosition.IsZero() || other.Compare(own) <= 0 {
		return false
	}
	d.checkPosition = other
	return true
}

// finishCheck ends a check and reports whether this host still lacks what the peer had.
func (l *lagTracker) finishCheck(space peerpb.Space, own published.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.lag(space)
	position := d.checkPosition
	d.checkPosition = published.Position{}
	return own.Compare(position) < 0
}

// checkLag synchronises with a peer that is ahead in spaces whose changes are pushed directly,
// unless this host catches up within lagCheckDelay.
func (g *Gossip) checkLag(address netip.AddrPort, summaries []*peerpb.Summary) {
	for _, m := range summaries {
		space := m.GetSpace()
		store, err := g.options.Spaces.storeFor(space)
		if err != nil || !g.options.Direct(space) || !g.lags.startCheck(space, store.Summary().Complete(), throughOf(m)) {
			continue
		}
		time.AfterFunc(lagCheckDelay, func() {
			if g.lags.finishCheck(space, store.Summary().Complete()) && g.ctx.Err() == nil {
				g.enqueue(func(ctx context.Context) { _, _ = g.synchronise(ctx, address, space) })
			}
		})
	}
}
