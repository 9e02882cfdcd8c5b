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
	"github.com/wingvale/wingvale/internal/versionlog"
)

// Options configures a Gossip. All fields without a stated default are required.
type Options struct {
	View   *fleet.View
	Spaces Spaces
	HTTP   *http.Client
	Log    logrus.FieldLogger
	Scope  tally.Scope
	Random *rand.Rand
	// Listed reports whether the host list contains an entry host with the address.
	Listed func(netip.AddrPort) bool
	// Accepted is called with entries from a peer that came into force.
	Accepted func(space peerpb.Space, entries []published.Entry)
	// Leaving is called for each backend server of which a peer newly reported that it is
	// leaving. It may be nil.
	Leaving func(fleet.LeavingServer)
	// Link is the bandwidth of the host's link in bytes a second; 0 means unknown.
	Link float64
	// Confirm checks the publisher for entries newer than the node's, and reports whether the
	// check succeeded. It is nil if the node does not read the publisher.
	Confirm func(ctx context.Context, space peerpb.Space) bool
	// Suspects records backend servers that crashed while they served requests. It is nil if
	// the node does not share them.
	Suspects Suspects
	// Origins records which software versions began streams. It is nil if this is not needed.
	Origins Origins
	// Versions returns which software versions backend servers have had. It is nil if the node does not
	// know.
	Versions func() versionlog.Report
	// Limits holds the rate limits that backend servers state. It is nil if the node does not
	// share them.
	Limits Limits
	// Direct reports whether hosts that read changes of a space push them to all others, so
	// that each host relays them only once. Nil means false for every space.
	Direct func(space peerpb.Space) bool
	// Contact returns what the node says of its links to backend servers. Nil means nothing.
	Contact func() fleet.Contact
	// Interval is the mean time between heartbeats; 0 means DefaultInterval.
	Interval time.Duration
}

const (
	// DefaultInterval is the default mean time between heartbeats.
	DefaultInterval  = time.Second
	heartbeatTimeout = 500 * time.Millisecond
	probeTimeout     = time.Second
	// confirmTimeout bounds a check of the publisher by another host.
	confirmTimeout = 400 * time.Millisecond
	// callTimeout bounds one call for values, which transfers some 32 KB at most: 26 ms on a
	// link of 10 Mbit/s. syncTimeout bounds a whole synchronisation.
	callTimeout = time.Second
	syncTimeout = 5 * time.Second
	// probeHelpers is how many other nodes are asked to probe a silent member.
	probeHelpers = 2
	// Fanout is how many peers receive a new entry at once.
	Fanout = 3
	// goneProbeEvery is the number of heartbeats of which one goes to a member considered gone,
	// so that both sides of a network partition find each other again.
	goneProbeEvery = 4
	// maxNeighbours is how many members a host contacts in rotation. A rotation is shorter than
	// the time for which idle connections are kept.
	maxNeighbours = 32
	// maxQueuedWork bounds the queue of synchronisations and pushes.
	maxQueuedWork = 64
)

// Gossip runs the peer protocol of one node. Run must be called once.
type Gossip struct {
	options   Options
	done      chan struct{}
	workQueue chan func(ctx context.Context)
	// ctx is cancelled when Run ends; pulls run until then.
	ctx       context.Context
	cancel    context.CancelFunc
	pulls     *pulls
	encodings *encodingCache
	packed    *packedCache
	// bulkSlots has a channel per space that holds a value while buckets are fetched whole.
	bulkSlots    map[peerpb.Space]chan struct{}
	spreadQueues map[peerpb.Space]*spreadQueue
	changeQueues map[peerpb.Space]*changeQueue
	lags         *lagTracker
	// sendLimiter and receiveLimiter pace the transfer of entries.
	sendLimiter    *rate.Limiter
	receiveLimiter *rate.Limiter
	// quickLimiter paces quick heartbeats, levelLimiter the members sent in Level replies.
	quickLimiter *rate.Limiter
	levelLimiter *rate.Limiter
	// crashesLimiter paces the crashes sent in full synchronisations.
	crashesLimiter *rate.Limiter
	// crashesKnown is closed once this node knows the crashes of some other node.
	crashesKnown     chan struct{}
	crashesKnownOnce sync.Once
	// viewChanged holds a value if the view changed or differs from that of a peer.
	viewChanged chan struct{}

	mu sync.Mutex
	// rotation has the members still to contact before all are contacted anew.
	rotation []netip.AddrPort
	// syncing has the running synchronisations by peer and space.
	syncing    map[syncKey]*synchronisation
	random     *rand.Rand
	heartbeats int
	// pendingCrashes are crashes that wait to be spread together.
	pendingCrashes []suspect.Crash
	// leavingScheduled reports whether a heartbeat with leaving servers is scheduled.
	leavingScheduled bool
	// limitsScheduled reports whether heartbeats with rate limits are scheduled, and
	// limitsSpreadAt when they were last sent.
	limitsScheduled bool
	limitsSpreadAt  time.Time
}

