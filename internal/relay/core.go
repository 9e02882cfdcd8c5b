// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/enginepool"
	"github.com/wingvale/wingvale/internal/estimate"
	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/stagepool"
	"github.com/wingvale/wingvale/internal/trial"
)

// Options are a Core's dependencies; all are needed.
type Options struct {
	// Context ends with the host.
	Context context.Context
	Zone    string
	Dialect Dialect
	Servers *exchange.Pool
	Stages  *stagepool.Group
	Engines *enginepool.Group
	// Notices has what backend servers say of themselves.
	Notices *notice.Book
	// Suspects has the requests under which backend servers end.
	Suspects *trial.Group
	// Confirm makes sure that the configuration in force is the newest there
	// is, and reports whether it could.
	Confirm func(ctx context.Context) bool
	// Settled is closed once the host knows the others well enough to tell who owns
	// the pools; nil is from the start.
	Settled <-chan struct{}
	// Heard is closed once another host has told of the servers that ended under
	// requests.
	Heard <-chan struct{}
	// Boot is the clock that goes on while the host is suspended.
	Boot func() time.Duration
	// Hosts returns how many hosts serve, this one included.
	Hosts  func() int
	Log    logrus.FieldLogger
	Scope  tally.Scope
	Random *rand.Rand
	// RetryShare and RetryReserve bound retries over all hosts together: a
	// share of the requests, and so many more in RetryWindow.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  time.Duration
}

// Core serves requests. It is safe for concurrent use.
type Core struct {
	options Options
	log     logrus.FieldLogger
	scope   tally.Scope
	catalog atomic.Pointer[Catalog]
	// first is closed once there are a configuration and backend servers; begun is when
	// the core began to wait for them.
	first   chan struct{}
	primed  sync.Once
	begun   time.Time
	servers *servers
	broken  *broken
	retries *retries

	mu     sync.Mutex
	random *rand.Rand
	// held has the longest time that a request of each route might be held.
	held map[string]time.Duration

	// delays has how much longer than expected first events took, by route.
	delays *estimate.Table
	// spans has how long requests took, by route.
	spans *spans
	// departure is when this host ends, once it leaves.
	departure *departure
}

// firstMost is how long after its start a host keeps requests until it has a
// configuration and backend servers. Hosts that all come back at once take connections
// before that, and callers whom they refused would come back too late.
const firstMost = time.Second

// heardMost is how long after its start a host keeps requests until it has heard under
// which ones servers end, with its first heartbeat; until then it might send one on.
const heardMost = 300 * time.Millisecond

// routesMost bounds the routes that something is remembered of.
const routesMost = 4096

// latencies are the buckets of the histograms: 5 ms to 20 s.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)

// New returns a core that knows neither a configuration nor servers.
func New(o Options) *Core {
	c := &Core{
		options: o,
		log:     o.Log,
		scope:   o.Scope,
		first:   make(chan struct{}),
		begun:   time.Now(),
		servers: newServers(o.Zone, o.Notices, rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()))),
		retries: newRetries(o.RetryShare, o.RetryReserve, o.RetryWindow, o.Hosts),
		random:  o.Random,
		held:    make(map[string]time.Duration),
		delays:  estimate.New(),
		spans:   newSpans(),

		departure: newDeparture(),
	}
	c.broken = newBroken(o.Context, func(ctx context.Context, s Server) bool { return o.Servers.Refuses(ctx, s.Address) }, c.serverEnded)
	return c
}

// SetCatalog brings a configuration into force, unless a newer one is.
func (c *Core) SetCatalog(catalog *Catalog) {
	for {
		old := c.catalog.Load()
		if old != nil && old.Version >= catalog.Version {
			return
		}
		if c.catalog.CompareAndSwap(old, catalog) {
			c.prime()
			return
		}
	}
}

// prime notes when there is all that a request needs.
func (c *Core) prime() {
	if c.catalog.Load() != nil && c.servers.any() {
		c.primed.Do(func() { close(c.first) })
	}
}

// awaitCatalog returns the configuration in force, which a host that has just started
// may read yet, or nil.
func (c *Core) awaitCatalog(ctx context.Context) *Catalog {
	select {
	case <-c.first:
		return c.catalog.Load()
	default:
	}
	wait := time.NewTimer(time.Until(c.begun.Add(firstMost)))
	defer wait.Stop()
	select {
	case <-c.first:
	case <-ctx.Done():
	case <-wait.C:
	}
	return c.catalog.Load()
}

// awaitHeard waits until the host has heard of those, as far as it may just have started.
func (c *Core) awaitHeard(ctx context.Context) {
	left := time.Until(c.begun.Add(heardMost))
	if left <= 0 {
		return
	}
	wait := time.NewTimer(left)
	defer wait.Stop()
	select {
	case <-c.options.Heard:
	case <-ctx.Done():
	case <-wait.C:
	}
}

// Catalog returns the configuration in force, or nil.
func (c *Core) Catalog() *Catalog {
	return c.catalog.Load()
}

// ChangeServers takes in which backend servers were added, changed and removed. What it
// is given is shared and must not be changed.
func (c *Core) ChangeServers(changes []listed.Change[Server]) {
	for _, instance := range c.servers.change(changes) {
		c.broken.gone(instance)
	}
	c.prime()
}

// Servers returns what the dump shows of the backend servers.
func (c *Core) Servers() []ServerState {
	return c.servers.state()
}

// SetRetries changes the bounds on retries.
func (c *Core) SetRetries(share, reserve float64, window time.Duration) {
	c.retries.set(share, reserve, window)
}

// chance returns a number in [0, 1).
func (c *Core) chance() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}
