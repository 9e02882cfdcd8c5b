// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

// SpreadEvery is the minimum time between two messages with entries to the same number of
// peers. Where many backend servers change, each watcher reads other changes at other times.
// Without batching each host would receive as many messages a second as all watchers together
// receive answers, times Fanout.
const SpreadEvery = 200 * time.Millisecond

// spreadQueue collects the entries of one space until they are spread. It is safe for
// concurrent use.
type spreadQueue struct {
	mu sync.Mutex
	// queued has the newest entry of each key that waits to be spread.
	queued map[string]pendingEntry
	// lastSpreadAt is when entries were last spread. scheduled reports whether the
	// next spread is already scheduled.
	lastSpreadAt time.Time
	scheduled    bool
}

// pendingEntry is an entry to spread. With advertiseOnly set it is advertised rather than pushed:
// an entry that this node had to request is held by many other nodes already.
type pendingEntry struct {
	published.Entry
	advertiseOnly bool
}

// add queues entries and returns the delay after which the caller must spread them. It reports
// false if a spread is already scheduled.
func (s *spreadQueue) add(now time.Time, entries []published.Entry, advertiseOnly bool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued == nil {
		s.queued = make(map[string]pendingEntry)
	}
	for _, e := range entries {
		if old, ok := s.queued[e.Key]; !ok || e.Version().Compare(old.Version()) > 0 {
			s.queued[e.Key] = pendingEntry{Entry: e, advertiseOnly: advertiseOnly}
		}
	}
	if s.scheduled {
		return 0, false
	}
	s.scheduled = true
	return max(s.lastSpreadAt.Add(SpreadEvery).Sub(now), 0), true
}

// drain removes all entries and returns those to push and those to advertise only, by key.
func (s *spreadQueue) drain(now time.Time) (passed, advertiseOnly []published.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.queued)) {
		e := s.queued[key]
		if e.advertiseOnly {
			advertiseOnly = append(advertiseOnly, e.Entry)
		} else {
			passed = append(passed, e.Entry)
		}
	}
	clear(s.queued)
	s.scheduled = false
	s.lastSpreadAt = now
	return passed, advertiseOnly
}

// Spread passes entries that just came into force to a few peers, which do the same. It does so
// at once, or within SpreadEvery together with later entries if it spread others just before.
func (g *Gossip) Spread(space peerpb.Space, entries []published.Entry) {
	g.queueSpread(space, entries, false)
}

// queueSpread queues entries to be spread, or only advertised, at most once per SpreadEvery.
func (g *Gossip) queueSpread(space peerpb.Space, entries []published.Entry, advertiseOnly bool) {
	s := g.spreadQueues[space]
	if s == nil || len(entries) == 0 {
		return
	}
	wait, schedule := s.add(time.Now(), entries, advertiseOnly)
	switch {
	case !schedule:
	case wait == 0:
		g.spread(space, s)
	default:
		time.AfterFunc(wait, func() { g.spread(space, s) })
	}
}

// spread pushes small entries to a few peers. It advertises large entries, and small entries
// whose total is large, to as many peers as this host can serve. Large values are not pushed: a
// value of 0.9 MB that each of 86 hosts sent to three others filled links of 10 Mbit/s for 12 s.
func (g *Gossip) spread(space peerpb.Space, s *spreadQueue) {
	passed, advertiseOnly := s.drain(time.Now())
	if g.options.Direct(space) {
		g.relay(space, passed)
		return
	}
	pushed, advertised := splitForPush(passed)
	if len(pushed) > 0 {
		for _, m := range g.pickLive(Fanout, netip.AddrPort{}) {
			g.enqueue(func(ctx context.Context) { _ = push(ctx, g.client(m.Peer), space, pushed) })
		}
	}
	if advertised = append(advertised, advertiseOnly...); len(advertised) > 0 {
		g.advertiseToPeers(space, advertised)
	}
}
