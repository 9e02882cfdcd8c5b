// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package harness

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
)

// Server is one backend server of a site.
type Server struct {
	Address  netip.AddrPort
	Host     published.Host
	Pool     sites.Pool
	Instance string
	// Engine is set for an engine, Runner for all other servers.
	Engine *standin.Engine
	Runner *standin.Pool
	http   *http.Server
}

// SetKnobs changes the knobs of the server.
func (s *Server) SetKnobs(change func(k *standin.Knobs)) {
	if s.Engine != nil {
		s.Engine.SetKnobs(change)
		return
	}
	s.Runner.SetKnobs(change)
}

// Arrivals returns the calls that the server has started to run, oldest first.
func (s *Server) Arrivals() []standin.Arrival {
	if s.Engine != nil {
		return s.Engine.Arrivals()
	}
	return s.Runner.Arrivals()
}

func (s *Site) startServers() error {
	number := firstServerNumber
	for _, p := range s.options.Site.Pools {
		for i := range p.Servers {
			address, err := s.options.Network.Address(number, serverPort)
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
					Zone:         s.zoneFor(i),
					ChecksOrders: p.Role == published.RoleEngine && !s.options.IgnoreFences,
				},
			}
			if err := s.StartServer(server); err != nil {
				return err
			}
			s.servers = append(s.servers, server)
			if err := s.ListHost(server.Host); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartServer starts a backend server at its address, with the instance name server.Instance.
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
		server.Runner = standin.NewPool(o, s.jobFor(server.Pool))
		handler = server.Runner.Handler()
	}
	var err error
	server.http, err = s.serve(server.Address, handler)
	return err
}

const engineMemoryBytes = 80 << 30

func (s *Site) engineOptions(o standin.Options) standin.EngineOptions {
	e := standin.EngineOptions{Options: o, TokenInterval: s.options.TokenInterval, MemoryBytes: engineMemoryBytes, IgnoreFences: s.options.IgnoreFences}
	if s.Weights != nil {
		e.FetchWeights = s.Weights.Fetch
	}
	if s.options.Cold || s.initialServersStarted {
		// A replaced engine starts without models, because its state is not persistent.
		return e
	}
	values, _ := s.options.Site.Values()
	for key := range values {
		var model protocol.LoadedModel
		var value struct {
			Version  string   `json:"version"`
			Adapters []string `json:"adapters"`
			Bytes    int64    `json:"bytes"`
			Name     string   `json:"name"`
		}
		if json.Unmarshal([]byte(values[key]), &value) == nil && value.Bytes > 0 {
			model = protocol.LoadedModel{Model: value.Name, Version: value.Version, Adapters: value.Adapters, Ready: true}
			e.Models = append(e.Models, model)
		}
	}
	return e
}

func (s *Site) jobFor(p sites.Pool) standin.Job {
	switch p.Stage {
	case sites.StageEncode:
		return standin.Encode
	case sites.StageRetrieve:
		return standin.Retrieve(s.options.Site.Documents)
	case sites.StageRerank:
		return standin.Rerank
	default:
		return standin.PlainServiceJob(p.Name)
	}
}

// Servers returns the backend servers of a pool, or of all pools if the name is empty.
func (s *Site) Servers(pool string) []*Server {
	var servers []*Server
	for _, server := range s.servers {
		if pool == "" || server.Pool.Name == pool {
			servers = append(servers, server)
		}
	}
	return servers
}

// KillServer stops a backend server at once, as a crash would.
func (s *Site) KillServer(server *Server) {
	if m, ok := s.options.Network.(Memory); ok {
		m.Kill(server.Address.Addr())
	}
	_ = server.http.Close()
	if server.Engine != nil {
		server.Engine.Close()
	}
}
