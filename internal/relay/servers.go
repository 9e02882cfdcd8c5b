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
	"github.com/wingvale/wingvale/internal/ratelimit"
)

// crossZoneLatency is the cost of a round trip to another zone.
const crossZoneLatency = time.Millisecond

// server is what this host knows of a backend server.
type server struct {
	// Server is shared and immutable; a republished server has a new one.
	*Server
	running int
	health  health.Record
	// activity is kept while the server is known.
	activity *serverActivity
}

// serviceServers holds the servers of one service.
type serviceServers struct {
	// list is sorted by address, then instance.
	list []*server
	// shards divides the servers in the same way as the owners of engines do.
	shards *owner.PartitionedMap[string, *server]
}

// serverSet is the set of backend servers. It is safe for concurrent use.
type serverSet struct {
	zone string
	// notices records how long a server has asked this host to pause.
	notices *notice.Registry
	// limits records for how long the rate limit of a server is used up.
	limits *ratelimit.Group

	mu        sync.Mutex
	byService map[string]*serviceServers
	byID      map[string]*server
	random    *rand.Rand
}

func newServerSet(zone string, notices *notice.Registry, limits *ratelimit.Group, random *rand.Rand) *serverSet {
	return &serverSet{
		zone: zone, notices: notices, limits: limits, random: random,
		byService: make(map[string]*serviceServers), byID: make(map[string]*server),
	}
}

// pause returns how much longer this host must send nothing to a server that accepts work, because
// the server has asked it to rest or because the server's rate limit is used up.
func (s *serverSet) pause(instance string) time.Duration {
	return max(s.notices.Rest(instance), s.limits.Deferral(instance))
}

// apply applies additions, changes and removals, and keeps the state of servers that
// remain. It returns the servers that were removed.
func (s *serverSet) apply(changes []listed.Change[Server]) []*Server {
	defer s.inheritLimits(changes)
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []*Server
	touched := make(map[*serviceServers]bool)
	for _, c := range changes {
		if c.Old != nil && (c.New == nil || c.Old.Address != c.New.Address) {
			touched[s.remove(c.Old)] = true
		}
		if c.New == nil {
			gone = append(gone, c.Old)
			delete(s.byID, c.Old.Instance)
			continue
		}
		touched[s.put(c.New)] = true
	}
	for service := range touched {
		service.shards.Repartition()
	}
	return gone
}

// inheritLimits applies what holds for the other servers of a service to added ones.
func (s *serverSet) inheritLimits(changes []listed.Change[Server]) {
	if !s.limits.RestrictsAny() {
		return
	}
	for _, c := range changes {
		if c.Old != nil || c.New == nil {
			continue
		}
		s.mu.Lock()
		var others []string
		for _, k := range s.serversOf(c.New.Service) {
			others = append(others, k.Instance)
		}
		s.mu.Unlock()
		s.limits.Inherit(c.New.Instance, others)
	}
}

// ensureService returns the servers of a service, which it adds if necessary. The mutex
// must be held.
func (s *serverSet) ensureService(service string) *serviceServers {
	group := s.byService[service]
	if group == nil {
		group = &serviceServers{shards: placing.NewShards[*server]()}
		s.byService[service] = group
	}
	return group
}

// search returns the index at which a server is in the list, or would be inserted, and
// whether it is there.
func (s *serviceServers) search(published *Server) (int, bool) {
	return slices.BinarySearchFunc(s.list, published, func(k *server, p *Server) int {
		if c := k.Address.Compare(p.Address); c != 0 {
			return c
		}
		return strings.Compare(k.Instance, p.Instance)
	})
}

// remove removes a server from its service, but not from byID.
func (s *serverSet) remove(published *Server) *serviceServers {
	group := s.ensureService(published.Service)
	if at, found := group.search(published); found {
		group.list = slices.Delete(group.list, at, at+1)
	}
	group.shards.Remove(published.Instance)
	return group
}

// put adds a server to its service, or replaces its published data.
func (s *serverSet) put(published *Server) *serviceServers {
	group := s.ensureService(published.Service)
	known := s.byID[published.Instance]
	if known == nil {
		known = &server{activity: &serverActivity{}}
		s.byID[published.Instance] = known
	}
	known.Server = published
	if at, found := group.search(published); !found {
		group.list = slices.Insert(group.list, at, known)
	}
	group.shards.Put(published.Instance, known)
	return group
}

// serversOf returns the servers of a service by address; the result must not be retained.
func (s *serverSet) serversOf(service string) []*server {
	if group := s.byService[service]; group != nil {
		return group.list
	}
	return nil
}

// hasAny reports whether there are any servers.
func (s *serverSet) hasAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID) > 0
}

