// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package enginepool

import (
	"context"
	"fmt"
	"net/http"
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
	// placeFor is how long another host may take to place a prompt. It answers
	// at once, and the host itself can decide nearly as well.
	placeFor = 80 * time.Millisecond
	// ownersTried bounds how many hosts are asked.
	ownersTried = 2
	// reportsMost bounds the reports that wait for the next question.
	reportsMost = 64
)

// Options are a Group's dependencies; all are needed.
type Options struct {
	Owners *owner.Finder
	HTTP   *http.Client
	Log    logrus.FieldLogger
	Scope  tally.Scope
}

// Group has the engines of all services and finds their owners. It is safe for
// concurrent use.
type Group struct {
	options Options
	ctx     context.Context

	mu sync.Mutex
	// services has the engines of each, divided into shards.
	services map[string]*owner.Divided[string, *placing.Engine]
	// books has those of this host.
	books map[shard]*placing.Book
	// reports wait for the next question to the owner of their shard.
	reports map[shard][]placing.Report
}

// shard names the engines of a service that one host places prompts on.
type shard struct {
	service string
	// number is below the count of the service's shards.
	number int
}

// String names the shard to other hosts; the first is named like its service, which may
// have no other.
func (s shard) String() string {
	if s.number == 0 {
		return s.service
	}
	return s.service + shardMark + strconv.Itoa(s.number)
}

// shardMark stands between a service and the number of a shard, in their name.
const shardMark = "#"

// New returns a group without engines whose calls end with ctx.
func New(ctx context.Context, options Options) *Group {
	return &Group{
		options:  options,
		ctx:      ctx,
		services: make(map[string]*owner.Divided[string, *placing.Engine]),
		books:    make(map[shard]*placing.Book),
		reports:  make(map[shard][]placing.Report),
	}
}

// Configure replaces the engines of all services, where a configuration says other
// things of them.
func (g *Group) Configure(changes []listed.Change[placing.Engine]) {
	g.mu.Lock()
	clear(g.services)
	g.mu.Unlock()
	g.Change(changes)
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, b := range g.books {
		b.SetEngines(g.enginesOf(s))
	}
}

// Change takes in which engines were added, changed and removed. What it is given is
// shared and must not be changed.
func (g *Group) Change(changes []listed.Change[placing.Engine]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	touched := make(map[shard]bool)
	for _, c := range changes {
		engines := g.engines(c.Service)
		instance := ""
		if c.New != nil {
			instance = c.New.Instance
			engines.Put(instance, c.New)
		} else {
			instance = c.Old.Instance
			engines.Remove(instance)
		}
		touched[shard{service: c.Service, number: engines.Of(instance)}] = true
	}
	divided := make(map[string]bool)
	for service, engines := range g.services {
		divided[service] = engines.Divide()
	}
	for s, b := range g.books {
		if touched[s] || divided[s.service] {
			b.SetEngines(g.enginesOf(s))
		}
	}
}

// engines returns those of a service, which may be none yet. The mutex must be held.
func (g *Group) engines(service string) *owner.Divided[string, *placing.Engine] {
	engines := g.services[service]
	if engines == nil {
		engines = placing.NewShards[*placing.Engine]()
		g.services[service] = engines
	}
	return engines
}

// enginesOf returns the engines of a shard. The mutex must be held.
func (g *Group) enginesOf(s shard) []placing.Engine {
	part := g.engines(s.service).Part(s.number)
	list := make([]placing.Engine, 0, len(part))
	for _, e := range part {
		list = append(list, *e)
	}
	return list
}

// ofPrompt returns the shard of a prompt. The mutex must be held.
func (g *Group) ofPrompt(service string, p placing.Prompt) shard {
	return shard{service: service, number: placing.OfPrompt(p, g.engines(service).Parts())}
}

// ofEngine returns the shard of an engine. The mutex must be held.
func (g *Group) ofEngine(service, instance string) shard {
	return shard{service: service, number: g.engines(service).Of(instance)}
}

