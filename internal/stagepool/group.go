// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/netip"
	"slices"
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

// Options holds the dependencies of a Group. All are required except Rest and Permit.
type Options struct {
	// Self is the address of this host.
	Self   netip.AddrPort
	Owners *owner.Finder
	Driver Driver
	// Rest returns for how long a server has asked this host to send it nothing. If nil,
	// no server has.
	Rest func(instance string) time.Duration
	// Permit asks for permission to send one call to a server. If it is denied, Rest returns
	// for how long nothing may be sent there. If nil, it is always granted.
	Permit func(ctx context.Context, instance string) bool
	HTTP   *http.Client
	Log    logrus.FieldLogger
	Scope  tally.Scope
}

const (
	// A host that has not answered after livenessDelay is sent a liveness check every
	// livenessInterval, about the time of one call. A check that gets no answer within
	// livenessTimeout has failed.
	livenessDelay    = 200 * time.Millisecond
	livenessInterval = 300 * time.Millisecond
	livenessTimeout  = 150 * time.Millisecond
	// maxOwnersTried is how many hosts are tried before this host does the work itself.
	maxOwnersTried = 2
	// crossZoneMargin is how much longer the wait in the zone of the work must be than in
	// another zone before the work is sent there. It is about the time of one call.
	crossZoneMargin = 250 * time.Millisecond
)

var errOwnerUnresponsive = errors.New("stagepool: pool owner failed the liveness check")

// Group runs stage work of all services, in this host's pools or at the hosts that own
// the servers. It is safe for concurrent use.
type Group struct {
	options Options
	ctx     context.Context

	mu sync.Mutex
	// pools holds the pools of this host by shard name.
	pools map[string]*Pool
	specs map[string]stageplan.Spec
	// services holds the servers of each service.
	services map[string]*serviceServers
	// backlogs and pieces are not guarded by mu; they have their own mutexes.
	backlogs *backlogCache
	pieces   pieceLimit
}

// New returns a group without services. Its calls are cancelled when ctx is done.
func New(ctx context.Context, options Options) *Group {
	if options.Rest == nil {
		options.Rest = func(string) time.Duration { return 0 }
	}
	if options.Permit == nil {
		options.Permit = func(context.Context, string) bool { return true }
	}
	return &Group{
		options:  options,
		ctx:      ctx,
		pools:    make(map[string]*Pool),
		specs:    make(map[string]stageplan.Spec),
		services: make(map[string]*serviceServers),
		backlogs: newBacklogCache(),
	}
}

// Configure replaces the services and their servers.
func (g *Group) Configure(specs map[string]stageplan.Spec, servers map[string][]stageplan.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.specs = specs
	clear(g.services)
	for service, list := range servers {
		svc := newServiceServers(service)
		for _, server := range list {
			svc.put(server)
		}
		svc.updateShards(service)
		g.services[service] = svc
	}
	for name, pool := range g.pools {
		g.configure(pool, parseShard(name))
	}
}

// Change applies the addition, change and removal of servers.
func (g *Group) Change(changes []listed.Change[stageplan.Server]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// changedZones holds the zones in which servers changed, by service.
	changedZones := make(map[string]map[string]bool)
	for _, c := range changes {
		svc := g.services[c.Service]
		if svc == nil {
			svc = newServiceServers(c.Service)
			g.services[c.Service] = svc
		}
		if changedZones[c.Service] == nil {
			changedZones[c.Service] = make(map[string]bool)
		}
		for _, zone := range svc.apply(c) {
			changedZones[c.Service][zone] = true
		}
	}
	for service := range changedZones {
		g.services[service].updateShards(service)
	}
	for name, pool := range g.pools {
		if s := parseShard(name); changedZones[s.service] != nil && (s.zone == "" || changedZones[s.service][s.zone]) {
			g.configure(pool, s)
		}
	}
}

// RecordLoad passes the load that a run of a server reports to this host's pools of that server.
func (g *Group) RecordLoad(instance string, address netip.AddrPort, load stageplan.ReportedLoad) {
	g.mu.Lock()
	pools := slices.Collect(maps.Values(g.pools))
	g.mu.Unlock()
	for _, p := range pools {
		p.recordLoad(instance, address, load)
	}
}

// configure updates the specification and the servers of a pool of this host. The mutex
// must be held.
func (g *Group) configure(pool *Pool, s shard) {
	spec, ok := g.specs[s.service]
	if !ok {
		spec = pool.scheduler.Spec()
	}
	var servers []stageplan.Server
	if svc := g.services[s.service]; svc != nil {
		servers = svc.servers(s)
	}
	pool.configure(spec, servers)
}

// expectedWait returns the last reported wait of new work at a shard, or 0 if none is known.
func (g *Group) expectedWait(shard string) time.Duration {
	backlog, _ := g.backlogs.lookup(shard)
	return backlog.Waits.Longest()
}

