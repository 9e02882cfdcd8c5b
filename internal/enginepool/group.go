// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package enginepool

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/enginepool/enginepb"
	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/placing"
)

const (
	// placeTimeout is the timeout of a call to another host. It is short because the owner
	// answers at once, and because this host can place a prompt nearly as well.
	placeTimeout = 80 * time.Millisecond
	// maxOwnersTried is how many hosts are tried before this host places a prompt itself.
	maxOwnersTried = 2
	// maxReports is the most reports of a shard that are queued for the next PlaceRequest,
	// and the most in a ReportRequest.
	maxReports = 64
)

// Options holds the dependencies of a Group. All are required.
type Options struct {
	Owners *owner.Finder
	HTTP   *http.Client
	Log    logrus.FieldLogger
	Scope  tally.Scope
}

// Group places prompts on the engines of all services, by this host's own records or
// through the hosts that own the engines. It is safe for concurrent use.
type Group struct {
	options Options
	ctx     context.Context

	mu sync.Mutex
	// services holds the engines of each service, divided into shards.
	services map[string]*owner.PartitionedMap[string, *placing.Engine]
	// schedulers holds this host's records of the engines of each shard.
	schedulers map[shard]*placing.Scheduler
	// reports are queued for the next PlaceRequest to the owner of their shard.
	reports map[shard][]placing.Report
	// paces are the paces that this host observed.
	paces *paceCache
	// classesAt is when the gauge of engines by speed was computed last, and hasSpeeds says
	// whether any speed has been known then.
	classesAt time.Time
	hasSpeeds bool
}

// shard identifies a group of engines of a service that one host owns.
type shard struct {
	service string
	// number is from 0 up to the number of the service's shards, exclusive.
	number int
}

// String returns the name of the shard in messages between hosts. The first shard has the
// name of its service, which may have no other shards.
func (s shard) String() string {
	if s.number == 0 {
		return s.service
	}
	return s.service + shardSeparator + strconv.Itoa(s.number)
}

// shardSeparator separates the service from the number in the name of a shard.
const shardSeparator = "#"

// New returns a group without engines. The calls of ReportSilent are cancelled
// when ctx is done.
func New(ctx context.Context, options Options) *Group {
	return &Group{
		options:    options,
		ctx:        ctx,
		services:   make(map[string]*owner.PartitionedMap[string, *placing.Engine]),
		schedulers: make(map[shard]*placing.Scheduler),
		reports:    make(map[shard][]placing.Report),
		paces:      newPaceCache(),
	}
}

// Configure replaces the engines of all services after a change of the configuration.
func (g *Group) Configure(changes []listed.Change[placing.Engine]) {
	g.mu.Lock()
	clear(g.services)
	g.mu.Unlock()
	g.Change(changes)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paces.retain(g.hasEngine)
	for s, scheduler := range g.schedulers {
		scheduler.SetEngines(g.enginesOfShard(s))
	}
}

// Change applies the addition, change and removal of engines. The engines in changes are
// shared with the caller and must not be modified.
func (g *Group) Change(changes []listed.Change[placing.Engine]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changedShards := make(map[shard]bool)
	for _, c := range changes {
		engines := g.enginesOfService(c.Service)
		instance := ""
		if c.New != nil {
			instance = c.New.Instance
			engines.Put(instance, c.New)
		} else {
			instance = c.Old.Instance
			engines.Remove(instance)
			g.paces.forget(instance)
		}
		changedShards[shard{service: c.Service, number: engines.PartOf(instance)}] = true
	}
	repartitioned := make(map[string]bool)
	for service, engines := range g.services {
		repartitioned[service] = engines.Repartition()
		if repartitioned[service] {
			g.paces.resend(service)
		}
	}
	for s, scheduler := range g.schedulers {
		if changedShards[s] || repartitioned[s.service] {
			scheduler.SetEngines(g.enginesOfShard(s))
		}
	}
}

