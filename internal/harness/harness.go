// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package harness

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/node"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/publisher"
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
	// dialsEnd is longer than any dial goes on.
	dialsEnd = 5 * time.Second

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
		s.Configuration.Publish(publisher.SpaceConfiguration, key, values[key])
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

// List puts a line on the host list.
func (s *Site) List(h published.Host) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	s.Configuration.Publish(publisher.SpaceHosts, h.Address.String(), string(data))
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
	if _, ok := s.options.Network.(Memory); ok {
		// A transport may still dial for a call that has ended; in virtual
		// time, waiting for that costs nothing.
		time.Sleep(dialsEnd)
	}
}

// Platform returns the configuration service's address.
func (s *Site) Platform() netip.AddrPort {
	return s.platformAt
}
