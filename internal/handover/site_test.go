// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/enginepool"
	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/handover"
	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/peerhttp"
	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/internal/ratelimit"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/trial"
)

const (
	serverPort  = 6000
	peerPort    = 8000
	maxAttempts = 2
)

// plainDialect passes headers on as they are.
type plainDialect struct{}

func (plainDialect) Header(r *relay.Request, send relay.ForwardInfo) http.Header {
	h := r.Header.Clone()
	h.Set("Id", r.ID)
	if send.LastEvent != "" {
		h.Set("Last-Event", send.LastEvent)
	}
	return h
}

func (plainDialect) Matches(string, int, http.Header) bool { return true }

func (plainDialect) StatusTarget() string { return "" }

func (plainDialect) Head(string, int, http.Header) relay.Head { return relay.Head{Signed: true} }

// host is a host with a core that hands requests over to the other hosts.
type host struct {
	address  netip.AddrPort
	core     *relay.Core
	server   *http.Server
	isolated atomic.Bool
	// targets are the hosts that it believes to be in touch.
	targets []handover.Target
	scope   tally.TestScope
}

// site is hosts with one backend server.
type site struct {
	network *memnet.Network
	hosts   []*host
	backend netip.Addr
	// runs counts the requests that the backend server received, active those that it works on.
	runs   atomic.Int32
	active atomic.Int32
	// answer answers a request at the backend server.
	answer http.HandlerFunc
	ids    chan string
}

func hostAddress(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}) }

// retryWindow is after which time hosts may use all of the reserve.
const retryWindow = time.Hour

// withSite runs a test on a site of hosts that believe all others to be in touch, with retries
// allowed up to the reserve.
func withSite(t *testing.T, hosts int, reserve float64, do func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{
			network: memnet.New(func(_, _ netip.Addr) time.Duration { return time.Millisecond }),
			backend: netip.MustParseAddr("10.2.0.1"), ids: make(chan string, 100),
		}
		s.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }
		l, err := s.network.Listen(netip.AddrPortFrom(s.backend, serverPort))
		assert.NilError(t, err)
		backend := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.runs.Add(1)
			s.active.Add(1)
			defer s.active.Add(-1)
			// The server notices a closed connection only after the body.
			_, _ = io.Copy(io.Discard, r.Body)
			s.ids <- r.Header.Get("Id")
			s.answer(w, r)
		})}
		go func() { _ = backend.Serve(l) }()
		ctx, cancel := context.WithCancel(t.Context())
		for i := range hosts {
			s.hosts = append(s.hosts, s.newHost(ctx, t, i, reserve))
		}
		for i, h := range s.hosts {
			for j := range s.hosts {
				if i != j {
					h.targets = append(h.targets, handover.Target{Peer: s.hosts[j].address})
				}
			}
		}
		defer func() {
			cancel()
			s.network.HealAll()
			for _, h := range s.hosts {
				_ = h.server.Close()
			}
			_ = backend.Close()
			time.Sleep(5 * time.Minute)
		}()
		time.Sleep(retryWindow)
		do(t, s)
	})
}