// enginesOfService returns the engines of a service, and creates an empty set if there is
// none. The mutex must be held.
func (g *Group) enginesOfService(service string) *owner.PartitionedMap[string, *placing.Engine] {
	engines := g.services[service]
	if engines == nil {
		engines = placing.NewShards[*placing.Engine]()
		g.services[service] = engines
	}
	return engines
}

// hasEngine reports whether an engine of any service has the given name. The mutex must be held.
func (g *Group) hasEngine(instance string) bool {
	for _, engines := range g.services {
		if engines.Part(engines.PartOf(instance))[instance] != nil {
			return true
		}
	}
	return false
}

// enginesOfShard returns the engines of a shard. The mutex must be held.
func (g *Group) enginesOfShard(s shard) []placing.Engine {
	part := g.enginesOfService(s.service).Part(s.number)
	list := make([]placing.Engine, 0, len(part))
	for _, e := range part {
		list = append(list, *e)
	}
	return list
}

// shardOfPrompt returns the shard of a prompt. The mutex must be held.
func (g *Group) shardOfPrompt(service string, p placing.Prompt) shard {
	return shard{service: service, number: placing.ShardOfPrompt(p, g.enginesOfService(service).Parts())}
}

// shardOfEngine returns the shard of an engine. The mutex must be held.
func (g *Group) shardOfEngine(service, instance string) shard {
	return shard{service: service, number: g.enginesOfService(service).PartOf(instance)}
}

// resolveShard returns the shard with a name that another host sent. A host that knows of
// more engines may name a shard that does not exist here yet; it is mapped to an existing
// one, so that its prompts are not refused.
func (g *Group) resolveShard(name string) shard {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := strings.LastIndex(name, shardSeparator)
	if _, isService := g.services[name]; isService || i < 0 {
		return shard{service: name}
	}
	s := shard{service: name[:i]}
	if number, err := strconv.Atoi(name[i+len(shardSeparator):]); err == nil && number > 0 {
		s.number = number % g.enginesOfService(s.service).Parts()
	}
	return s
}

// Place returns the best engine for a prompt. It asks the owner of the prompt's shard, or
// decides itself if this host is the owner or no owner answers.
func (g *Group) Place(ctx context.Context, service string, p placing.Prompt) placing.Placement {
	g.mu.Lock()
	shard := g.shardOfPrompt(service, p)
	reports := g.reports[shard]
	delete(g.reports, shard)
	g.mu.Unlock()
	for _, peer := range g.options.Owners.PeersFor(shard.String(), maxOwnersTried) {
		place, err := g.placeAtPeer(ctx, peer, shard, p, reports, g.unsentPaces(shard, peer.Address))
		if err == nil {
			g.paces.markSent(shard, peer.Address)
			return place
		}
		p.WithoutOwner = true
		if ctx.Err() != nil {
			return placing.Placement{}
		}
		g.options.Owners.Avoid(peer.Address)
		g.options.Scope.Counter("owner_failed").Inc(1)
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": peer.Address, "pool": shard}).Warn("the owner of an engine pool failed")
	}
	paces := g.unsentPaces(shard, netip.AddrPort{})
	g.paces.markSent(shard, netip.AddrPort{})
	return g.placeLocally(shard, p, reports, paces)
}

// unsentPaces returns the paces of a shard's engines if this host has not sent them to the shard's
// current owner yet. The zero address stands for this host.
func (g *Group) unsentPaces(s shard, owner netip.AddrPort) map[string]time.Duration {
	if g.paces.isSent(s, owner) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paces.of(maps.Keys(g.enginesOfService(s.service).Part(s.number)))
}

// schedulerFor returns this host's scheduler of a shard, and creates it if needed. The mutex must
// be held.
func (g *Group) schedulerFor(s shard) *placing.Scheduler {
	scheduler := g.schedulers[s]
	if scheduler == nil {
		scheduler = placing.NewScheduler()
		scheduler.SetEngines(g.enginesOfShard(s))
		g.schedulers[s] = scheduler
	}
	return scheduler
}

