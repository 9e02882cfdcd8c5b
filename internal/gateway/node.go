// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/enginepool"
	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/handover"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/origin"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/ratelimit"
	"github.com/wingvale/wingvale/internal/reach"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/stagepool"
	"github.com/wingvale/wingvale/internal/trial"
	"github.com/wingvale/wingvale/internal/versionlog"
	"github.com/wingvale/wingvale/request"
)

// Options are the dependencies of a Node. All are required unless they state otherwise.
type Options struct {
	Settings settings.Gateway
	Log      logrus.FieldLogger
	Scope    tally.Scope
	Dial     exchange.Dial
	// Source is where the configuration and the backend servers are read.
	Source publisher.Source
	// ConfigurationKey is the key that holds the whole configuration.
	ConfigurationKey string
	// DecodeDirective and DecodeServer depend on nothing but their arguments, so that all
	// nodes accept the same values.
	DecodeDirective func(key string, data []byte) (Directive, error)
	DecodeServer    func(key string, data []byte) (relay.Server, error)
	Dialect         relay.Dialect
	// StageDriver returns the driver that calls stage servers over the connections of pool and
	// records the notices in their answers.
	StageDriver func(pool *exchange.Pool, notices *notice.Registry) stagepool.Driver
	Seed        uint64
	// SinceBoot is a clock that, unlike the monotonic clock, also advances while the host is
	// suspended.
	SinceBoot func() time.Duration
	// PeerConnState is the ConnState hook of the server for other hosts. It may be nil.
	PeerConnState func(net.Conn, http.ConnState)
}

// Node is one host. Run must be called exactly once.
type Node struct {
	options  Options
	settings settings.Gateway
	log      logrus.FieldLogger

	directives *published.Store[Directive]
	listed     *published.Store[*relay.Server]
	view       *fleet.View
	gossip     *peer.Gossip
	stores     map[publisher.Space]publisher.Store
	watchers   []*publisher.Watcher
	peers      *http.Client
	backends   *exchange.Pool
	stages     *stagepool.Group
	engines    *enginepool.Group
	notices    *notice.Registry
	limits     *ratelimit.Group
	suspects   *trial.Group
	origins    *origin.Group
	versions   *versionlog.Log
	// listPoll asks the publisher for changes of the list of servers, and listProof proves that the list is
	// current.
	listPoll    *freshCheck[bool]
	listProof   *freshCheck[listProof]
	core        *relay.Core
	serverTable *serverTable
	hostCache   *hostCache
	evacuation  evacuation
	links       *linkMonitor
	// listedEra and directivesEra are those that refresh has applied; only refresh uses them.
	listedEra, directivesEra knownEra
	// serviceSpecs are those of the configuration in force; only refresh uses them.
	serviceSpecs serviceSpecs
	confirmer    *configConfirmer
	readStatus   *readStatus
	random       *rand.Rand

	refreshing sync.Mutex

	ctx       context.Context
	cancelCtx context.CancelFunc
	// seedContacts tracks the attempts to contact seeds; only bringUp adds to it.
	seedContacts sync.WaitGroup
	// settled is closed when the view counts as complete.
	settled  chan struct{}
	ready    atomic.Bool
	leaving  atomic.Bool
	inFlight atomic.Int64
	// lastTick is when the process was last seen running, by the clock that also advances
	// while the host is suspended.
	lastTick atomic.Int64
	// informedAt is when the host last heard of changes, as far as it knows, and mostHosts the largest number
	// of live hosts that it has known; only maintain uses them.
	informedAt time.Time
	mostHosts  int
	// loggedHosts is the number of known hosts that was last logged; only maintain uses it.
	loggedHosts int
	start       time.Time
	done        chan struct{}
}