// New returns a Gossip.
func New(options Options) *Gossip {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	if options.Direct == nil {
		options.Direct = func(peerpb.Space) bool { return false }
	}
	bulkSlots := make(map[peerpb.Space]chan struct{})
	spreadQueues := make(map[peerpb.Space]*spreadQueue)
	changeQueues := make(map[peerpb.Space]*changeQueue)
	for space := range options.Spaces {
		bulkSlots[space] = make(chan struct{}, 1)
		spreadQueues[space] = &spreadQueue{}
		changeQueues[space] = &changeQueue{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Gossip{
		options:        options,
		done:           make(chan struct{}),
		workQueue:      make(chan func(context.Context), maxQueuedWork),
		ctx:            ctx,
		cancel:         cancel,
		pulls:          newPulls(),
		encodings:      newEncodingCache(),
		packed:         newPackedCache(),
		bulkSlots:      bulkSlots,
		spreadQueues:   spreadQueues,
		changeQueues:   changeQueues,
		lags:           newLagTracker(),
		sendLimiter:    newLimiter(options.Link),
		receiveLimiter: newLimiter(options.Link),
		quickLimiter:   rate.NewLimiter(quickRate, quickBurst),
		levelLimiter:   newLevelLimiter(),
		crashesLimiter: rate.NewLimiter(crashRate, crashBurst),
		crashesKnown:   make(chan struct{}),
		viewChanged:    make(chan struct{}, 1),
		syncing:        make(map[syncKey]*synchronisation),
		random:         options.Random,
	}
}

// Done returns a channel that is closed when Run has returned.
func (g *Gossip) Done() <-chan struct{} {
	return g.done
}

// workers is the largest number of concurrent calls other than heartbeats. A call to a silent host
// occupies a worker for callTimeout, and queued work waits for it.
const workers = 16

// Run sends heartbeats until ctx is cancelled.
func (g *Gossip) Run(ctx context.Context) {
	defer close(g.done)
	var all sync.WaitGroup
	all.Go(func() { g.runQueue(ctx) })
	all.Go(func() { g.heartbeatLoop(ctx) })
	all.Wait()
	g.pulls.stop(g.cancel)
}

// runQueue starts a worker for each queued call, and waits for their ends once ctx is cancelled.
func (g *Gossip) runQueue(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	busy := make(chan struct{}, workers)
	for {
		select {
		case <-ctx.Done():
			return
		case busy <- struct{}{}:
		}
		select {
		case <-ctx.Done():
			return
		case do := <-g.workQueue:
			running.Go(func() {
				defer func() { <-busy }()
				do(ctx)
			})
		}
	}
}

func (g *Gossip) heartbeatLoop(ctx context.Context) {
	for {
		quick, ok := g.waitForHeartbeat(ctx)
		if !ok {
			return
		}
		g.options.View.Tick(time.Now(), g.options.Listed)
		if target, ok := g.nextTarget(quick); ok {
			g.checkMember(ctx, target)
		}
	}
}

// jitter returns a random duration with the given mean.
func (g *Gossip) jitter(mean time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return mean/2 + time.Duration(g.random.Int64N(int64(mean)))
}

// checkMember sends a heartbeat to a member, and probes it indirectly if that fails. It marks the
// member as suspect if neither is answered.
func (g *Gossip) checkMember(ctx context.Context, address netip.AddrPort) {
	m, ok := g.options.View.Lookup(address)
	if !ok {
		return
	}
	g.options.Scope.Counter("heartbeats").Inc(1)
	err := g.exchange(ctx, m.Peer)
	if err == nil || ctx.Err() != nil {
		return
	}
	g.options.Scope.Counter("heartbeats_lost").Inc(1)
	if m.State == fleet.StateGone || m.State == fleet.StateSuspect || g.probeIndirectly(ctx, m) || ctx.Err() != nil {
		return
	}
	g.options.Log.WithError(err).WithField("peer", m.Address).Warn("peer did not answer heartbeat or indirect probes")
	g.options.View.Suspect(time.Now(), m.Address)
}

func (g *Gossip) probeIndirectly(ctx context.Context, m fleet.Member) bool {
	for _, helper := range g.pickLive(probeHelpers, m.Address) {
		client := g.client(helper.Peer)
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		reply, err := client.Probe(ctx, &peerpb.ProbeRequest{Peer: encodeAddress(m.Peer)})
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
	news := g.options.View.News(time.Now(), g.random)
	if g.options.Contact != nil {
		news.Members[0].Contact = g.options.Contact()
	}
	return news
}

// heartbeat returns the next heartbeat of this node.
func (g *Gossip) heartbeat() *peerpb.ExchangeRequest {
	members, leaving := newsMessages(g.news())
	return &peerpb.ExchangeRequest{Members: members, Leaving: leaving, Summaries: g.options.Spaces.summaries(), Limits: g.limitNews()}
}

// exchange sends one heartbeat to the node at the peer address and merges the reply.
func (g *Gossip) exchange(ctx context.Context, address netip.AddrPort) error {
	in, err := g.sendHeartbeat(ctx, address, g.heartbeat())
	if err != nil {
		return err
	}
	if err := g.mergeNews(in.GetMembers(), in.GetLeaving()); err != nil {
		return err
	}
	g.mergeLimits(in.GetLimits())
	g.reconcile(in.GetMembers()[0], in.GetSummaries())
	g.reconcileCrashes(address, in.GetEnds())
	if err := g.level(ctx, address, in.GetView()); err != nil && ctx.Err() == nil {
		// The heartbeat succeeded; the next one detects the same difference.
		g.options.Log.WithError(err).WithField("peer", address).Debug("cannot level views with peer")
	}
	return nil
}

func (g *Gossip) sendHeartbeat(ctx context.Context, address netip.AddrPort, out *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return g.client(address).Exchange(ctx, out)
}

var errNoSender = errors.New("peer: message without its sender")

// mergeNews merges the news of a heartbeat. The first member is the sender itself.
func (g *Gossip) mergeNews(in []*peerpb.Member, servers []*peerpb.LeavingServer) error {
	members, err := decodeHeartbeatMembers(in)
	if err != nil {
		return err
	}
	leaving, err := decodeLeaving(servers)
	if err != nil {
		return err
	}
	now := time.Now()
	senderIsNew := g.options.View.MergeFromSender(now, members[0])
	if g.options.View.Merge(now, members[1:]...) || senderIsNew {
		g.notifyViewChanged()
	}
	for _, s := range leaving {
		if !g.options.View.MergeLeaving(now, s) {
			continue
		}
		g.spreadLeaving()
		if g.options.Leaving != nil {
			g.options.Leaving(s.LeavingServer)
		}
	}
	return nil
}

// enqueue queues work for the workers, or drops it if the queue is full: the next heartbeat
// detects the same difference again.
func (g *Gossip) enqueue(do func(ctx context.Context)) {
	select {
	case g.workQueue <- do:
	default:
		g.options.Scope.Counter("work_dropped").Inc(1)
	}
}

// Announce sends a heartbeat to up to count random peers at once, for example when the node is
// leaving. A peer that does not answer does not delay the others.
func (g *Gossip) Announce(ctx context.Context, count int) {
	g.exchangeWith(ctx, g.pickLive(count, netip.AddrPort{}))
}

func (g *Gossip) exchangeWith(ctx context.Context, members []fleet.Member) {
	var all sync.WaitGroup
	for _, m := range members {
		all.Go(func() { _ = g.exchange(ctx, m.Peer) })
	}
	all.Wait()
}

// ContactSeed sends a heartbeat to a peer address that may not be in the view yet, and
// reports whether it was answered.
func (g *Gossip) ContactSeed(ctx context.Context, address netip.AddrPort) bool {
	return g.exchange(ctx, address) == nil
}
