// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package trial

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/suspect"
)

// maxOwnersTried is how many hosts are asked for a try before this host decides itself.
const maxOwnersTried = 2

// Options holds the dependencies of a Group. All are required.
type Options struct {
	Owners *owner.Finder
	// Spread sends ends to the other hosts.
	Spread func(ends []suspect.Crash)
	// RequestTrial asks a host to grant a try. NotifyTryOver notifies it that the try is over.
	RequestTrial func(ctx context.Context, peer netip.AddrPort, digest suspect.Digest) (bool, error)
	ReleaseTrial func(peer netip.AddrPort, digest suspect.Digest)
	Log          logrus.FieldLogger
	Scope        tally.Scope
}

// Group is one host's record of the ends of servers under requests and of the tries that
// it has granted. It is safe for concurrent use.
type Group struct {
	options Options
	// ends is the number of ends in the book. While it is 0, no request has to lock the
	// mutex.
	ends atomic.Int64

	mu    sync.Mutex
	book  *suspect.CrashSet
	tries *suspect.Trials
	// loggedStates holds the state last logged of each request, unless that is free.
	loggedStates map[suspect.Digest]suspect.State
}

// New returns a group without ends.
func New(options Options) *Group {
	return &Group{options: options, book: suspect.NewCrashSet(), tries: suspect.NewTrials(), loggedStates: make(map[suspect.Digest]suspect.State)}
}

// Sum returns a checksum that is equal for hosts that know the same ends.
func (g *Group) Sum() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Sum()
}

// Ends returns all known ends.
func (g *Group) Crashes() []suspect.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Crashes()
}

// Merge adds ends that another host reported, and returns those that are new or changed.
func (g *Group) Merge(ends []suspect.Crash) []suspect.Crash {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.book.Merge(now, ends...)
	for _, e := range changed {
		// The end is the outcome of the request's try, if there is one.
		g.tries.End(e.Request)
	}
	g.recordChanges(now, changed)
	return changed
}

// RecordCrashes adds ends that this host has observed, and sends them to the other hosts.
func (g *Group) RecordCrashes(ends []suspect.Crash) {
	g.options.Spread(g.Merge(ends))
}

// RecordAnswer records that a server has answered a request completely, and sends the cleared
// ends to the other hosts.
func (g *Group) RecordAnswer(digest suspect.Digest) {
	if g.ends.Load() == 0 {
		return
	}
	g.mu.Lock()
	cleared := g.book.Clear(digest)
	g.recordChanges(time.Now(), cleared)
	g.mu.Unlock()
	g.options.Spread(cleared)
}

// recordChanges logs the requests whose state has changed by ends, and updates the counters
// and gauges. The mutex must be held.
func (g *Group) recordChanges(now time.Time, ends []suspect.Crash) {
	g.ends.Store(int64(g.book.Len()))
	g.options.Scope.Gauge("suspect_ends").Update(float64(g.book.Len()))
	for _, e := range ends {
		g.logState(now, e.Request)
	}
	// A request whose ends have expired is removed from the map when it is next looked up;
	// the map must be bounded as this may never happen.
	if len(g.loggedStates) > suspect.MaxCrashes {
		clear(g.loggedStates)
	}
	g.options.Scope.Gauge("suspect_requests").Update(float64(len(g.loggedStates)))
}

// logState returns the verdict on a request, and logs its state if that has changed. The
// mutex must be held.
func (g *Group) logState(now time.Time, digest suspect.Digest) suspect.Verdict {
	v := g.book.Assess(now, digest)
	if v.State == g.loggedStates[digest] {
		return v
	}
	log := g.options.Log.WithFields(logrus.Fields{
		"digest": digest, "state": v.State, "before": g.loggedStates[digest], "ends": v.Crashes, "counted": v.Attributed,
	})
	if v.State == suspect.Free {
		delete(g.loggedStates, digest)
	} else {
		g.loggedStates[digest] = v.State
	}
	if v.State == suspect.Quarantined {
		log = log.WithField("for_ms", v.Until.Sub(now).Milliseconds())
	}
	log.Warn("state of a suspected request changed")
	return v
}

// Assess returns the verdict on a request.
func (g *Group) Assess(digest suspect.Digest) suspect.Verdict {
	if g.ends.Load() == 0 {
		return suspect.Verdict{}
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.logState(now, digest)
}

// RemoveExpired removes expired ends. It must be called about once a second.
func (g *Group) RemoveExpired() {
	if g.ends.Load() == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.RemoveExpired(now)
	g.recordChanges(now, nil)
}

// Begin begins a try for another host and reports true, unless a try is in progress or the
// request is quarantined.
func (g *Group) GrantTrial(digest suspect.Digest) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Assess(now, digest).State != suspect.Quarantined && g.tries.Begin(now, digest)
}

// End ends the try of a request.
func (g *Group) EndTrial(digest suspect.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tries.End(digest)
}

// StartTrial begins a try of a suspected request, and reports false if one is in progress on any
// host. The caller must call over at the end of the try, unless it ended a server.
func (g *Group) StartTrial(ctx context.Context, digest suspect.Digest) (over func(), ok bool) {
	for _, p := range g.options.Owners.PeersFor(digest.String(), maxOwnersTried) {
		granted, err := g.options.RequestTrial(ctx, p.Control, digest)
		if err == nil {
			return func() { g.options.ReleaseTrial(p.Control, digest) }, granted
		}
		if ctx.Err() != nil {
			return nil, false
		}
		g.options.Owners.Avoid(p.Address)
		g.options.Scope.Counter("owner_failed").Inc(1)
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": p.Address, "digest": digest}).Warn("the owner of a suspected request failed")
	}
	return func() { g.EndTrial(digest) }, g.GrantTrial(digest)
}

// State returns up to most requests under which several servers ended, for the diagnostic
// dump.
func (g *Group) State(most int) []suspect.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Entries(time.Now(), most)
}
