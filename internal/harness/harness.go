// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/node"
	"github.com/wingvale/wingvale/internal/platform"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/internal/table"
)

// Numbers of the processes of a site, from which addresses are made.
const (
	numberPlatform = 1
	numberNodes    = 100
	numberServers  = 10000
	numberCallers  = 60000

	portPlatform = 9000
	portCaller   = 7000
	portPeer     = 8000
	portServer   = 6000
)

// Options describe a site to set up. Site, Nodes and Network are needed.
type Options struct {
	Site    sites.Site
	Nodes   int
	Network Network
	Log     logrus.FieldLogger
	// Knobs returns the behaviour of a pool's servers; nil is fast and sound.
	Knobs func(p sites.Pool) standin.Knobs
	// Token is the engines' time between tokens.
	Token time.Duration
	// Cold leaves the engines without models.
	Cold bool
	// WeightRate is the weight store's, in bytes a second; 0 loads at once.
	WeightRate int64
	// Unchecked engines take any order.
	Unchecked bool
	// Settings changes a node's settings, if set.
	Settings func(s *settings.Settings)
	Policy   node.Policy
	Table    table.Options
	Seed     uint64
	// Scope takes the nodes' metrics; nil drops them.
	Scope tally.Scope
}

// Site is a running site. Close must be called.
type Site struct {
	options       Options
	Configuration *standin.Configuration
	Weights       *standin.Weights
	platformAt    netip.AddrPort

	mu      sync.Mutex
	nodes   []*Node
	servers []*Server
	closers []func()
	callers int
	// started says that the servers of the start have been started.
	started bool
}

// Node is one entry host of a site.
type Node struct {
	Caller netip.AddrPort
	Peer   netip.AddrPort
	Zone   string
	// Node is nil while the host is down.
	*node.Node
	cancel context.CancelFunc
	runs   int
}

// Server is one backend server of a site.
type Server struct {
	Address  netip.AddrPort
	Host     published.Host
	Pool     sites.Pool
	Instance string
	// Engine or Runner is set.
	Engine *standin.Engine
	Runner *standin.Pool
	http   *http.Server
}

// Set changes the server's knobs.
func (s *Server) Set(change func(k *standin.Knobs)) {
	if s.Engine != nil {
		s.Engine.Set(change)
		return
	}
	s.Runner.Set(change)
}

// Arrivals returns the calls that the server began.
func (s *Server) Arrivals() []standin.Arrival {
	if s.Engine != nil {
		return s.Engine.Arrivals()
	}
	return s.Runner.Arrivals()
}

// New sets a site up and starts its nodes.
func New(o Options) (*Site, error) {
	if o.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		o.Log = quiet
	}
	s := &Site{options: o, Configuration: standin.NewConfiguration()}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	if err := s.startServers(); err != nil {
		s.Close()
		return nil, err
	}
	s.started = true
	for i := range o.Nodes {
		if err := s.addNode(i); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Site) startPlatform() error {
	values, err := s.options.Site.Values()
	if err != nil {
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		s.Configuration.Publish(platform.SpaceConfiguration, key, values[key])
	}
	sizes := make(map[string]int64)
	for _, v := range values {
		var m struct {
			Name  string `json:"name"`
			Bytes int64  `json:"bytes"`
		}
		if json.Unmarshal([]byte(v), &m) == nil && m.Bytes > 0 {
			sizes[m.Name] = m.Bytes
		}
	}
	if s.options.WeightRate > 0 {
		s.Weights = standin.NewWeights(s.options.WeightRate, sizes)
	}
	s.platformAt, err = s.options.Network.Address(numberPlatform, portPlatform)
	if err != nil {
		return err
	}
	_, err = s.serve(s.platformAt, s.Configuration.Handler())
	return err
}

// serve runs an HTTP server at address until the site closes.
func (s *Site) serve(address netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := s.options.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	var handling sync.WaitGroup
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handling.Add(1)
		defer handling.Done()
		h.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: counted, ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	s.onClose(func() {
		_ = server.Close()
		<-done
		handling.Wait()
	})
	return server, nil
}

