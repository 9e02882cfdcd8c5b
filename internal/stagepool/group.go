// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/peerhttp"
	"github.com/wingvale/wingvale/internal/stageplan"
	"github.com/wingvale/wingvale/internal/stagepool/stagepb"
)

// Options are a Group's dependencies; all are needed.
type Options struct {
	// Self is this host.
	Self   netip.AddrPort
	Owners *owner.Finder
	Driver Driver
	// Rest returns for how long a server wants nothing from this host; nil is that none
	// tells.
	Rest  func(instance string) time.Duration
	HTTP  *http.Client
	Log   logrus.FieldLogger
	Scope tally.Scope
}

const (
	// aliveAfter is when a host that does not answer is asked whether it works,
	// and aliveEvery how often it is asked again: about one call.
	aliveAfter = 200 * time.Millisecond
	aliveEvery = 300 * time.Millisecond
	aliveFor   = 150 * time.Millisecond
	// ownersTried bounds how many hosts are asked before this one acts itself.
	ownersTried = 2
	// zoneWait is how much longer work waits in its zone before it leaves it,
	// about one call.
	zoneWait = 250 * time.Millisecond
)

var errSilent = errors.New("stagepool: the owner does not answer")

// Group has the pools of all services and finds their owners. It is safe for
// concurrent use.
type Group struct {
	options Options
	ctx     context.Context

	mu sync.Mutex
	// pools has those of this host, by shard.
	pools map[string]*Pool
	specs map[string]stageplan.Spec
	// services has the servers of each.
	services map[string]*serviceServers
	// backlogs has a mutex of its own.
	backlogs *backlogs
}

// New returns a group whose calls end with ctx.
func New(ctx context.Context, options Options) *Group {
	if options.Rest == nil {
		options.Rest = func(string) time.Duration { return 0 }
	}
	return &Group{
		options:  options,
		ctx:      ctx,
		pools:    make(map[string]*Pool),
		specs:    make(map[string]stageplan.Spec),
		services: make(map[string]*serviceServers),
		backlogs: newBacklogs(),
	}
}

// Configure replaces the services and their servers.
func (g *Group) Configure(specs map[string]stageplan.Spec, servers map[string][]stageplan.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.specs = specs
	clear(g.services)
	for service, list := range servers {
		of := newServiceServers(service)
		for _, server := range list {
			of.put(server)
		}
		of.divide(service)
		g.services[service] = of
	}
	for name, pool := range g.pools {
		g.configure(pool, shardNamed(name))
	}
}

// Change takes in which servers of the services were added, changed and removed.
func (g *Group) Change(changes []listed.Change[stageplan.Server]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Zones of each service whose servers changed.
	touched := make(map[string]map[string]bool)
	for _, c := range changes {
		of := g.services[c.Service]
		if of == nil {
			of = newServiceServers(c.Service)
			g.services[c.Service] = of
		}
		if touched[c.Service] == nil {
			touched[c.Service] = make(map[string]bool)
		}
		for _, zone := range of.change(c) {
			touched[c.Service][zone] = true
		}
	}
	for service := range touched {
		g.services[service].divide(service)
	}
	for name, pool := range g.pools {
		if s := shardNamed(name); touched[s.service] != nil && (s.zone == "" || touched[s.service][s.zone]) {
			g.configure(pool, s)
		}
	}
}

// configure brings one of this host's pools in line with its shard. The mutex must be
// held.
func (g *Group) configure(pool *Pool, s shard) {
	spec, ok := g.specs[s.service]
	if !ok {
		spec = pool.scheduler.Spec()
	}
	var servers []stageplan.Server
	if of := g.services[s.service]; of != nil {
		servers = of.servers(s)
	}
	pool.configure(spec, servers)
}

// wait is how long new work waits at a shard, as far as is known.
func (g *Group) wait(shard string) time.Duration {
	backlog, _ := g.backlogs.of(shard)
	return backlog.Waits.Longest()
}

// pool returns this host's pool of a shard, or nil for an unknown service.
func (g *Group) pool(name string) *Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := shardNamed(name)
	if of := g.services[s.service]; of != nil {
		s = of.known(s)
		name = s.String()
	}
	if p := g.pools[name]; p != nil {
		return p
	}
	spec, ok := g.specs[s.service]
	if !ok {
		return nil
	}
	p := newPool(g.ctx, spec, g.options)
	g.configure(p, s)
	g.pools[name] = p
	return p
}

