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

// Process numbers within a site, from which Network.Address makes addresses, and ports.
const (
	platformNumber    = 1
	firstNodeNumber   = 100
	firstServerNumber = 10000
	firstCallerNumber = 60000
	// maxDialTime is longer than any dial takes.
	maxDialTime = 5 * time.Second

	platformPort = 9000
	callerPort   = 7000
	peerPort     = 8000
	serverPort   = 6000
)

// Options configure a site. Site, Nodes and Network are required.
type Options struct {
	Site    sites.Site
	Nodes   int
	Network Network
	Log     logrus.FieldLogger
	// Knobs returns the initial behaviour of the servers of a pool. If it is nil they answer
	// at once and without faults.
	Knobs func(p sites.Pool) standin.Knobs
	// TokenInterval is the time between two tokens of a stream of an engine.
	TokenInterval time.Duration
	// Cold starts the engines without loaded models.
	Cold bool
	// WeightRate is the rate of the weight store in bytes per second. If it is 0, engines load
	// weights at once.
	WeightRate int64
	// IgnoreFences makes the engines accept any order, whatever its fence.
	IgnoreFences bool
	// Settings, if set, changes the settings of each node.
	Settings func(s *settings.Settings)
	Policy   node.Policy
	Table    table.Options
	Seed     uint64
	// Scope receives the metrics of the nodes. If it is nil they are discarded.
	Scope tally.Scope
}

// Site is a running site. The caller must call Close.
type Site struct {
	options         Options
	Configuration   *standin.Configuration
	Weights         *standin.WeightStore
	platformAddress netip.AddrPort

	mu          sync.Mutex
	nodes       []*Node
	servers     []*Server
	closeFuncs  []func()
	callerCount int
	// initialServersStarted reports whether all backend servers of the site have been started
	// once.
	initialServersStarted bool
}

// New creates a site and starts its platform, backend servers and nodes.
func New(o Options) (*Site, error) {
	if o.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		o.Log = discard
	}
	s := &Site{options: o, Configuration: standin.NewConfiguration()}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	if err := s.startServers(); err != nil {
		s.Close()
		return nil, err
	}
	s.initialServersStarted = true
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
		s.Weights = standin.NewWeightStore(s.options.WeightRate, sizes)
	}
	s.platformAddress, err = s.options.Network.Address(platformNumber, platformPort)
	if err != nil {
		return err
	}
	_, err = s.serve(s.platformAddress, s.Configuration.Handler())
	return err
}

// serve runs an HTTP server at address until the site is closed.
func (s *Site) serve(address netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := s.options.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	var active sync.WaitGroup
	tracked := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		active.Add(1)
		defer active.Done()
		h.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: tracked, ReadHeaderTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	s.onClose(func() {
		_ = server.Close()
		<-done
		active.Wait()
	})
	return server, nil
}

func (s *Site) onClose(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeFuncs = append(s.closeFuncs, f)
}

func (s *Site) zoneFor(i int) string {
	return s.options.Site.Zones[i%len(s.options.Site.Zones)]
}

// ListHost publishes a host in the host list.
func (s *Site) ListHost(h published.Host) error {
	data, err := json.Marshal(h)
	if err != nil {
		return err
	}
	s.Configuration.Publish(publisher.SpaceHosts, h.Address.String(), string(data))
	return nil
}

// Client returns a client for a caller in a zone, with its own address.
func (s *Site) Client(zone string) *client.Client {
	bootstrap := make([]netip.AddrPort, 0, len(s.nodes))
	for _, n := range s.nodes {
		bootstrap = append(bootstrap, n.Caller)
	}
	return client.New(client.Options{Bootstrap: bootstrap, Zone: zone, Transport: s.Transport()})
}

// Transport returns an HTTP transport for a caller, with its own address.
func (s *Site) Transport() *http.Transport {
	s.mu.Lock()
	number := firstCallerNumber + s.callerCount
	s.callerCount++
	s.mu.Unlock()
	address, err := s.options.Network.Address(number, callerPort)
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

// Close stops the nodes, the backend servers and the platform.
func (s *Site) Close() {
	for _, n := range s.nodes {
		if n.cancel != nil {
			n.cancel()
			<-n.Done()
		}
	}
	s.mu.Lock()
	closeFuncs := s.closeFuncs
	s.mu.Unlock()
	for i := len(closeFuncs) - 1; i >= 0; i-- {
		closeFuncs[i]()
	}
	if _, ok := s.options.Network.(Memory); ok {
		// A transport may still be dialing for a call that has ended. In virtual time the
		// wait costs nothing.
		time.Sleep(maxDialTime)
	}
}

// PlatformAddress returns the address of the configuration service.
func (s *Site) PlatformAddress() netip.AddrPort {
	return s.platformAddress
}