// New returns a node that is not yet running.
func New(o Options) *Node {
	now := time.Now()
	s := o.Settings
	random := rand.New(rand.NewPCG(o.Seed, uint64(s.Callers.Port())))
	ctx, cancelCtx := context.WithCancel(context.Background())
	detector := reach.New(reach.DefaultPolicy(), rand.New(rand.NewPCG(o.Seed, uint64(s.Peer.Port()))))
	n := &Node{
		options:    o,
		settings:   s,
		log:        o.Log,
		directives: published.New(o.DecodeDirective),
		listed:     published.New(sharedServer(o.DecodeServer)),
		peers:      newPeerClient(o.Dial, o.Scope.SubScope("peer")),
		backends:   exchange.NewPool(o.Dial, linkObserver{detector}),
		random:     random,
		ctx:        ctx,
		cancelCtx:  cancelCtx,
		start:      now,
		settled:    make(chan struct{}),
		done:       make(chan struct{}),
	}
	n.view = fleet.New(fleet.Member{
		Address:     s.Callers,
		Peer:        s.Peer,
		Zone:        s.Zone,
		Incarnation: request.Incarnation(random.Uint64()),
		Beat:        uint64(now.Add(s.ClockOffset).UnixMilli()),
		Capacity:    capacityOf(s),
	}, now, fleet.Options{})
	n.hostCache = newHostCache(n)
	n.links = newLinkMonitor(n, detector)
	owners := owner.NewFinder(s.Callers, n.live)
	n.suspects = n.newSuspects()
	n.origins = n.newOrigins()
	n.versions = n.newVersions()
	n.listPoll = newFreshCheck(ctx, n.pollList)
	n.listProof = newFreshCheck(ctx, n.proveList)
	n.limits = n.newLimits(ctx.Done())
	n.notices = n.newNotices()
	n.gossip = n.newGossip()
	n.stages = stagepool.New(ctx, stagepool.Options{
		Self:   s.Callers,
		Owners: owners,
		Driver: o.StageDriver(n.backends, n.notices),
		Rest:   func(instance string) time.Duration { return max(n.notices.Rest(instance), n.limits.Deferral(instance)) },
		Permit: n.limits.AcquireRate,
		HTTP:   n.peers,
		Log:    n.log,
		Scope:  o.Scope.SubScope("stages"),
	})
	n.engines = enginepool.New(ctx, enginepool.Options{Owners: owners, HTTP: n.peers, Log: n.log, Scope: o.Scope.SubScope("engines")})
	n.confirmer = newConfirmer(n)
	n.core = n.newCore()
	n.serverTable = newServerTable()
	n.readStatus = newReadStatus()
	n.stores = map[publisher.Space]publisher.Store{publisher.SpaceConfiguration: n.directives, publisher.SpaceHosts: n.listed}
	n.watchers = []*publisher.Watcher{
		n.newWatcher(publisher.SpaceConfiguration, n.directives),
		n.newWatcher(publisher.SpaceHosts, n.listed),
	}
	return n
}

// sharedServer wraps decode to return servers that are shared by pointer.
func sharedServer(decode func(key string, data []byte) (relay.Server, error)) func(key string, data []byte) (*relay.Server, error) {
	return func(key string, data []byte) (*relay.Server, error) {
		s, err := decode(key, data)
		if err != nil {
			return nil, err
		}
		return &s, nil
	}
}

// bytesPerMegabit is the bytes per second of a link of 1 Mbit/s.
const bytesPerMegabit = 1e6 / 8

const (
	// poolLinkMbps and poolCores are the resources that owning a large pool takes: it sends
	// some 0.6 MB a second and uses a tenth of a core.
	poolLinkMbps = 10.0
	poolCores    = 0.1
)

// capacityOf returns how many large pools a host could own; 0 if its settings do not say.
func capacityOf(s settings.Gateway) int {
	if s.LinkMbps == 0 || s.Cores == 0 {
		return 0
	}
	pools := min(s.LinkMbps/poolLinkMbps, s.Cores/poolCores)
	return int(min(max(pools, 1), fleet.MaxCapacity))
}

func childRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// peerIdleTimeout is how long idle connections from other hosts are kept open.
const peerIdleTimeout = 60 * time.Second

// Done returns a channel that is closed when Run has returned.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Core returns the relay core that serves requests.
func (n *Node) Core() *relay.Core {
	return n.core
}

// Run serves the other nodes on l and keeps the node's state up to date until ctx is
// cancelled.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	defer close(n.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mux := chi.NewRouter()
	path, handler := n.gossip.Handler()
	mux.Mount(path, handler)
	path, handler = n.stages.Handler()
	mux.Mount(path, n.countInFlight(handler))
	path, handler = n.engines.Handler()
	mux.Mount(path, handler)
	mux.Mount(handover.Path, n.countInFlight(n.handoverHandler()))
	counted := traffic{scope: n.options.Scope.SubScope("peer")}.handler(mux)
	server := &http.Server{Handler: counted, ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdleTimeout, ConnState: n.options.PeerConnState}
	var tasks sync.WaitGroup
	for _, w := range n.watchers {
		tasks.Go(func() { w.Run(ctx) })
	}
	tasks.Go(func() { n.gossip.Run(ctx) })
	tasks.Go(func() { n.maintain(ctx) })
	tasks.Go(func() { n.links.run(ctx) })
	tasks.Go(func() { n.bringUp(ctx) })
	tasks.Go(func() { n.origins.Run(ctx) })
	tasks.Go(func() { n.settle(ctx) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	err := server.Serve(l)
	cancel()
	n.cancelCtx()
	tasks.Wait()
	n.backends.Close()
	n.peers.CloseIdleConnections()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const headerTimeout = 5 * time.Second
