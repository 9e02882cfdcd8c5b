// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/budget"
	"github.com/wingvale/wingvale/internal/choose"
	"github.com/wingvale/wingvale/internal/estimate"
	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/limit"
	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/queue"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/table"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/pipeline"
)

// Policy selects the algorithms of a node. The zero value is the default; the other values are
// baselines for comparison.
type Policy struct {
	Choose choose.Policy
	Queue  queue.Policy
	Limit  limit.Options
	// AdmitAll disables admission control.
	AdmitAll bool
}

// Options are the dependencies of a Node. Settings, Log, Scope, Dial and both listeners are
// required.
type Options struct {
	Settings settings.Settings
	Log      logrus.FieldLogger
	Scope    tally.Scope
	Dial     backend.Dial
	// CallerListener and PeerListener are closed by the node.
	CallerListener net.Listener
	PeerListener   net.Listener
	// Metrics serves the metrics; nil disables them.
	Metrics http.Handler
	Seed    uint64
	Policy  Policy
	// Table limits the request table.
	Table table.Options
	// BeforeTick is called before each readiness tick; tests use it to pause a node.
	BeforeTick func()
}

// Node is one entry host. Run must be called exactly once.
type Node struct {
	options  Options
	settings settings.Settings
	log      logrus.FieldLogger
	scope    tally.Scope

	configuration *published.Store[pipeline.Value]
	hosts         *published.Store[published.Host]
	view          *fleet.View
	elections     *peer.Elections
	gossip        *peer.Gossip
	publisher     *publisher.Client
	watchers      []*publisher.Watcher
	backends      *backend.Client
	peers         *http.Client
	forwards      *http.Client
	table         *table.Table
	pools         *pools
	estimates     *estimate.Table
	budget        *budget.Budget
	placer        *placer
	ready         *readiness
	runs          sync.WaitGroup
	runCtx        context.Context
	cancelRuns    context.CancelFunc
	leaving       atomic.Bool
	refusingNew   atomic.Bool
	running       atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	// lastCatchUp is when the last catch-up started.
	lastCatchUp time.Time
	// lastProbes is when a request was last admitted to refresh an estimate, by its key.
	lastProbes map[string]time.Time

	stop chan struct{}
	done chan struct{}
}

// New returns a node that is not yet running.
func New(o Options) *Node {
	now := time.Now()
	s := o.Settings
	random := rand.New(rand.NewPCG(o.Seed, uint64(s.Caller.Port())))
	runCtx, cancelRuns := context.WithCancel(context.Background())
	n := &Node{
		options:       o,
		settings:      s,
		log:           o.Log.WithField("node", s.Caller.String()),
		scope:         o.Scope,
		configuration: published.New(pipeline.Decode),
		hosts:         published.New(published.DecodeHost),
		publisher:     publisher.New(s.Platform, o.Dial),
		backends:      backend.New(o.Dial),
		peers:         newHTTPClient(o.Dial),
		forwards:      newHTTPClient(o.Dial),
		table:         table.New(s.Caller, o.Table),
		estimates:     estimate.New(),
		budget:        budget.New(),
		runCtx:        runCtx,
		cancelRuns:    cancelRuns,
		random:        random,
		lastProbes:    make(map[string]time.Time),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
	}
	n.view = fleet.New(fleet.Member{
		Address:     s.Caller,
		Peer:        s.Peer,
		Zone:        s.Zone,
		Incarnation: n.table.Incarnation(),
		Beat:        uint64(now.UnixMilli()),
	}, now, fleet.Options{})
	n.elections = peer.NewElections(n.view)
	n.gossip = peer.New(peer.Options{
		View:     n.view,
		Spaces:   peer.Spaces{peerpb.Space_SPACE_CONFIGURATION: n.configuration, peerpb.Space_SPACE_HOSTS: n.hosts},
		HTTP:     n.peers,
		Log:      n.log,
		Scope:    n.scope.SubScope("peer"),
		Random:   n.childRandom(),
		Listed:   n.isEntryHost,
		Accepted: n.onAcceptedByPeer,
	})
	n.watchers = []*publisher.Watcher{
		n.newWatcher(publisher.SpaceConfiguration, peerpb.Space_SPACE_CONFIGURATION, n.configuration),
		n.newWatcher(publisher.SpaceHosts, peerpb.Space_SPACE_HOSTS, n.hosts),
	}
	n.pools = newPools(n)
	n.placer = newPlacer(n)
	n.ready = newReadiness(n)
	return n
}

// forwardHeaderTimeout is how long another node may take to send response headers.
const forwardHeaderTimeout = time.Second

