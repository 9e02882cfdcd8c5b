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

// SpreadEvery is the least time between two messages with entries to the same number of
// peers. Where many backend servers change, each watcher brings other ones at other
// moments; passed on one by one, each host would get as many messages a second as all
// watchers have answers, times Fanout.
const SpreadEvery = 200 * time.Millisecond

// spreader gathers the entries of one space that are to be passed on. It is safe for
// concurrent use.
type spreader struct {
	mu sync.Mutex
	// waiting has the newest entry of each key that waits.
	waiting map[string]waitingEntry
	// last is when entries were passed on; due says that they are about to be again.
	last time.Time
	due  bool
}

// waitingEntry is an entry that is to be passed on, or only to be told of: whoever had to
// ask for it is one of many that have it by now.
type waitingEntry struct {
	published.Entry
	toldOf bool
}

// add takes entries in, and returns how long until they are to be taken out. It reports
// false where that is under way already.
func (s *spreader) add(now time.Time, entries []published.Entry, toldOf bool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[string]waitingEntry)
	}
	for _, e := range entries {
		if old, ok := s.waiting[e.Key]; !ok || e.Version().Compare(old.Version()) > 0 {
			s.waiting[e.Key] = waitingEntry{Entry: e, toldOf: toldOf}
		}
	}
	if s.due {
		return 0, false
	}
	s.due = true
	return max(s.last.Add(SpreadEvery).Sub(now), 0), true
}

// take returns the entries that are to be passed on and to be told of, by key.
func (s *spreader) take(now time.Time) (passed, toldOf []published.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.waiting)) {
		e := s.waiting[key]
		if e.toldOf {
			toldOf = append(toldOf, e.Entry)
		} else {
			passed = append(passed, e.Entry)
		}
	}
	clear(s.waiting)
	s.due = false
	s.last = now
	return passed, toldOf
}

// Spread hands entries that just came into force to a few peers, who do the same, at once
// or, where others were handed on a moment ago, together with what comes until then.
func (g *Gossip) Spread(space peerpb.Space, entries []published.Entry) {
	g.gather(space, entries, false)
}

// gather hands entries on, or tells of them, with what else comes within SpreadEvery.
func (g *Gossip) gather(space peerpb.Space, entries []published.Entry, toldOf bool) {
	s := g.spreaders[space]
	if s == nil || len(entries) == 0 {
		return
	}
	wait, begins := s.add(time.Now(), entries, toldOf)
	switch {
	case !begins:
	case wait == 0:
		g.spread(space, s)
	default:
		time.AfterFunc(wait, func() { g.spread(space, s) })
	}
}

// spread pushes small entries to a few peers and advertises large ones, and small ones
// that are many, to as many as this host can serve: a value of 0.9 MB that each host of 86
// sent to three others filled links of 10 Mbit/s for 12 s.
func (g *Gossip) spread(space peerpb.Space, s *spreader) {
	passed, toldOf := s.take(time.Now())
	if g.options.Direct(space) {
		g.relay(space, passed)
		return
	}
	pushed, advertised := split(passed)
	if len(pushed) > 0 {
		for _, m := range g.pick(Fanout, netip.AddrPort{}) {
			g.enqueue(func(ctx context.Context) { _ = push(ctx, g.client(m.Peer), space, pushed) })
		}
	}
	if advertised = append(advertised, toldOf...); len(advertised) > 0 {
		g.advertiseToSome(space, advertised)
	}
}