// Answer is what Run returns.
type Answer struct {
	Results []stageplan.Result
	Failure stageplan.Failure
	// Wait is how long new work waits at the pool; 0 is not known.
	Wait time.Duration
	// Owner is the host that made the calls.
	Owner netip.AddrPort
}

// Run makes the pieces of w, at the owner of its pool or the next host that
// answers, and in the end by this host itself.
func (g *Group) Run(ctx context.Context, w stageplan.Work) Answer {
	g.mu.Lock()
	shard := g.shard(w)
	g.mu.Unlock()
	for _, p := range g.options.Owners.Others(shard, ownersTried) {
		answer, err := g.ask(ctx, p, shard, w)
		if err == nil {
			return answer
		}
		if ctx.Err() != nil {
			return Answer{Failure: stageplan.FailureLate}
		}
		g.options.Owners.Avoid(p.Address)
		g.options.Scope.Counter("owner_failed").Inc(1)
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": p.Address, "pool": shard, "request": w.Request}).
			Warn("the owner of a stage pool failed; asking the next")
	}
	return g.runHere(ctx, shard, w)
}

func (g *Group) runHere(ctx context.Context, shard string, w stageplan.Work) Answer {
	pool := g.pool(shard)
	if pool == nil {
		return Answer{Failure: stageplan.FailureFailed}
	}
	results, failure := pool.run(ctx, w)
	return Answer{Results: results, Failure: failure, Wait: g.refresh(shard, pool).Waits.Longest(), Owner: g.options.Self}
}

// ask hands w to another host, and gives up on it when it stands still.
func (g *Group) ask(ctx context.Context, p owner.Peer, shard string, w stageplan.Work) (Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := stagepb.NewStagesProtobufClient("http://"+p.Control.String(), g.options.HTTP)
	watch := time.AfterFunc(aliveAfter, func() { g.watch(ctx, client, cancel) })
	defer watch.Stop()
	request := requestMessage(time.Now(), shard, w)
	request.Backlogs = g.backlogs.messages(time.Now())
	reply, err := client.Run(peerhttp.Patient(ctx), request)
	if err != nil {
		return Answer{}, err
	}
	g.backlogs.take(time.Now(), reply.GetBacklogs())
	results, err := resultsOf(reply.GetResults())
	if err != nil {
		return Answer{}, err
	}
	if reply.GetFailure() == "" && len(results) != len(w.Pieces) {
		return Answer{}, errors.New("stagepool: the owner answered with too few results")
	}
	return Answer{
		Results: results,
		Failure: stageplan.Failure(reply.GetFailure()),
		Wait:    g.wait(shard),
		Owner:   p.Address,
	}, nil
}

// watch cancels a question whose host stands still.
func (g *Group) watch(ctx context.Context, client stagepb.Stages, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		alive, stop := context.WithTimeout(ctx, aliveFor)
		_, err := client.Alive(alive, &stagepb.AliveRequest{})
		stop()
		if err != nil && ctx.Err() == nil {
			cancel(errSilent)
			return
		}
		timer := time.NewTimer(aliveEvery)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// Release gives up results of a service, by the host that owns their servers.
func (g *Group) Release(service string, results []stageplan.Result) {
	byShard := make(map[string][]stageplan.Result)
	g.mu.Lock()
	of := g.services[service]
	for _, r := range results {
		name := service
		if of != nil {
			name = of.holding(service, r.Zone, r.Server).String()
		}
		byShard[name] = append(byShard[name], r)
	}
	g.mu.Unlock()
	for shard, part := range byShard {
		g.releaseShard(shard, part)
	}
}

func (g *Group) releaseShard(shard string, results []stageplan.Result) {
	for _, p := range g.options.Owners.Others(shard, ownersTried) {
		ctx, cancel := context.WithTimeout(g.ctx, freeFor)
		client := stagepb.NewStagesProtobufClient("http://"+p.Control.String(), g.options.HTTP)
		_, err := client.Release(ctx, &stagepb.ReleaseRequest{Service: shard, Results: resultMessages(results)})
		cancel()
		if err == nil {
			return
		}
		g.options.Log.WithError(err).WithField("peer", p.Address).Debug("the owner did not take results back")
	}
	if pool := g.pool(shard); pool != nil {
		pool.release(results)
	}
}

// State returns what the dump shows of this host's pools.
func (g *Group) State() map[string]State {
	g.mu.Lock()
	defer g.mu.Unlock()
	states := make(map[string]State, len(g.pools))
	for shard, p := range g.pools {
		states[shard] = p.state()
	}
	return states
}
