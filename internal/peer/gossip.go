// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/suspect"
)

// Options are a Gossip's dependencies; all but the times are needed.
type Options struct {
	View   *fleet.View
	Spaces Spaces
	HTTP   *http.Client
	Log    logrus.FieldLogger
	Scope  tally.Scope
	Random *rand.Rand
	// Listed reports whether the host list has an entry host at the address.
	Listed func(netip.AddrPort) bool
	// Accepted is told of entries that came into force by a peer.
	Accepted func(space peerpb.Space, entries []published.Entry)
	// Leaving is told of each backend server that a peer newly knows to leave; nil where
	// the node has no use for it.
	Leaving func(fleet.LeavingServer)
	// Link is what the host's link carries in bytes a second, 0 for not told.
	Link float64
	// Confirm looks whether the publisher has anything newer than the node, and
	// reports whether it could tell; nil where the node does not read it.
	Confirm func(ctx context.Context, space peerpb.Space) bool
	// Suspects has what is known of backend servers that ended under requests; nil
	// where the node does not share it.
	Suspects Suspects
	// Direct reports whether hosts that read changes of a space hand them to all others,
	// so that each passes them on but once; nil is that they don't.
	Direct func(space peerpb.Space) bool
	// Interval is the time between heartbeats.
	Interval time.Duration
}

const (
	// DefaultInterval is the time between heartbeats.
	DefaultInterval = time.Second
	heartbeatFor    = 500 * time.Millisecond
	probeFor        = time.Second
	// confirmFor bounds a host's look at the publisher for another.
	confirmFor = 400 * time.Millisecond
	// callFor bounds one call for values, of which each has some 32 KB at most:
	// 26 ms of a link of 10 Mbit/s. syncFor bounds a whole synchronisation.
	callFor = time.Second
	syncFor = 5 * time.Second
	// helpers is how many others are asked to probe a silent member.
	helpers = 2
	// Fanout is how many peers get a new entry at once.
	Fanout = 3
	// goneEvery is the heartbeat, of so many, that tries a member taken for
	// gone, so that two sides that were cut off find each other again.
	goneEvery = 4
	// neighboursMost is how many members a host contacts by turns. All of them are
	// contacted within the time for which idle connections are kept.
	neighboursMost = 32
	// pending bounds the synchronisations and pushes that wait.
	pending = 64
)

// Gossip is one node's part of the talk. Run must be called once.
type Gossip struct {
	options Options
	done    chan struct{}
	work    chan func(ctx context.Context)
	// ctx ends with Run; pulls go on until then.
	ctx       context.Context
	cancel    context.CancelFunc
	pulls     *pulls
	encodings *encodings
	packed    *packedParts
	// bulks has, for each space, a value while whole parts of it are being taken over.
	bulks     map[peerpb.Space]chan struct{}
	spreaders map[peerpb.Space]*spreader
	tellers   map[peerpb.Space]*teller
	behind    *behind
	// sent and received pace large entries.
	sent     *rate.Limiter
	received *rate.Limiter
	// quick paces quick heartbeats, and levels the members answered with.
	quick  *rate.Limiter
	levels *rate.Limiter
	// endLevels paces the ends that are told as a whole.
	endLevels *rate.Limiter
	// heard is closed once another node's ends of servers are known here.
	heard   chan struct{}
	hearing sync.Once
	// stirred has a value where the view changed or a peer's is different.
	stirred chan struct{}

	mu sync.Mutex
	// round has the members still to be contacted in this round.
	round []netip.AddrPort
	// syncing has the peers and spaces being synchronised.
	syncing map[syncKey]*synchronisation
	random  *rand.Rand
	beats   int
	// gathered are ends that wait to be handed on together.
	gathered []suspect.End
	// tellsLeaving says that peers are about to be told of servers that leave.
	tellsLeaving bool
}

// New returns a Gossip.
func New(options Options) *Gossip {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	if options.Direct == nil {
		options.Direct = func(peerpb.Space) bool { return false }
	}
	bulks := make(map[peerpb.Space]chan struct{})
	spreaders := make(map[peerpb.Space]*spreader)
	tellers := make(map[peerpb.Space]*teller)
	for space := range options.Spaces {
		bulks[space] = make(chan struct{}, 1)
		spreaders[space] = &spreader{}
		tellers[space] = &teller{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Gossip{
		options:   options,
		done:      make(chan struct{}),
		work:      make(chan func(context.Context), pending),
		ctx:       ctx,
		cancel:    cancel,
		pulls:     newPulls(),
		encodings: newEncodings(),
		packed:    newPackedParts(),
		bulks:     bulks,
		spreaders: spreaders,
		tellers:   tellers,
		behind:    newBehind(),
		sent:      newLimiter(options.Link),
		received:  newLimiter(options.Link),
		quick:     rate.NewLimiter(quickRate, quickBurst),
		levels:    newLevelLimiter(),
		endLevels: rate.NewLimiter(endRate, endBurst),
		heard:     make(chan struct{}),
		stirred:   make(chan struct{}, 1),
		syncing:   make(map[syncKey]*synchronisation),
		random:    options.Random,
	}
}

// Done is closed when Run has returned.
func (g *Gossip) Done() <-chan struct{} {
	return g.done
}

// workers is how many calls beside heartbeats go on at once: a call to a host that
// is silent holds one for callFor, and news wait in line with it.
const workers = 16

// Run sends heartbeats until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	defer close(g.done)
	var all sync.WaitGroup
	for range workers {
		all.Go(func() { g.serve(ctx) })
	}
	all.Go(func() { g.beat(ctx) })
	all.Wait()
	g.pulls.stop(g.cancel)
}

func (g *Gossip) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-g.work:
			do(ctx)
		}
	}
}

