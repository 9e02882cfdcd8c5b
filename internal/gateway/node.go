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
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/stagepool"
	"github.com/wingvale/wingvale/internal/trial"
	"github.com/wingvale/wingvale/request"
)

// Options are a Node's dependencies; all are needed.
type Options struct {
	Settings settings.Gateway
	Log      logrus.FieldLogger
	Scope    tally.Scope
	Dial     exchange.Dial
	// Source is where configuration and backend servers are read.
	Source publisher.Source
	// ConfigurationKey is the key that has the whole configuration.
	ConfigurationKey string
	// DecodeDirective and DecodeServer depend on nothing but their arguments, so
	// that all nodes accept alike.
	DecodeDirective func(key string, data []byte) (Directive, error)
	DecodeServer    func(key string, data []byte) (relay.Server, error)
	Dialect         relay.Dialect
	// StageDriver returns what speaks to stage servers over the connections of
	// pool, and notes what they say of themselves.
	StageDriver func(pool *exchange.Pool, notices *notice.Book) stagepool.Driver
	Seed        uint64
	// Boot is the clock that goes on while the host is suspended, which the steady one
	// doesn't.
	Boot func() time.Duration
}

// Node is one host. Run must be called once.
type Node struct {
	options  Options
	settings settings.Gateway
	log      logrus.FieldLogger

	directives *published.Store[Directive]
	listed     *published.Store[*relay.Server]
	view       *fleet.View
	gossip     *peer.Gossip
	stores     map[publisher.Space]watchedStore
	watchers   []*publisher.Watcher
	peers      *http.Client
	backends   *exchange.Pool
	stages     *stagepool.Group
	engines    *enginepool.Group
	notices    *notice.Book
	suspects   *trial.Group
	core       *relay.Core
	members    *members
	hosts      *hosts
	evacuation evacuation
	// kinds is what the configuration in force says of the services; only refresh
	// touches it.
	kinds   kinds
	confirm *confirmer
	reading *reading
	random  *rand.Rand

	refreshing sync.Mutex

	ctx context.Context
	end context.CancelFunc
	// meeting has the tries to reach seeds; only begin adds to it.
	meeting sync.WaitGroup
	// settled is closed when the view counts as whole.
	settled  chan struct{}
	ready    atomic.Bool
	leaving  atomic.Bool
	inFlight atomic.Int64
	// lastTick is when the process was last seen to run, by the clock that goes on while
	// the host is suspended.
	lastTick atomic.Int64
	// toldHosts is how many hosts were known when that was last logged; only the
	// upkeep uses it.
	toldHosts int
	start     time.Time
	done      chan struct{}
}