func (s *site) newHost(ctx context.Context, t *testing.T, i int, reserve float64) *host {
	t.Helper()
	h := &host{address: netip.AddrPortFrom(hostAddress(i), peerPort), scope: tally.NewTestScope("", nil)}
	began := time.Now()
	sinceBoot := func() time.Duration { return time.Since(began) }
	log, random := discardLog(), rand.New(rand.NewPCG(uint64(i), 1))
	self := []owner.Peer{{Address: h.address, Control: h.address}}
	owners := owner.NewFinder(h.address, func() *owner.Hosts { return owner.NewHosts(self) })
	dial := s.network.Dialer(h.address.Addr())
	peers := &http.Client{Transport: peerhttp.New(peerhttp.Dial(dial), tally.NoopScope)}
	engines := enginepool.New(ctx, enginepool.Options{Owners: owners, HTTP: peers, Log: log, Scope: tally.NoopScope})
	received := make(chan struct{})
	close(received)
	h.core = relay.New(relay.Options{
		Context: ctx, Dialect: plainDialect{}, Servers: exchange.NewPool(dial, exchange.Unobserved{}), Engines: engines,
		Notices: notice.NewRegistry(notice.Options{
			SinceBoot: sinceBoot, Random: random, Log: log, Scope: tally.NoopScope, UsesLoad: func() bool { return false },
			OnLeaving: func(notice.Server, notice.Source) {}, OnLimit: func(notice.Server, notice.StatedLimit, time.Time) {},
		}),
		Limits:   ratelimit.New(ratelimit.Options{Registry: ratelimit.NewRegistry(sinceBoot, log, tally.NoopScope), Owners: owners, SinceBoot: sinceBoot, Log: log, Scope: tally.NoopScope}),
		Suspects: trial.New(trial.Options{Owners: owners, Log: log, Scope: tally.NoopScope}),
		Confirm:  func(context.Context) bool { return true }, SuspectsReceived: received, SinceBoot: sinceBoot,
		Hosts: func() int { return 1 }, Log: log, Scope: h.scope, Random: random, RetryShare: 0, RetryReserve: reserve, RetryWindow: retryWindow,
		Handover: handover.New(handover.Options{
			Isolated: h.isolated.Load, Targets: func() []handover.Target { return h.targets },
			HTTP: peers, Log: log, Scope: h.scope, Random: rand.New(rand.NewPCG(uint64(i), 2)), Limit: 100,
		}),
	})
	routes := []relay.Route{
		{Name: "once", Host: "once", Prefix: "/", Timeout: 6 * time.Second, Objective: time.Second, MaxAttempts: maxAttempts, Public: true, Targets: []relay.Target{{Service: "s", Weight: 1}}},
		{Name: "again", Host: "again", Prefix: "/", Timeout: 6 * time.Second, Objective: 20 * time.Second, MaxAttempts: maxAttempts, Repeatable: true, Public: true, Targets: []relay.Target{{Service: "s", Weight: 1}}},
		{Name: "stream", Host: "stream", Prefix: "/", Timeout: 6 * time.Second, Objective: time.Second, MaxAttempts: maxAttempts, Stream: true, Public: true, Targets: []relay.Target{{Service: "e", Weight: 1}}},
		{Name: "resumable", Host: "resumable", Prefix: "/", Timeout: 6 * time.Second, Objective: time.Second, MaxGap: 100 * time.Millisecond, MaxAttempts: maxAttempts, Stream: true, Repeatable: true, Resumable: true, Public: true, Targets: []relay.Target{{Service: "e", Weight: 1}}},
		{Name: "closed", Host: "closed", Prefix: "/", Timeout: 6 * time.Second, Objective: time.Second, MaxAttempts: maxAttempts, Targets: []relay.Target{{Service: "s", Weight: 1}}},
	}
	h.core.SetCatalog(relay.NewCatalog(1, routes, []relay.Service{{Name: "s"}, {Name: "e", Engine: &relay.Engine{Slots: 64, Tokens: 100000}}}, map[string]*relay.Workspace{}, relay.Limits{}))
	var servers []listed.Change[relay.Server]
	for _, instance := range []string{"s-1", "s-2", "e-1", "e-2"} {
		service := instance[:1]
		server := relay.Server{Instance: instance, Service: service, Address: netip.AddrPortFrom(s.backend, serverPort), Slots: 64}
		servers = append(servers, listed.Change[relay.Server]{Service: service, New: &server})
	}
	h.core.ChangeServers(servers)
	var placed []listed.Change[placing.Engine]
	for _, instance := range []string{"e-1", "e-2"} {
		engine := placing.Engine{Instance: instance, Address: netip.AddrPortFrom(s.backend, serverPort), Slots: 64, Tokens: 100000}
		placed = append(placed, listed.Change[placing.Engine]{Service: "e", New: &engine})
	}
	engines.Configure(placed)
	handler := handover.NewHandler(handover.HandlerOptions{Isolated: h.isolated.Load, Serve: h.core.Serve, Log: log, Scope: h.scope})
	l, err := s.network.Listen(h.address)
	assert.NilError(t, err)
	h.server = &http.Server{Handler: handler}
	go func() { _ = h.server.Serve(l) }()
	return h
}

// cut cuts a host off from the backend server without its knowledge.
func (s *site) cut(i int) {
	s.network.Cut(hostAddress(i), s.backend)
	s.network.Cut(s.backend, hostAddress(i))
}

// isolate cuts a host off with its knowledge.
func (s *site) isolate(i int) {
	s.cut(i)
	s.hosts[i].isolated.Store(true)
}

// serve serves a request of a route at the first host.
func (s *site) serve(ctx context.Context, route string, sink relay.Sink) error {
	return s.hosts[0].core.Serve(ctx, siteRequest(route), sink)
}

func siteRequest(route string) *relay.Request {
	return &relay.Request{
		ID: "id-1", Method: http.MethodPost, Target: "/x", Path: "/x", Host: route, Header: http.Header{}, Body: []byte("b"),
		Arrived: time.Now(), CallerTimeout: 6 * time.Second,
	}
}

// count returns a counter of a host over all outcomes.
func (h *host) count(name string) int64 {
	total := int64(0)
	for _, c := range h.scope.Snapshot().Counters() {
		if c.Name() == name {
			total += c.Value()
		}
	}
	return total
}