func (g *Gossip) beat(ctx context.Context) {
	for {
		quick, ok := g.pause(ctx)
		if !ok {
			return
		}
		g.options.View.Tick(time.Now(), g.options.Listed)
		if target, ok := g.next(quick); ok {
			g.contact(ctx, target)
		}
	}
}

// jitter returns a random time, on average mean.
func (g *Gossip) jitter(mean time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return mean/2 + time.Duration(g.random.Int64N(int64(mean)))
}

// contact sends a heartbeat to a member, straight or else by others, and
// suspects it where neither is answered.
func (g *Gossip) contact(ctx context.Context, address netip.AddrPort) {
	m, ok := g.options.View.Of(address)
	if !ok {
		return
	}
	g.options.Scope.Counter("heartbeats").Inc(1)
	err := g.exchange(ctx, m.Peer)
	if err == nil || ctx.Err() != nil {
		return
	}
	g.options.Scope.Counter("heartbeats_lost").Inc(1)
	if m.State == fleet.StateGone || m.State == fleet.StateSuspect || g.probedByOthers(ctx, m) || ctx.Err() != nil {
		return
	}
	g.options.Log.WithError(err).WithField("peer", m.Address).Warn("a node does not answer")
	g.options.View.Suspect(time.Now(), m.Address)
}

func (g *Gossip) probedByOthers(ctx context.Context, m fleet.Member) bool {
	for _, helper := range g.pick(helpers, m.Address) {
		client := g.client(helper.Peer)
		ctx, cancel := context.WithTimeout(ctx, probeFor)
		reply, err := client.Probe(ctx, &peerpb.ProbeRequest{Peer: addressBytes(m.Peer)})
		cancel()
		if err == nil && reply.GetAnswered() {
			return true
		}
	}
	return false
}

func (g *Gossip) client(address netip.AddrPort) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address.String(), g.options.HTTP)
}

func (g *Gossip) news() fleet.News {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.options.View.News(time.Now(), g.random)
}

// exchange sends one heartbeat to the node at the peer address.
func (g *Gossip) exchange(ctx context.Context, address netip.AddrPort) error {
	members, leaving := newsMessages(g.news())
	out := &peerpb.ExchangeRequest{Members: members, Leaving: leaving, Summaries: g.options.Spaces.summaries()}
	in, err := g.heartbeat(ctx, address, out)
	if err != nil {
		return err
	}
	if err := g.takeNews(in.GetMembers(), in.GetLeaving()); err != nil {
		return err
	}
	g.noteDiffering(in.GetMembers()[0], in.GetSummaries())
	g.noteEnds(address, in.GetEnds())
	if err := g.level(ctx, address, in.GetView()); err != nil && ctx.Err() == nil {
		// The heartbeat was answered; the next one finds the same difference.
		g.options.Log.WithError(err).WithField("peer", address).Debug("views were not levelled")
	}
	return nil
}

func (g *Gossip) heartbeat(ctx context.Context, address netip.AddrPort, out *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatFor)
	defer cancel()
	return g.client(address).Exchange(ctx, out)
}

var errNotANode = errors.New("peer: a message without its sender")

// takeNews merges news. The first member is the sender, heard from itself.
func (g *Gossip) takeNews(in []*peerpb.Member, servers []*peerpb.LeavingServer) error {
	members, err := membersOf(in)
	if err != nil {
		return err
	}
	leaving, err := leavingOf(servers)
	if err != nil {
		return err
	}
	now := time.Now()
	heard := g.options.View.Heard(now, members[0])
	if g.options.View.Merge(now, members[1:]...) || heard {
		g.stir()
	}
	for _, s := range leaving {
		if !g.options.View.HeardLeaving(now, s) {
			continue
		}
		g.spreadLeaving()
		if g.options.Leaving != nil {
			g.options.Leaving(s.LeavingServer)
		}
	}
	return nil
}

// enqueue hands work to the workers, or drops it where too much waits: the
// next heartbeat finds the same difference again.
func (g *Gossip) enqueue(do func(ctx context.Context)) {
	select {
	case g.work <- do:
	default:
		g.options.Scope.Counter("work_dropped").Inc(1)
	}
}

// Announce sends a heartbeat to some peers at once, as when leaving.
// One that does not answer holds up none of the others.
func (g *Gossip) Announce(ctx context.Context, count int) {
	var all sync.WaitGroup
	for _, m := range g.pick(count, netip.AddrPort{}) {
		all.Go(func() { _ = g.exchange(ctx, m.Peer) })
	}
	all.Wait()
}

// Meet sends a heartbeat to a peer address that the view may not have yet, and
// reports whether it was answered.
func (g *Gossip) Meet(ctx context.Context, address netip.AddrPort) bool {
	return g.exchange(ctx, address) == nil
}