// New returns a node that has not started.
func New(o Options) *Node {
	now := time.Now()
	s := o.Settings
	random := rand.New(rand.NewPCG(o.Seed, uint64(s.Callers.Port())))
	ctx, end := context.WithCancel(context.Background())
	n := &Node{
		options:    o,
		settings:   s,
		log:        o.Log,
		directives: published.New(o.DecodeDirective),
		listed:     published.New(sharedServer(o.DecodeServer)),
		peers:      newPeerClient(o.Dial, o.Scope.SubScope("peer")),
		backends:   exchange.NewPool(o.Dial),
		random:     random,
		ctx:        ctx,
		end:        end,
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
	n.hosts = newHosts(n)
	owners := owner.NewFinder(s.Callers, n.live)
	n.suspects = n.newSuspects()
	n.notices = n.newNotices()
	n.gossip = n.newGossip()
	n.stages = stagepool.New(ctx, stagepool.Options{
		Self:   s.Callers,
		Owners: owners,
		Driver: o.StageDriver(n.backends, n.notices),
		Rest:   n.notices.Rest,
		HTTP:   n.peers,
		Log:    n.log,
		Scope:  o.Scope.SubScope("stages"),
	})
	n.engines = enginepool.New(ctx, enginepool.Options{Owners: owners, HTTP: n.peers, Log: n.log, Scope: o.Scope.SubScope("engines")})
	n.confirm = newConfirmer(n)
	n.core = n.newCore()
	n.members = newMembers()
	n.reading = newReading()
	n.stores = map[publisher.Space]watchedStore{publisher.SpaceConfiguration: n.directives, publisher.SpaceHosts: n.listed}
	n.watchers = []*publisher.Watcher{
		n.newWatcher(publisher.SpaceConfiguration, n.directives),
		n.newWatcher(publisher.SpaceHosts, n.listed),
	}
	return n
}

// sharedServer decodes servers that are shared from then on.
func sharedServer(decode func(key string, data []byte) (relay.Server, error)) func(key string, data []byte) (*relay.Server, error) {
	return func(key string, data []byte) (*relay.Server, error) {
		s, err := decode(key, data)
		if err != nil {
			return nil, err
		}
		return &s, nil
	}
}

// bytesPerMegabit are the bytes a second of a link of 1 Mbit/s.
const bytesPerMegabit = 1e6 / 8

const (
	// capacityLink and capacityCores are what an owner of a large pool uses: it
	// sends some 0.6 MB a second and takes a tenth of a core.
	capacityLink  = 10.0
	capacityCores = 0.1
)

// capacityOf is how many large pools a host could own; 0 where its settings do
// not tell.
func capacityOf(s settings.Gateway) int {
	if s.Link == 0 || s.Cores == 0 {
		return 0
	}
	pools := min(s.Link/capacityLink, s.Cores/capacityCores)
	return int(min(max(pools, 1), fleet.CapacityMost))
}

func child(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// peerIdle is how long connections from other hosts are kept.
const peerIdle = 60 * time.Second

// watchersAll is up to how many nodes all watch; above, watchersPerZone do in
// each availability zone, and the rest hear from peers.
const (
	watchersAll     = 12
	watchersPerZone = 3
	// backoffMost bounds the pause between tries to reach the publisher, so
	// that its return is noticed in time.
	backoffMost = 500 * time.Millisecond
	// hadMost is how long a host that starts waits for what its peers have, once the
	// publisher answers one of them, before it reads all itself.
	hadMost = 3 * time.Second
	// watchPause gathers changes that come in a row, as when many servers
	// start; it is small beside the 2 s in which a change must be in force.
	watchPause = 200 * time.Millisecond
)

// spaces has what the peers call the publisher's spaces.
var spaces = map[publisher.Space]peerpb.Space{
	publisher.SpaceConfiguration: peerpb.Space_SPACE_CONFIGURATION,
	publisher.SpaceHosts:         peerpb.Space_SPACE_HOSTS,
}

// took brings what came from the publisher into force and passes it on.
func (n *Node) took(space publisher.Space, entries []published.Entry) {
	if len(entries) == 0 {
		return
	}
	n.refresh()
	n.gossip.Spread(spaces[space], entries)
}

// answers notes whether the publisher answers. Others are told at once: they
// leave reading to those that it answers.
func (n *Node) answers(space publisher.Space, answers bool) {
	if !n.view.SetReads(n.reading.set(space, answers)) {
		return
	}
	n.log.WithField("reads", n.view.Self().Reads).Info("peers are told whether the platform answers")
	n.gossip.Announce(n.ctx, announceTo)
}

func (n *Node) newWatcher(space publisher.Space, store watchedStore) *publisher.Watcher {
	return publisher.NewWatcher(publisher.WatcherOptions{
		Source:   n.options.Source,
		Space:    space,
		Store:    store,
		Must:     func() bool { return n.mustWatch(space) },
		Had:      func(ctx context.Context, yield func()) uint64 { return n.had(ctx, space, yield) },
		Through:  func() uint64 { return store.Summary().Through },
		Answers:  func(answers bool) { n.answers(space, answers) },
		Accepted: func(entries []published.Entry) { n.watched(space, entries) },
		Brought: func(after, through uint64, entries []published.Entry) {
			n.tell(space, peer.Changes{After: after, Through: through, Entries: entries})
		},
		Lost:        func() { n.members.lost(time.Now()) },
		Regained:    func() { n.members.regained(time.Now()) },
		Log:         n.log,
		Random:      child(n.random),
		MostBackoff: backoffMost,
		Pause:       watchPause,
	})
}

// watched brings what a watch brought into force, and passes it on unless hosts that watch
// tell all others.
func (n *Node) watched(space publisher.Space, entries []published.Entry) {
	if n.direct(spaces[space]) {
		n.refresh()
		return
	}
	n.took(space, entries)
}

// tell hands what a watch brought to the hosts that this one tells.
func (n *Node) tell(space publisher.Space, changes peer.Changes) {
	if n.direct(spaces[space]) {
		n.gossip.TellDirect(spaces[space], changes, peer.ElectedEverywhere(n.view, string(space), watchersPerZone))
	}
}

// direct reports whether the hosts that watch a space tell all others: in a small fleet all
// watch, and configurations are too large for that.
func (n *Node) direct(space peerpb.Space) bool {
	return space == peerpb.Space_SPACE_HOSTS && n.isLarge()
}

// isLarge reports whether only some of the hosts watch.
func (n *Node) isLarge() bool {
	return n.live().Count() > watchersAll
}

// watchedStore is a store that a watcher keeps up to date.
type watchedStore interface {
	publisher.Store
	Summary() published.Summary
}

// had waits until peers have told all of a space, where others watch it: see
// publisher.WatcherOptions. While the publisher answers none of them there is nothing to be
// told, and nothing to be read either.
func (n *Node) had(ctx context.Context, space publisher.Space, yield func()) uint64 {
	select {
	case <-ctx.Done():
		return 0
	case <-n.settled:
	}
	store := n.stores[space]
	var told time.Time
	for ctx.Err() == nil && !n.watches(space) {
		yield()
		if through := store.Summary().Through; through > 0 {
			return through
		}
		if told.IsZero() && n.hosts.now().reading > 0 {
			told = time.Now()
		}
		if !told.IsZero() && time.Since(told) >= hadMost {
			return 0
		}
		sleep(ctx, beginEvery)
	}
	return 0
}

// watches reports whether the node is one of those that watch a space, as far as the
// view tells.
func (n *Node) watches(space publisher.Space) bool {
	return !n.isLarge() || peer.Elected(n.view, string(space), watchersPerZone)
}

// mustWatch reports whether the node watches a space. One that does not know the
// others yet waits until it does: each of 295 that start together would take itself
// for one of few.
func (n *Node) mustWatch(space publisher.Space) bool {
	if !n.reading.of(space) {
		return true
	}
	return n.isSettled() && n.watches(space)
}

// Done is closed when Run has returned.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Core returns what serves requests.
func (n *Node) Core() *relay.Core {
	return n.core
}

// Run serves the other nodes on l and keeps the node's knowledge up to date
// until ctx ends.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	defer close(n.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mux := chi.NewRouter()
	path, handler := n.gossip.Handler()
	mux.Mount(path, handler)
	path, handler = n.stages.Handler()
	mux.Mount(path, n.counted(handler))
	path, handler = n.engines.Handler()
	mux.Mount(path, handler)
	counted := traffic{scope: n.options.Scope.SubScope("peer")}.handler(mux)
	server := &http.Server{Handler: counted, ReadHeaderTimeout: headerTimeout, IdleTimeout: peerIdle}
	var parts sync.WaitGroup
	for _, w := range n.watchers {
		parts.Go(func() { w.Run(ctx) })
	}
	parts.Go(func() { n.gossip.Run(ctx) })
	parts.Go(func() { n.upkeep(ctx) })
	parts.Go(func() { n.begin(ctx) })
	parts.Go(func() { n.settle(ctx) })
	context.AfterFunc(ctx, func() { _ = server.Close() })
	err := server.Serve(l)
	cancel()
	n.end()
	parts.Wait()
	n.backends.Close()
	n.peers.CloseIdleConnections()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const headerTimeout = 5 * time.Second