// candidates returns the servers of a service that may receive work now, in the given
// regions and without those in except. Servers ejected for failures are used if all are
// ejected, and cold servers if there are no others.
func (s *serverSet) candidates(service string, now time.Time, regions Regions, except []string) []*server {
	var all, healthy, cold []*server
	for _, k := range s.serversOf(service) {
		if !s.accepts(k, regions) || slices.Contains(except, k.Instance) {
			continue
		}
		if now.Before(k.ColdUntil) {
			cold = append(cold, k)
			continue
		}
		all = append(all, k)
		if !k.health.Ejected(now) {
			healthy = append(healthy, k)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy
	case len(all) > 0:
		return all
	default:
		return cold
	}
}

// choosePlain returns the server of a plain service that is expected to answer first.
func (s *serverSet) choosePlain(service string, expected time.Duration, regions Regions, except []string) (Server, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *server
	bestCost := math.Inf(1)
	for _, k := range s.candidates(service, now, regions, except) {
		slots := float64(max(k.Slots, 1))
		cost := expected.Seconds() * k.health.Ratio(now) * (1 + float64(k.running)/slots)
		cost = s.adjustedCost(now, k, cost)
		if cost < bestCost {
			best, bestCost = k, cost
		}
	}
	return s.startRequest(best)
}

// adjustedCost adds the costs of failures and of the distance to the server, and some
// randomness so that hosts with the same view do not all choose the same server.
func (s *serverSet) adjustedCost(now time.Time, k *server, cost float64) float64 {
	if k.Zone != s.zone {
		cost += crossZoneLatency.Seconds()
	}
	return k.health.PenalizedCost(now, cost) * (1 + 0.1*s.random.Float64())
}

// startRequest counts a request as running on the chosen server.
func (s *serverSet) startRequest(k *server) (Server, bool) {
	if k == nil {
		return Server{}, false
	}
	k.running++
	return *k.Server, true
}

// acquire counts a request as running on a server, if that may receive work.
func (s *serverSet) acquire(instance string) (Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.byID[instance]
	if k == nil || !s.accepts(k, nil) {
		return Server{}, false
	}
	return s.startRequest(k)
}

// accepts reports whether a server may receive work from this host now, in the given
// regions. The mutex must be held.
func (s *serverSet) accepts(k *server, regions Regions) bool {
	return !k.Closed() && regions.Allow(k.Region) && s.pause(k.Instance) == 0
}

// shortestPause returns how long it takes until the first server of a service may receive
// work, in the given regions and without those in except. It is 0 if one may receive work
// now, or if none will.
func (s *serverSet) shortestPause(service string, regions Regions, except []string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var soonest time.Duration
	for _, k := range s.serversOf(service) {
		if k.Closed() || !regions.Allow(k.Region) || slices.Contains(except, k.Instance) {
			continue
		}
		pause := s.pause(k.Instance)
		if pause == 0 {
			return 0
		}
		if soonest == 0 || pause < soonest {
			soonest = pause
		}
	}
	return soonest
}

// paused returns the servers of a service that this host must send nothing to now, although they
// accept work.
func (s *serverSet) paused(service string) []string {
	paused := slices.Concat(s.notices.Resting(), s.limits.Deferred())
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(paused, func(instance string) bool {
		k := s.byID[instance]
		return k == nil || k.Service != service
	})
}

// restrictedAddress reports whether a server of a service with the given address has a rate limit or
// is brittle.
func (s *serverSet) restrictedAddress(service string, address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.serversOf(service), func(k *server) bool {
		if k.Address != address {
			return false
		}
		_, restricted := s.limits.Restriction(k.Instance)
		return restricted
	})
}

// avoidable returns the servers of a service that avoid selects, if others may receive work now in the
// given regions and are not in except. Otherwise it returns nil.
func (s *serverSet) avoidable(service string, regions Regions, except []string, avoid func(s *Server) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var avoided []string
	others := false
	for _, k := range s.serversOf(service) {
		if avoid(k.Server) {
			avoided = append(avoided, k.Instance)
			continue
		}
		others = others || s.accepts(k, regions) && !slices.Contains(except, k.Instance)
	}
	if !others {
		return nil
	}
	return avoided
}

// isOpen reports whether a server is listed and accepts work, now or after a pause.
func (s *serverSet) isOpen(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.byID[instance]
	return k != nil && !k.Closed()
}

// isListed reports whether a server is listed.
func (s *serverSet) isListed(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[instance] != nil
}

// anyOpen reports whether any server of a service in the given regions accepts work, now
// or after a pause.
func (s *serverSet) anyOpen(service string, regions Regions) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.serversOf(service), func(k *server) bool { return !k.Closed() && regions.Allow(k.Region) })
}

// homeZone returns the zone of the home engine of a prompt.
func (s *serverSet) homeZone(service string, p placing.Prompt, regions Regions) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.byService[service]
	if group == nil {
		return ""
	}
	var names []string
	for name, k := range group.shards.Part(placing.ShardOfPrompt(p, group.shards.Parts())) {
		if s.accepts(k, regions) {
			names = append(names, name)
		}
	}
	home := s.byID[placing.Home(names, p)]
	if home == nil {
		return ""
	}
	return home.Zone
}

// finishRequest records the end of a request on a server, for which limits.Acquire was called: the
// ratio of the time it took to the expected time (0 means unknown), and whether the server failed.
func (s *serverSet) finishRequest(instance string, ratio float64, failed bool) {
	s.mu.Lock()
	if k := s.byID[instance]; k != nil {
		k.running = max(k.running-1, 0)
		k.health.RecordOutcome(time.Now(), ratio, failed)
	}
	s.mu.Unlock()
	s.limits.Released(instance)
}

// cancelRequest records that a request chosen for a server was not sent.
func (s *serverSet) cancelRequest(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.byID[instance]; k != nil {
		k.running = max(k.running-1, 0)
	}
}

// slots returns how many requests a server processes at once, and 0 if it is unknown.
func (s *serverSet) slots(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.byID[instance]
	if k == nil {
		return 0
	}
	return k.Slots
}

// ServerState is the state of a backend server in the dump.
type ServerState struct {
	Instance string         `json:"instance"`
	Service  string         `json:"service"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Leaving  bool           `json:"leaving,omitempty"`
	// Evacuated means that nothing is sent to the server.
	Evacuated bool    `json:"evacuated,omitempty"`
	Running   int     `json:"running"`
	Ratio     float64 `json:"ratio"`
	Failures  int     `json:"failures"`
}

func (s *serverSet) snapshot() []ServerState {
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