func newHTTPClient(dial backend.Dial) *http.Client {
	return &http.Client{
		Transport: wire.CheckedTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				return dial(ctx, network, address)
			},
			MaxIdleConnsPerHost:    8,
			IdleConnTimeout:        30 * time.Second,
			DisableCompression:     true,
			MaxResponseHeaderBytes: wire.MaxHeadBytes,
			// An issuer accepts a request at once. One that hangs must not block a request
			// that could run on another node.
			ResponseHeaderTimeout: forwardHeaderTimeout,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (n *Node) childRandom() *rand.Rand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
}

func (n *Node) newWatcher(space publisher.Space, id peerpb.Space, store publisher.Store) *publisher.Watcher {
	return publisher.NewWatcher(publisher.WatcherOptions{
		Source:    n.publisher,
		Space:     space,
		Store:     store,
		MustWatch: func() bool { return n.mustWatch(space) },
		Accepted: func(entries []published.Entry) {
			n.onAccepted(id, entries)
			n.gossip.Spread(id, entries)
		},
		Log:    n.log,
		Random: n.childRandom(),
	})
}

// Done returns a channel that is closed when Run has returned.
func (n *Node) Done() <-chan struct{} {
	return n.done
}

// Stop starts a graceful stop and returns at once; see Done for its end.
func (n *Node) Stop() {
	if n.leaving.CompareAndSwap(false, true) {
		close(n.stop)
	}
}

const serveHeaderTimeout = 5 * time.Second

// Run serves until ctx is cancelled, which aborts all requests, or until a graceful stop has
// finished.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peerServer := newServer(n.operatorHandler())
	callerServer := newServer(n.callerHandler())
	failed := make(chan error, 2)
	var servers sync.WaitGroup
	serve := func(s *http.Server, l net.Listener) {
		servers.Go(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	serve(peerServer, n.options.PeerListener)
	serve(callerServer, newBoundedListener(n.options.CallerListener, n.settings.MaxCallers))

	componentsCtx, stopComponents := context.WithCancel(ctx)
	defer stopComponents()
	var components sync.WaitGroup
	n.startComponents(componentsCtx, &components)

	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case err = <-failed:
	case <-n.stop:
		n.drain(ctx)
	}
	// The order matters: first no new callers, then no runs, then the components that runs
	// need, and last the connections to other nodes.
	closeServer(ctx, callerServer)
	n.cancelRuns()
	n.runs.Wait()
	stopComponents()
	components.Wait()
	closeServer(ctx, peerServer)
	servers.Wait()
	n.publisher.Close()
	n.backends.Close()
	n.peers.CloseIdleConnections()
	n.forwards.CloseIdleConnections()
	return err
}

func (n *Node) startComponents(ctx context.Context, components *sync.WaitGroup) {
	for _, w := range n.watchers {
		components.Go(func() { w.Run(ctx) })
	}
	components.Go(func() { n.gossip.Run(ctx) })
	components.Go(func() { n.ready.run(ctx) })
	components.Go(func() { n.pools.run(ctx) })
	components.Go(func() { n.placer.run(ctx) })
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: serveHeaderTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          nil,
	}
}

const closeTimeout = time.Second

func closeServer(ctx context.Context, s *http.Server) {
	if ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
	}
	_ = s.Close()
}

// isEntryHost reports whether the host list has an entry host at address.
func (n *Node) isEntryHost(address netip.AddrPort) bool {
	h, ok := n.hosts.Get(address.String())
	return ok && h.Role == published.RoleEntry
}

func (n *Node) onAcceptedByPeer(space peerpb.Space, entries []published.Entry) {
	n.onAccepted(space, entries)
}

// onAccepted applies newly accepted values.
func (n *Node) onAccepted(space peerpb.Space, entries []published.Entry) {
	for _, e := range entries {
		n.log.WithFields(logrus.Fields{"key": e.Key, "revision": e.Revision, "removed": e.Removed}).Debug("value accepted")
	}
	n.scope.Counter("values_accepted").Inc(int64(len(entries)))
	if space == peerpb.Space_SPACE_HOSTS {
		n.applyHosts()
	}
}

// applyHosts updates the view and the pools from the host list.
func (n *Node) applyHosts() {
	var members []fleet.Member
	for _, h := range n.hosts.Values() {
		if h.Role == published.RoleEntry {
			members = append(members, fleet.Member{Address: h.Address, Peer: h.Peer, Zone: h.Zone})
		}
	}
	n.view.MergeHostList(time.Now(), members)
	n.pools.refresh()
}

// Leaving reports whether a graceful stop has begun.
func (n *Node) Leaving() bool {
	return n.leaving.Load()
}