// shardNamed returns the shard that another host means. One that knows of more engines
// may name a shard that there isn't yet: its prompts go to one that there is, rather than
// being refused.
func (g *Group) shardNamed(name string) shard {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := strings.LastIndex(name, shardMark)
	if _, whole := g.services[name]; whole || at < 0 {
		return shard{service: name}
	}
	s := shard{service: name[:at]}
	if number, err := strconv.Atoi(name[at+len(shardMark):]); err == nil && number > 0 {
		s.number = number % g.engines(s.service).Parts()
	}
	return s
}

// Place asks the owner of the prompt's engines for the best one, or decides
// itself where this host is the owner or no owner answers.
func (g *Group) Place(ctx context.Context, service string, p placing.Prompt) placing.Place {
	g.mu.Lock()
	shard := g.ofPrompt(service, p)
	reports := g.reports[shard]
	delete(g.reports, shard)
	g.mu.Unlock()
	for _, peer := range g.options.Owners.Others(shard.String(), ownersTried) {
		place, err := g.ask(ctx, peer, shard, p, reports)
		if err == nil {
			return place
		}
		p.Alone = true
		if ctx.Err() != nil {
			return placing.Place{}
		}
		g.options.Owners.Avoid(peer.Address)
		g.options.Scope.Counter("owner_failed").Inc(1)
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": peer.Address, "pool": shard}).Warn("the owner of an engine pool failed")
	}
	return g.placeHere(shard, p, reports)
}

// book returns this host's book of a shard. The mutex must be held.
func (g *Group) book(s shard) *placing.Book {
	b := g.books[s]
	if b == nil {
		b = placing.NewBook()
		b.SetEngines(g.enginesOf(s))
		g.books[s] = b
	}
	return b
}

func (g *Group) placeHere(s shard, p placing.Prompt, reports []placing.Report) placing.Place {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.book(s)
	for _, r := range reports {
		b.Report(now, r)
	}
	return b.Place(now, p)
}

// reportHere takes reports in where this host places the prompts of a shard.
func (g *Group) reportHere(s shard, reports []placing.Report) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.book(s)
	for _, r := range reports {
		b.Report(now, r)
	}
}

// Silent tells the owner of an engine at once that it has not answered a prompt in
// a time that means something: what comes meanwhile would go there too.
func (g *Group) Silent(service, instance string) {
	g.mu.Lock()
	shard := g.ofEngine(service, instance)
	g.mu.Unlock()
	reports := []placing.Report{{Instance: instance, Failed: true}}
	for _, peer := range g.options.Owners.Others(shard.String(), ownersTried) {
		ctx, cancel := context.WithTimeout(g.ctx, placeFor)
		client := enginepb.NewEnginesProtobufClient("http://"+peer.Control.String(), g.options.HTTP)
		_, err := client.Report(ctx, &enginepb.ReportRequest{Service: shard.String(), Reports: reportMessages(reports)})
		cancel()
		if err == nil || g.ctx.Err() != nil {
			return
		}
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": peer.Address, "pool": shard}).Warn("the owner of an engine pool took no report")
	}
	g.reportHere(shard, reports)
}

// Ended notes how a prompt went; the owner hears of it with the next question.
func (g *Group) Ended(service string, r placing.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	shard := g.ofEngine(service, r.Instance)
	if len(g.reports[shard]) < reportsMost {
		g.reports[shard] = append(g.reports[shard], r)
	}
}

