// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package enginepool

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/enginepool/enginepb"
	"github.com/wingvale/wingvale/internal/owner"
)

const (
	// shardSize is the most engines that one host owns together. The more, the
	// better a hot prompt spreads, and the more its owner has to do.
	shardSize = 24
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

	mu sync.Mutex
	// shards has the engines of each shard; counts how many shards a service
	// has.
	shards map[string][]Engine
	counts map[string]int
	// books has those of this host.
	books map[string]*book
	// reports wait for the next question to the owner of their shard.
	reports map[string][]Report
}

// New returns a group without engines.
func New(options Options) *Group {
	return &Group{
		options: options,
		shards:  make(map[string][]Engine),
		counts:  make(map[string]int),
		books:   make(map[string]*book),
		reports: make(map[string][]Report),
	}
}

// Configure replaces the engines of all services.
func (g *Group) Configure(services map[string][]Engine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shards = make(map[string][]Engine)
	g.counts = make(map[string]int, len(services))
	for service, engines := range services {
		count := (len(engines) + shardSize - 1) / shardSize
		g.counts[service] = count
		for _, e := range engines {
			shard := shardOf(service, xxhash.Sum64String(e.Instance), count)
			g.shards[shard] = append(g.shards[shard], e)
		}
	}
	for shard, b := range g.books {
		b.setEngines(g.shards[shard])
	}
}

// shardOf names the shard of a hash. Engines are spread by their names and
// prompts by their first shared part.
func shardOf(service string, hash uint64, count int) string {
	if count <= 1 {
		return service
	}
	return service + "#" + strconv.FormatUint(hash%uint64(count), 10)
}

// Place is where a prompt goes.
type Place struct {
	Instance string
	// Wait is how long it waits there, and Expected how long its first event
	// should take, as far as is known.
	Wait     time.Duration
	Expected time.Duration
	// Source is the engine to copy shared parts of the prompt from; the zero
	// address is none.
	Source netip.AddrPort
}

// Place asks the owner of the prompt's engines for the best one, or decides
// itself where this host is the owner or no owner answers.
func (g *Group) Place(ctx context.Context, service string, p Prompt) Place {
	hash := p.First
	if hash == 0 {
		hash = uint64(time.Now().UnixNano())
	}
	g.mu.Lock()
	shard := shardOf(service, hash, g.counts[service])
	reports := g.reports[shard]
	delete(g.reports, shard)
	g.mu.Unlock()
	for _, peer := range g.options.Owners.Others(shard, ownersTried) {
		place, err := g.ask(ctx, peer, shard, p, reports)
		if err == nil {
			return place
		}
		if ctx.Err() != nil {
			return Place{}
		}
		g.options.Owners.Avoid(peer.Address)
		g.options.Scope.Counter("owner_failed").Inc(1)
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": peer.Address, "pool": shard}).Warn("the owner of an engine pool failed")
	}
	return g.placeHere(shard, p, reports)
}

func (g *Group) placeHere(shard string, p Prompt, reports []Report) Place {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.books[shard]
	if b == nil {
		b = newBook()
		b.setEngines(g.shards[shard])
		g.books[shard] = b
	}
	for _, r := range reports {
		b.report(now, r)
	}
	return b.place(now, p)
}

// Ended notes how a prompt went; the owner hears of it with the next question.
func (g *Group) Ended(service string, first uint64, r Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	shard := shardOf(service, first, g.counts[service])
	if len(g.reports[shard]) < reportsMost {
		g.reports[shard] = append(g.reports[shard], r)
	}
}

func (g *Group) ask(ctx context.Context, peer owner.Peer, shard string, p Prompt, reports []Report) (Place, error) {
	ctx, cancel := context.WithTimeout(ctx, placeFor)
	defer cancel()
	client := enginepb.NewEnginesProtobufClient("http://"+peer.Control.String(), g.options.HTTP)
	reply, err := client.Place(ctx, promptMessage(shard, p, reports))
	if err != nil {
		return Place{}, err
	}
	place := Place{
		Instance: reply.GetInstance(),
		Wait:     time.Duration(reply.GetWaitMs()) * time.Millisecond,
		Expected: time.Duration(reply.GetExpectedMs()) * time.Millisecond,
	}
	if source := reply.GetSource(); len(source) > 0 {
		if err := place.Source.UnmarshalBinary(source); err != nil {
			return Place{}, fmt.Errorf("enginepool: source %x: %w", source, err)
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
	reports := make([]Report, 0, len(in.GetReports()))
	for _, r := range in.GetReports() {
		reports = append(reports, Report{
			Instance: r.GetInstance(),
			First:    time.Duration(r.GetFirstMs()) * time.Millisecond,
			Expected: time.Duration(r.GetExpectedMs()) * time.Millisecond,
			Failed:   r.GetFailed(),
		})
	}
	p := Prompt{
		First:        in.GetFirst(),
		Shared:       in.GetShared(),
		FirstTokens:  int(max(in.GetFirstTokens(), 0)),
		SharedTokens: int(max(in.GetSharedTokens(), 0)),
		OwnTokens:    int(max(in.GetOwnTokens(), 0)),
		Zone:         in.GetZone(),
		InputBytes:   max(in.GetInputBytes(), 0),
		Except:       in.GetExcept(),
	}
	place := s.g.placeHere(in.GetService(), p, reports)
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

func promptMessage(shard string, p Prompt, reports []Report) *enginepb.PlaceRequest {
	m := &enginepb.PlaceRequest{
		Service:      shard,
		First:        p.First,
		Shared:       p.Shared,
		FirstTokens:  int64(p.FirstTokens),
		SharedTokens: int64(p.SharedTokens),
		OwnTokens:    int64(p.OwnTokens),
		Zone:         p.Zone,
		InputBytes:   p.InputBytes,
		Except:       p.Except,
	}
	for _, r := range reports {
		m.Reports = append(m.Reports, &enginepb.Report{
			Instance: r.Instance, FirstMs: r.First.Milliseconds(), ExpectedMs: r.Expected.Milliseconds(), Failed: r.Failed,
		})
	}
	return m
}
