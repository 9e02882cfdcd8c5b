// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/owner"
)

const (
	// keyPrefix precedes the instance in the key by which the owner of a run is chosen.
	keyPrefix = "limit/"
	// granters is how many hosts may grant permits for a run: its owner and one standby.
	granters = 2
	// permitTTL is how long after it was asked for a permit may be used. A host that was
	// frozen in between would otherwise send long after its permit was counted.
	permitTTL = 250 * time.Millisecond
	// unreachableWait is how long a host that reaches no granter sends nothing to a run.
	unreachableWait = 200 * time.Millisecond
	// minWait is the shortest time after which a host asks for a permit again.
	minWait = 2 * time.Millisecond
)

// Permit is the reply of a host that was asked for a permit.
type Permit struct {
	Granted bool
	// Wait is the time until the next permit if none was granted.
	Wait time.Duration
	// Limit is the state of the limit that the host knows.
	Limit Limit
}

// Options holds the dependencies of a Group. All are required.
type Options struct {
	Self     netip.AddrPort
	Registry *Registry
	Owners   *owner.Finder
	// SinceBoot returns the time since boot, including time during which the host was
	// suspended.
	SinceBoot func() time.Duration
	// RequestPermit asks a host for a permit under a limit.
	RequestPermit func(ctx context.Context, peer netip.AddrPort, limit Limit) (Permit, error)
	// RequestPlaces reports to a host and asks it for places at a brittle run.
	RequestPlaces func(ctx context.Context, peer netip.AddrPort, r PlacesRequest) (PlacesReply, error)
	// Slots returns how many requests a run processes at once. It is 0 for an unknown run.
	Slots func(instance string) int
	// Done is closed when the host ends.
	Done  <-chan struct{}
	Log   logrus.FieldLogger
	Scope tally.Scope
}

// Group keeps all hosts together within the limits of backend servers: each request to a limited
// run needs a permit, which the owner of the run among the hosts grants. A host that reaches
// neither the owner nor its standby gets none. It is safe for concurrent use.
type Group struct {
	*Registry
	options Options

	bucketsMu sync.Mutex
	// buckets are those of the runs for which this host was asked for permits, by instance.
	buckets map[string]*bucket

	places places
}

// New returns a group that has granted nothing.
func New(options Options) *Group {
	return &Group{
		Registry: options.Registry, options: options, buckets: make(map[string]*bucket),
		places: places{seekers: make(map[string]*seeker), books: make(map[string]*placeBook)},
	}
}

// Acquire asks for permission to send one request to a run, and reports whether it was granted. If
// not, Deferral returns how long to wait. It always succeeds for a run that is neither limited nor
// brittle. Released must be called exactly once afterwards: when the request has ended, or when it
// was not permitted.
func (g *Group) Acquire(ctx context.Context, instance string) bool {
	return g.acquirePlace(ctx, instance) && g.AcquireRate(ctx, instance)
}

// AcquireRate is like Acquire, but does not ask for a place at a brittle run. It is for the only host
// that sends to a run, which knows how many requests the run has.
func (g *Group) AcquireRate(ctx context.Context, instance string) bool {
	limit, limited := g.Lookup(instance)
	if !limited {
		return true
	}
	began := g.options.SinceBoot()
	permit := g.request(ctx, limit)
	took := g.options.SinceBoot() - began
	if permit.Granted && took <= permitTTL {
		g.options.Scope.Counter("permits_granted").Inc(1)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	wait := max(permit.Wait, minWait)
	g.Defer(instance, wait)
	g.options.Scope.Counter("permits_denied").Inc(1)
	g.options.Log.WithFields(logrus.Fields{
		"server": instance, "per_second": limit.PerSecond, "version": limit.Version, "for_ms": wait.Milliseconds(), "took_ms": took.Milliseconds(),
	}).Info("the rate limit of a backend server is used up")
	return false
}

// request asks the granters of a run for a permit.
func (g *Group) request(ctx context.Context, limit Limit) Permit {
	permit, answered := askGranters(ctx, g, keyPrefix, limit.Instance,
		func() Permit { return g.Grant(limit) },
		func(peer netip.AddrPort) (Permit, error) { return g.options.RequestPermit(ctx, peer, limit) })
	if !answered {
		return Permit{Wait: unreachableWait}
	}
	g.Merge([]Limit{permit.Limit})
	return permit
}

// askGranters asks the granters of a run, the owner first, until one answers: this host with grant,
// others with ask. It returns the answer, and false if there is none.
func askGranters[T any](ctx context.Context, g *Group, prefix, instance string, grant func() T, ask func(peer netip.AddrPort) (T, error)) (T, bool) {
	hosts := g.options.Owners.Best(prefix+instance, granters)
	if len(hosts) == 0 {
		return grant(), true
	}
	for _, p := range hosts {
		if p.Address == g.options.Self {
			return grant(), true
		}
		if g.options.Owners.Avoids(p.Address) {
			continue
		}
		answer, err := ask(p.Control)
		if err == nil {
			return answer, true
		}
		if ctx.Err() != nil {
			break
		}
		g.options.Owners.Avoid(p.Address)
		g.options.Scope.Counter("owner_failed").Inc(1)
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": p.Address, "server": instance}).Warn("a host that grants permits for a backend server failed")
	}
	var none T
	return none, false
}

// Grant grants a permit under a limit to this or another host, unless the limit is used up.
func (g *Group) Grant(limit Limit) Permit {
	g.Merge([]Limit{limit})
	current, known := g.state(limit.Instance)
	if !known {
		current = limit
	}
	if !current.Limited {
		return Permit{Granted: true, Limit: current}
	}
	now := g.options.SinceBoot()
	best := g.options.Owners.Best(keyPrefix+limit.Instance, 1)
	isOwner := len(best) == 0 || best[0].Address == g.options.Self
	g.bucketsMu.Lock()
	defer g.bucketsMu.Unlock()
	b := g.buckets[limit.Instance]
	if b == nil {
		b = newBucket(now)
		g.buckets[limit.Instance] = b
	}
	wait := b.take(now, current.PerSecond, isOwner)
	return Permit{Granted: wait == 0, Wait: wait, Limit: current}
}

// RemoveExpired removes the limits of runs that are no longer listed, and the buckets of runs
// without a limit. It must be called about once a second.
func (g *Group) RemoveExpired(isListed func(instance string) bool) {
	g.Registry.RemoveExpired(isListed)
	g.places.removeUnused(func(instance string) bool {
		l, _ := g.Restriction(instance)
		return l.Brittle
	})
	g.bucketsMu.Lock()
	defer g.bucketsMu.Unlock()
	for instance := range g.buckets {
		if _, limited := g.Lookup(instance); !limited {
			delete(g.buckets, instance)
		}
	}
}