func (g *Group) ask(ctx context.Context, peer owner.Peer, s shard, p placing.Prompt, reports []placing.Report) (placing.Place, error) {
	ctx, cancel := context.WithTimeout(ctx, placeFor)
	defer cancel()
	client := enginepb.NewEnginesProtobufClient("http://"+peer.Control.String(), g.options.HTTP)
	reply, err := client.Place(ctx, promptMessage(s.String(), p, reports))
	if err != nil {
		return placing.Place{}, err
	}
	place := placing.Place{
		Instance: reply.GetInstance(),
		Wait:     time.Duration(reply.GetWaitMs()) * time.Millisecond,
		Expected: time.Duration(reply.GetExpectedMs()) * time.Millisecond,
	}
	if source := reply.GetSource(); len(source) > 0 {
		if err := place.Source.UnmarshalBinary(source); err != nil {
			return placing.Place{}, fmt.Errorf("enginepool: source %x: %w", source, err)
		}
	}
	return place, nil
}

// Handler returns what serves the other hosts, and the path it serves under.
func (g *Group) Handler() (string, http.Handler) {
	server := enginepb.NewEnginesServer(&service{g: g})
	return server.PathPrefix(), server
}

type service struct{ g *Group }

// Place places a prompt for another host.
func (s *service) Place(_ context.Context, in *enginepb.PlaceRequest) (*enginepb.PlaceReply, error) {
	p := placing.Prompt{
		First:        in.GetFirst(),
		Shared:       in.GetShared(),
		FirstTokens:  int(max(in.GetFirstTokens(), 0)),
		SharedTokens: int(max(in.GetSharedTokens(), 0)),
		OwnTokens:    int(max(in.GetOwnTokens(), 0)),
		Zone:         in.GetZone(),
		InputBytes:   max(in.GetInputBytes(), 0),
		Left:         time.Duration(in.GetLeftMs()) * time.Millisecond,
		Except:       in.GetExcept(),
		Homes:        in.GetHomes(),
	}
	place := s.g.placeHere(s.g.shardNamed(in.GetService()), p, reportsOf(in.GetReports()))
	reply := &enginepb.PlaceReply{Instance: place.Instance, WaitMs: place.Wait.Milliseconds(), ExpectedMs: place.Expected.Milliseconds()}
	if place.Source.IsValid() {
		source, err := place.Source.MarshalBinary()
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		reply.Source = source
	}
	return reply, nil
}

// Report takes in how prompts of other hosts went.
func (s *service) Report(_ context.Context, in *enginepb.ReportRequest) (*enginepb.ReportReply, error) {
	if len(in.GetReports()) > reportsMost {
		return nil, twirp.InvalidArgumentError("reports", "too many")
	}
	s.g.reportHere(s.g.shardNamed(in.GetService()), reportsOf(in.GetReports()))
	return &enginepb.ReportReply{}, nil
}

func promptMessage(shard string, p placing.Prompt, reports []placing.Report) *enginepb.PlaceRequest {
	m := &enginepb.PlaceRequest{
		Service:      shard,
		First:        p.First,
		Shared:       p.Shared,
		FirstTokens:  int64(p.FirstTokens),
		SharedTokens: int64(p.SharedTokens),
		OwnTokens:    int64(p.OwnTokens),
		Zone:         p.Zone,
		InputBytes:   p.InputBytes,
		LeftMs:       p.Left.Milliseconds(),
		Except:       p.Except,
		Homes:        p.Homes,
	}
	m.Reports = reportMessages(reports)
	return m
}

func reportMessages(reports []placing.Report) []*enginepb.Report {
	messages := make([]*enginepb.Report, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &enginepb.Report{
			Instance: r.Instance, FirstMs: r.First.Milliseconds(), ExpectedMs: r.Expected.Milliseconds(), Failed: r.Failed,
		})
	}
	return messages
}

func reportsOf(messages []*enginepb.Report) []placing.Report {
	reports := make([]placing.Report, 0, len(messages))
	for _, r := range messages {
		reports = append(reports, placing.Report{
			Instance: r.GetInstance(),
			First:    time.Duration(r.GetFirstMs()) * time.Millisecond,
			Expected: time.Duration(r.GetExpectedMs()) * time.Millisecond,
			Failed:   r.GetFailed(),
		})
	}
	return reports
}