func (s *Site) onClose(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, do)
}

func (s *Site) zone(i int) string {
	return s.options.Site.Zones[i%len(s.options.Site.Zones)]
}

func (s *Site) startServers() error {
	number := numberServers
	for _, p := range s.options.Site.Pools {
		for i := range p.Runners {
			address, err := s.options.Network.Address(number, portServer)
			if err != nil {
				return err
			}
			number++
			server := &Server{
				Address:  address,
				Pool:     p,
				Instance: p.Name + "-" + strconv.Itoa(i),
				Host: published.Host{
					Address:      address,
					Role:         p.Role,
					Pool:         p.Name,
					Zone:         s.zone(i),
					ChecksOrders: p.Role == published.RoleEngine && !s.options.Unchecked,
				},
			}
			if err := s.StartServer(server); err != nil {
				return err
			}
			s.servers = append(s.servers, server)
			if err := s.List(server.Host); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartServer starts a backend server at its address, as its Instance.
func (s *Site) StartServer(server *Server) error {
	o := standin.Options{Slots: server.Pool.Slots, Instance: server.Instance, Seed: s.options.Seed + uint64(server.Address.Port())}
	if s.options.Knobs != nil {
		o.Knobs = s.options.Knobs(server.Pool)
	}
	var handler http.Handler
	if server.Pool.Role == published.RoleEngine {
		server.Engine = standin.NewEngine(s.engineOptions(o))
		handler = server.Engine.Handler()
		s.onClose(server.Engine.Close)
	} else {
		server.Runner = standin.NewPool(o, s.job(server.Pool))
		handler = server.Runner.Handler()
	}
	var err error
	server.http, err = s.serve(server.Address, handler)
	return err
}

const engineMemory = 80 << 30

func (s *Site) engineOptions(o standin.Options) standin.EngineOptions {
	e := standin.EngineOptions{Options: o, Token: s.options.Token, MemoryBytes: engineMemory, Unchecked: s.options.Unchecked}
	if s.Weights != nil {
		e.Weights = s.Weights.Fetch
	}
	if s.options.Cold || s.started {
		// A replaced engine comes without models: nothing of it lasts.
		return e
	}
	values, _ := s.options.Site.Values()
	for key := range values {
		var m backend.Loaded
		var v struct {
			Version  string   `json:"version"`
			Adapters []string `json:"adapters"`
			Bytes    int64    `json:"bytes"`
			Name     string   `json:"name"`
		}
		if json.Unmarshal([]byte(values[key]), &v) == nil && v.Bytes > 0 {
			m = backend.Loaded{Model: v.Name, Version: v.Version, Adapters: v.Adapters, Ready: true}
			e.Models = append(e.Models, m)
		}
	}
	return e
}

func (s *Site) job(p sites.Pool) standin.Job {
	switch p.Stage {
	case sites.StageEncode:
		return standin.Encode
	case sites.StageRetrieve:
		return standin.Retrieve(s.options.Site.Documents)
	case sites.StageRerank:
		return standin.Rerank
	default:
		return standin.Serve(p.Name)
	}
}

// List puts a line on the host list.
func (s *Site) List(h published.Host) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	s.Configuration.Publish(platform.SpaceHosts, h.Address.String(), string(data))
	return nil
}

func (s *Site) addNode(i int) error {
	caller, err := s.options.Network.Address(numberNodes+i, portCaller)
	if err != nil {
		return err
	}
	peer, err := s.options.Network.Address(numberNodes+i, portPeer)
	if err != nil {
		return err
	}
	n := &Node{Caller: caller, Peer: peer, Zone: s.zone(i)}
	s.nodes = append(s.nodes, n)
	host := published.Host{Address: caller, Peer: peer, Role: published.RoleEntry, Zone: n.Zone}
	if err := s.List(host); err != nil {
		return err
	}
	return s.StartNode(i)
}

// StartNode starts the i-th entry host, as a new incarnation at its address.
func (s *Site) StartNode(i int) error {
	n := s.nodes[i]
	callerListener, err := s.options.Network.Listen(n.Caller)
	if err != nil {
		return err
	}
	peerListener, err := s.options.Network.Listen(n.Peer)
	if err != nil {
		return err
	}
	o := node.Options{
		Settings:       s.nodeSettings(n),
		Log:            s.options.Log,
		Scope:          s.scope(),
		Dial:           s.options.Network.Dialer(n.Caller.Addr()),
		CallerListener: callerListener,
		PeerListener:   peerListener,
		Seed:           s.options.Seed + uint64(i)*1000 + uint64(n.runs),
		Policy:         s.options.Policy,
		Table:          s.options.Table,
	}
	if m, ok := s.options.Network.(Memory); ok {
		o.BeforeTick = func() { m.Await(n.Caller.Addr()) }
	}
	n.runs++
	n.Node = node.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func(run *node.Node) {
		if err := run.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			s.options.Log.WithError(err).Error("a node ended")
		}
	}(n.Node)
	return nil
}

func (s *Site) nodeSettings(n *Node) settings.Settings {
	st := settings.Default()
	st.Caller, st.Peer, st.Zone = n.Caller, n.Peer, n.Zone
	st.Platform = []netip.AddrPort{s.platformAt}
	if s.options.Settings != nil {
		s.options.Settings(&st)
	}
	return st
}

// Nodes returns the entry hosts.
func (s *Site) Nodes() []*Node {
	return s.nodes
}

func (s *Site) scope() tally.Scope {
	if s.options.Scope == nil {
		return tally.NoopScope
	}
	return s.options.Scope
}

// KillNode ends the i-th entry host at once, as a crash would.
func (s *Site) KillNode(i int) {
	n := s.nodes[i]
	if m, ok := s.options.Network.(Memory); ok {
		m.Kill(n.Caller.Addr())
	}
	n.cancel()
	<-n.Done()
}

// Servers returns the backend servers of a pool, or all for the empty name.
func (s *Site) Servers(pool string) []*Server {
	var servers []*Server
	for _, server := range s.servers {
		if pool == "" || server.Pool.Name == pool {
			servers = append(servers, server)
		}
	}
	return servers
}

// KillServer ends a backend server at once.
func (s *Site) KillServer(server *Server) {
	if m, ok := s.options.Network.(Memory); ok {
		m.Kill(server.Address.Addr())
	}
	_ = server.http.Close()
	if server.Engine != nil {
		server.Engine.Close()
	}
}

// AwaitReady waits until all nodes that run are ready.
func (s *Site) AwaitReady(ctx context.Context) error {
	for _, n := range s.nodes {
		for !n.Dump().Ready {
			select {
			case <-ctx.Done():
				return fmt.Errorf("harness: %s is not ready: %w", n.Caller, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Client returns a caller's client, at an address of its own.
func (s *Site) Client(zone string) *client.Client {
	bootstrap := make([]netip.AddrPort, 0, len(s.nodes))
	for _, n := range s.nodes {
		bootstrap = append(bootstrap, n.Caller)
	}
	return client.New(client.Options{Bootstrap: bootstrap, Zone: zone, Transport: s.Transport()})
}

// Transport returns how a caller connects, from an address of its own.
func (s *Site) Transport() *http.Transport {
	s.mu.Lock()
	number := numberCallers + s.callers
	s.callers++
	s.mu.Unlock()
	address, err := s.options.Network.Address(number, portCaller)
	if err != nil {
		address = s.nodes[0].Caller
	}
	transport := &http.Transport{
		DialContext:         s.options.Network.Dialer(address.Addr()),
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}
	s.onClose(transport.CloseIdleConnections)
	return transport
}

// Close ends everything.
func (s *Site) Close() {
	for _, n := range s.nodes {
		if n.cancel != nil {
			n.cancel()
			<-n.Done()
		}
	}
	s.mu.Lock()
	closers := s.closers
	s.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

// Platform returns the configuration service's address.
func (s *Site) Platform() netip.AddrPort {
	return s.platformAt
}