// localPool returns this host's pool of a shard and creates it if needed. It returns nil
// for an unknown service.
func (g *Group) localPool(name string) *Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := parseShard(name)
	if svc := g.services[s.service]; svc != nil {
		s = svc.resolve(s)
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

// Answer is the result of Run.
type Answer struct {
	Results []stageplan.Result
	Failure stageplan.Failure
	// Wait is how long new work waits at the pool; 0 if unknown.
	Wait time.Duration
	// Owner is the host that sent the calls to the servers.
	Owner netip.AddrPort
	// Times is where the time of the work went at the owner. It is zero if the pool is not
	// load-aware, or if its owner did not state it.
	Times stageplan.Times
}

// Run executes the pieces of w through the owner of its shard. If the owner fails, Run
// tries the next host in the ranking, and finally sends the calls from this host.
func (g *Group) Run(ctx context.Context, w stageplan.Work) Answer {
	g.mu.Lock()
	shard := g.shardFor(w)
	g.mu.Unlock()
	for _, p := range g.options.Owners.PeersFor(shard, maxOwnersTried) {
		answer, err := g.runAtPeer(ctx, p, shard, w)
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
	return g.runLocally(ctx, shard, w)
}

func (g *Group) runLocally(ctx context.Context, shard string, w stageplan.Work) Answer {
	pool := g.localPool(shard)
	if pool == nil {
		return Answer{Failure: stageplan.FailureFailed}
	}
	if !g.pieces.take(len(w.Pieces)) {
		g.options.Scope.Counter("work_refused").Inc(1)
		g.options.Log.WithFields(logrus.Fields{"pool": shard, "request": w.Request, "pieces": len(w.Pieces), "held": g.pieces.count()}).
			Info("stage work refused: too many pieces at this host")
		return Answer{Failure: stageplan.FailureFull, Wait: g.updateBacklog(shard, pool).Waits.Longest(), Owner: g.options.Self}
	}
	defer g.pieces.put(len(w.Pieces))
	answer := pool.run(ctx, w)
	answer.Wait, answer.Owner = g.updateBacklog(shard, pool).Waits.Longest(), g.options.Self
	return answer
}

// runAtPeer runs w through another host. It fails if that host stops responding to
// liveness checks.
func (g *Group) runAtPeer(ctx context.Context, p owner.Peer, shard string, w stageplan.Work) (Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := stagepb.NewStagesProtobufClient("http://"+p.Control.String(), g.options.HTTP)
	livenessTimer := time.AfterFunc(livenessDelay, func() { g.watchLiveness(ctx, client, cancel) })
	defer livenessTimer.Stop()
	request := requestMessage(time.Now(), shard, w)
	request.Backlogs = g.backlogs.messages(time.Now())
	reply, err := client.Run(peerhttp.Patient(ctx), request)
	if err != nil {
		return Answer{}, err
	}
	g.backlogs.merge(time.Now(), reply.GetBacklogs())
	results, err := resultsFromMessages(reply.GetResults())
	if err != nil {
		return Answer{}, err
	}
	if reply.GetFailure() == "" && len(results) != len(w.Pieces) {
		return Answer{}, errors.New("stagepool: pool owner returned too few results")
	}
	return Answer{
		Results: results,
		Failure: stageplan.Failure(reply.GetFailure()),
		Wait:    g.expectedWait(shard),
		Owner:   p.Address,
		Times:   timesFromMessage(reply),
	}, nil
}

// watchLiveness sends liveness checks until ctx is done, and cancels the call if one fails.
func (g *Group) watchLiveness(ctx context.Context, client stagepb.Stages, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		alive, stop := context.WithTimeout(ctx, livenessTimeout)
		_, err := client.Alive(alive, &stagepb.AliveRequest{})
		stop()
		if err != nil && ctx.Err() == nil {
			cancel(errOwnerUnresponsive)
			return
		}
		timer := time.NewTimer(livenessInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
}

// Release frees results of a service through the hosts that own their servers.
func (g *Group) Release(service string, results []stageplan.Result) {
	byShard := make(map[string][]stageplan.Result)
	g.mu.Lock()
	svc := g.services[service]
	for _, r := range results {
		name := service
		if svc != nil {
			name = svc.shardOfServer(service, r.Zone, r.Server).String()
		}
		byShard[name] = append(byShard[name], r)
	}
	g.mu.Unlock()
	for shard, part := range byShard {
		g.releaseShard(shard, part)
	}
}

func (g *Group) releaseShard(shard string, results []stageplan.Result) {
	for _, p := range g.options.Owners.PeersFor(shard, maxOwnersTried) {
		ctx, cancel := context.WithTimeout(g.ctx, freeTimeout)
		client := stagepb.NewStagesProtobufClient("http://"+p.Control.String(), g.options.HTTP)
		_, err := client.Release(ctx, &stagepb.ReleaseRequest{Service: shard, Results: resultMessages(results)})
		cancel()
		if err == nil {
			return
		}
		g.options.Log.WithError(err).WithField("peer", p.Address).Debug("releasing results through the pool owner failed")
	}
	if pool := g.localPool(shard); pool != nil {
		pool.release(results)
	}
}

// State returns the state of this host's pools by shard, for the diagnostic dump.
func (g *Group) State() map[string]State {
	g.mu.Lock()
	defer g.mu.Unlock()
	states := make(map[string]State, len(g.pools))
	for shard, p := range g.pools {
		states[shard] = p.state()
	}
	return states
}
