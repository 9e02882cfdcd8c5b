// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/health"
	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/placing"
)

// crossZone is what the way to another zone and back costs.
const crossZone = time.Millisecond

// server is what this host knows of a backend server.
type server struct {
	// Server is shared and never changes; one that is published anew is another.
	*Server
	running int
	health  health.Record
}

// serviceServers are the servers of one service.
type serviceServers struct {
	// list is by address, then instance.
	list []*server
	// shards has them as the owners of engines divide them.
	shards *owner.Divided[string, *server]
}

// servers is the set of backend servers. It is safe for concurrent use.
type servers struct {
	zone string
	// notices tells for how long a server wants nothing from this host.
	notices *notice.Book

	mu        sync.Mutex
	byService map[string]*serviceServers
	byID      map[string]*server
	random    *rand.Rand
}

func newServers(zone string, notices *notice.Book, random *rand.Rand) *servers {
	return &servers{zone: zone, notices: notices, random: random, byService: make(map[string]*serviceServers), byID: make(map[string]*server)}
}

// change takes in what was added, changed and removed, and keeps what is known of those
// that stay. It returns those that are gone.
func (s *servers) change(changes []listed.Change[Server]) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []string
	touched := make(map[*serviceServers]bool)
	for _, c := range changes {
		if c.Old != nil && (c.New == nil || c.Old.Address != c.New.Address) {
			touched[s.remove(c.Old)] = true
		}
		if c.New == nil {
			gone = append(gone, c.Old.Instance)
			delete(s.byID, c.Old.Instance)
			continue
		}
		touched[s.put(c.New)] = true
	}
	for service := range touched {
		service.shards.Divide()
	}
	return gone
}

// of returns the servers of a service. The mutex must be held.
func (s *servers) of(service string) *serviceServers {
	of := s.byService[service]
	if of == nil {
		of = &serviceServers{shards: placing.NewShards[*server]()}
		s.byService[service] = of
	}
	return of
}

// position returns where a server stands in the list, or would, and whether it does.
func (s *serviceServers) position(published *Server) (int, bool) {
	return slices.BinarySearchFunc(s.list, published, func(k *server, p *Server) int {
		if c := k.Address.Compare(p.Address); c != 0 {
			return c
		}
		return strings.Compare(k.Instance, p.Instance)
	})
}

// remove takes a server out of its service, not out of byID.
func (s *servers) remove(published *Server) *serviceServers {
	of := s.of(published.Service)
	if at, found := of.position(published); found {
		of.list = slices.Delete(of.list, at, at+1)
	}
	of.shards.Remove(published.Instance)
	return of
}

// put adds a server to its service or replaces what is published of it.
func (s *servers) put(published *Server) *serviceServers {
	of := s.of(published.Service)
	known := s.byID[published.Instance]
	if known == nil {
		known = &server{}
		s.byID[published.Instance] = known
	}
	known.Server = published
	if at, found := of.position(published); !found {
		of.list = slices.Insert(of.list, at, known)
	}
	of.shards.Put(published.Instance, known)
	return of
}

// listOf returns the servers of a service by address; the list must not be kept.
func (s *servers) listOf(service string) []*server {
	if of := s.byService[service]; of != nil {
		return of.list
	}
	return nil
}

// any reports whether there are any servers.
func (s *servers) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID) > 0
}

// usable returns the servers of a service that may get work now, in the homes and
// without those excepted. Where failures leave out all, they are forgotten. Cold
// servers get work where there are no others.
func (s *servers) usable(service string, now time.Time, homes Homes, except []string) []*server {
	var all, well, cold []*server
	for _, k := range s.listOf(service) {
		if !s.takes(k, homes) || slices.Contains(except, k.Instance) {
			continue
		}
		if now.Before(k.ColdUntil) {
			cold = append(cold, k)
			continue
		}
		all = append(all, k)
		if !k.health.Ejected(now) {
			well = append(well, k)
		}
	}
	switch {
	case len(well) > 0:
		return well
	case len(all) > 0:
		return all
	default:
		return cold
	}
}