// placeLocally applies paces and reports and places a prompt by this host's records.
func (g *Group) placeLocally(s shard, p placing.Prompt, reports []placing.Report, paces map[string]time.Duration) placing.Placement {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	scheduler := g.schedulerFor(s)
	for instance, gap := range paces {
		scheduler.LearnPace(instance, gap)
	}
	for _, r := range reports {
		scheduler.Report(now, r)
	}
	return scheduler.Place(now, p)
}

// reportLocally applies reports to this host's records of a shard.
func (g *Group) reportLocally(s shard, reports []placing.Report) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	scheduler := g.schedulerFor(s)
	for _, r := range reports {
		scheduler.Report(now, r)
	}
}

// ReportSilent reports to the owner of an engine that the engine has not answered a prompt in
// significant time. It does so at once, as further prompts would be placed there meanwhile.
func (g *Group) ReportSilent(service, instance string) {
	g.mu.Lock()
	shard := g.shardOfEngine(service, instance)
	g.mu.Unlock()
	reports := []placing.Report{{Instance: instance, Failed: true}}
	for _, peer := range g.options.Owners.PeersFor(shard.String(), maxOwnersTried) {
		ctx, cancel := context.WithTimeout(g.ctx, placeTimeout)
		client := enginepb.NewEnginesProtobufClient("http://"+peer.Control.String(), g.options.HTTP)
		_, err := client.Report(ctx, &enginepb.ReportRequest{Service: shard.String(), Reports: reportMessages(reports)})
		cancel()
		if err == nil || g.ctx.Err() != nil {
			return
		}
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": peer.Address, "pool": shard}).Warn("reporting a silent engine to the pool owner failed")
	}
	g.reportLocally(shard, reports)
}

// QueueReport queues the report of a prompt that has ended. It is sent to the owner with the
// next PlaceRequest.
func (g *Group) QueueReport(service string, r placing.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.EventGap > 0 && g.hasEngine(r.Instance) {
		// The streams of a removed engine end after its removal.
		g.paces.record(r.Instance, r.EventGap)
	}
	shard := g.shardOfEngine(service, r.Instance)
	if len(g.reports[shard]) < maxReports {
		g.reports[shard] = append(g.reports[shard], r)
	}
}

// placeAtPeer sends a prompt to be placed, queued reports and paces to another host.
func (g *Group) placeAtPeer(ctx context.Context, peer owner.Peer, s shard, p placing.Prompt, reports []placing.Report, paces map[string]time.Duration) (placing.Placement, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	client := enginepb.NewEnginesProtobufClient("http://"+peer.Control.String(), g.options.HTTP)
	reply, err := client.Place(ctx, placeRequest(s.String(), p, reports, paces))
	if err != nil {
		return placing.Placement{}, err
	}
	return placementFromMessage(reply)
}

// Handler returns the path prefix and the handler of the RPCs from other hosts.
func (g *Group) Handler() (string, http.Handler) {
	server := enginepb.NewEnginesServer(&service{g: g})
	return server.PathPrefix(), server
}

type service struct{ g *Group }

// Place places a prompt for another host.
func (s *service) Place(_ context.Context, in *enginepb.PlaceRequest) (*enginepb.PlaceReply, error) {
	place := s.g.placeLocally(s.g.resolveShard(in.GetService()), promptFromMessage(in), reportsFromMessages(in.GetReports()), pacesFromMessages(in.GetPaces()))
	return placeReply(place)
}

// Report applies reports from another host.
func (s *service) Report(_ context.Context, in *enginepb.ReportRequest) (*enginepb.ReportReply, error) {
	if len(in.GetReports()) > maxReports {
		return nil, twirp.InvalidArgumentError("reports", "too many")
	}
	s.g.reportLocally(s.g.resolveShard(in.GetService()), reportsFromMessages(in.GetReports()))
	return &enginepb.ReportReply{}, nil
}