// choosePlain returns the server of a plain service that should answer first.
func (s *servers) choosePlain(service string, expected time.Duration, homes Homes, except []string) (Server, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *server
	bestCost := math.Inf(1)
	for _, k := range s.usable(service, now, homes, except) {
		slots := float64(max(k.Slots, 1))
		cost := expected.Seconds() * k.health.Ratio(now) * (1 + float64(k.running)/slots)
		cost = s.penalised(now, k, cost)
		if cost < bestCost {
			best, bestCost = k, cost
		}
	}
	return s.begin(best)
}

// penalised adds to a cost what failures and the way to the server add, and a
// little chance, so that hosts with the same view do not all choose the same.
func (s *servers) penalised(now time.Time, k *server, cost float64) float64 {
	if k.Zone != s.zone {
		cost += crossZone.Seconds()
	}
	return k.health.Weighed(now, cost) * (1 + 0.1*s.random.Float64())
}

// begin counts a request at the chosen server.
func (s *servers) begin(k *server) (Server, bool) {
	if k == nil {
		return Server{}, false
	}
	k.running++
	return *k.Server, true
}

// take counts a request at a server that may get work.
func (s *servers) take(instance string) (Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.byID[instance]
	if k == nil || !s.takes(k, nil) {
		return Server{}, false
	}
	return s.begin(k)
}

// takes reports whether a server may get work from this host now, in the homes. The mutex
// must be held.
func (s *servers) takes(k *server, homes Homes) bool {
	return !k.Closed() && homes.Allow(k.Region) && s.notices.Rest(k.Instance) == 0
}

// restLeft is how long it takes until the first server of a service may get work, in the
// homes and without those excepted; 0 where one may now, or none will.
func (s *servers) restLeft(service string, homes Homes, except []string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var soonest time.Duration
	for _, k := range s.listOf(service) {
		if k.Closed() || !homes.Allow(k.Region) || slices.Contains(except, k.Instance) {
			continue
		}
		rest := s.notices.Rest(k.Instance)
		if rest == 0 {
			return 0
		}
		if soonest == 0 || rest < soonest {
			soonest = rest
		}
	}
	return soonest
}

// resting returns the servers of a service that want nothing from this host now.
func (s *servers) resting(service string) []string {
	resting := s.notices.Resting()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(resting, func(instance string) bool {
		k := s.byID[instance]
		return k == nil || k.Service != service
	})
}

// takesAny reports whether any server of a service in the homes takes work, now or after
// its rest.
func (s *servers) takesAny(service string, homes Homes) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.listOf(service), func(k *server) bool { return !k.Closed() && homes.Allow(k.Region) })
}

// homeZone returns the zone of the engine that is the home of a prompt.
func (s *servers) homeZone(service string, p placing.Prompt, homes Homes) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.byService[service]
	if of == nil {
		return ""
	}
	var names []string
	for name, k := range of.shards.Part(placing.OfPrompt(p, of.shards.Parts())) {
		if s.takes(k, homes) {
			names = append(names, name)
		}
	}
	home := s.byID[placing.Home(names, p)]
	if home == nil {
		return ""
	}
	return home.Zone
}

// ended notes how an answer went: how long it took over what was expected (0
// is not known), and whether the server failed.
func (s *servers) ended(instance string, ratio float64, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.byID[instance]
	if k == nil {
		return
	}
	k.running = max(k.running-1, 0)
	k.health.Ended(time.Now(), ratio, failed)
}

// ServerState is what the dump shows of a backend server.
type ServerState struct {
	Instance string         `json:"instance"`
	Service  string         `json:"service"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Leaving  bool           `json:"leaving,omitempty"`
	// Evacuated says that nothing is sent there.
	Evacuated bool    `json:"evacuated,omitempty"`
	Running   int     `json:"running"`
	Ratio     float64 `json:"ratio"`
	Failures  int     `json:"failures"`
}

func (s *servers) state() []ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	states := make([]ServerState, 0, len(s.byID))
	for _, k := range s.byID {
		states = append(states, ServerState{
			Instance: k.Instance, Service: k.Service, Address: k.Address, Zone: k.Zone, Leaving: k.Leaving, Evacuated: k.Evacuated,
			Running: k.running, Ratio: k.health.Ratio(now), Failures: k.health.Failures(),
		})
	}
	slices.SortFunc(states, func(a, b ServerState) int { return a.Address.Compare(b.Address) })
	return states
}
