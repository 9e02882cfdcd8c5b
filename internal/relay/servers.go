// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// neutralAfter is the half-life of what is held against a server, so that
	// one that got well is found again without probes.
	neutralAfter = 3 * time.Second
	// sampleGain is the weight of one answer in a server's averages.
	sampleGain = 0.3
	// ejectAfter failures in a row leave a server out for ejectFirst, doubled
	// each time up to ejectMost.
	ejectAfter = 2
	ejectFirst = 400 * time.Millisecond
	ejectMost  = 4 * time.Second
	// crossZone is what the way to another zone and back costs.
	crossZone = time.Millisecond
	// readRate is how many prompt tokens an engine reads in a millisecond; it
	// is near what the engines of both first users do, and only orders choices.
	readRate = 60.0
	// loadWindow is the time over which an engine's load is averaged.
	loadWindow = 2 * time.Second
	// loadDoubt is from how many sends on an estimated load counts by half.
	loadDoubt = 3.0
	// loadMost bounds the estimated share of an engine that reading takes.
	loadMost = 0.95
	// warmFor is how long a shared prompt part is taken to stay in an engine,
	// warmMost how many are remembered for each.
	warmFor  = 10 * time.Second
	warmMost = 512
	// rereadCost is the time that reading one shared token again is weighed as,
	// beside the reading itself: the platform prices 10,000 of them like one
	// lookup, and an engine reads them in 170 ms.
	rereadCost = 40 * time.Microsecond
	// candidates is how many engines by hash are weighed for one prompt.
	candidates = 4
)

// server is what this host knows of a backend server.
type server struct {
	Server
	running int
	// ratio is how long answers take over what is expected, failing the share
	// of them that fail; both as of at.
	ratio   float64
	failing float64
	at      time.Time
	// failures counts failures in a row.
	failures int
	until    time.Time
	// tokens is the average of prompt tokens sent per millisecond, and sends
	// about how many sends it comes from, as of fed.
	tokens float64
	sends  float64
	fed    time.Time
	// warm has the shared prompts that this host sent here.
	warm map[uint64]time.Time
}

// servers is the set of backend servers. It is safe for concurrent use.
type servers struct {
	zone string

	mu        sync.Mutex
	byService map[string][]*server
	byID      map[string]*server
	random    *rand.Rand
}

func newServers(zone string, random *rand.Rand) *servers {
	return &servers{zone: zone, random: random, byService: make(map[string][]*server), byID: make(map[string]*server)}
}

// set replaces the servers and keeps what is known of those that stay.
func (s *servers) set(list []Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byService := make(map[string][]*server)
	byID := make(map[string]*server, len(list))
	for _, published := range list {
		known := s.byID[published.Instance]
		if known == nil {
			known = &server{ratio: 1, warm: make(map[uint64]time.Time)}
		}
		known.Server = published
		byID[published.Instance] = known
		byService[published.Service] = append(byService[published.Service], known)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b *server) int { return a.Address.Compare(b.Address) })
	}
	s.byService, s.byID = byService, byID
}

// leaving reports whether a server must get no new work, or is not there.
func (s *servers) leaving(instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byID[instance]
	return known == nil || known.Leaving
}

// age lets what is held against a server fade.
func (k *server) age(now time.Time) {
	if k.at.IsZero() {
		k.at = now
		return
	}
	keep := math.Exp2(-now.Sub(k.at).Seconds() / neutralAfter.Seconds())
	k.ratio = 1 + (k.ratio-1)*keep
	k.failing *= keep
	k.at = now
}

// load is the share of an engine that reading prompts takes, where all hosts
// send it as much as this one. The fewer sends it comes from, the less it says.
func (k *server) load(now time.Time, hosts int) float64 {
	keep := math.Exp(-now.Sub(k.fed).Seconds() / loadWindow.Seconds())
	sends := k.sends * keep
	return min(k.tokens*keep*float64(hosts)/readRate, loadMost) * sends / (sends + loadDoubt)
}

func (k *server) feed(now time.Time, tokens int) {
	keep := math.Exp(-now.Sub(k.fed).Seconds() / loadWindow.Seconds())
	k.tokens = k.tokens*keep + float64(tokens)/float64(loadWindow.Milliseconds())
	k.sends = k.sends*keep + 1
	k.fed = now
}

// usable returns the servers of a service that may get work now, without
// those excepted. Where failures leave out all, they are forgotten.
func (s *servers) usable(service string, now time.Time, except []string) []*server {
	var all, well []*server
	for _, k := range s.byService[service] {
		if k.Leaving || slices.Contains(except, k.Instance) {
			continue
		}
		all = append(all, k)
		if !now.Before(k.until) {
			well = append(well, k)
		}
	}
	if len(well) == 0 {
		return all
	}
	return well
}

// choosePlain returns the server of a plain service that should answer first.
func (s *servers) choosePlain(service string, expected time.Duration, except []string) (Server, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *server
	bestCost := math.Inf(1)
	for _, k := range s.usable(service, now, except) {
		k.age(now)
		slots := float64(max(k.Slots, 1))
		cost := expected.Seconds() * k.ratio * (1 + float64(k.running)/slots)
		cost = s.penalised(k, cost)
		if cost < bestCost {
			best, bestCost = k, cost
		}
	}
	return s.begin(best)
}

// penalised adds to a cost what failures and the way to the server add, and a
// little chance, so that hosts with the same view do not all choose the same.
func (s *servers) penalised(k *server, cost float64) float64 {
	if k.Zone != s.zone {
		cost += crossZone.Seconds()
	}
	well := max(1-k.failing, 0.05)
	return cost / (well * well) * (1 + 0.1*s.random.Float64())
}

// begin counts a request at the chosen server.
func (s *servers) begin(k *server) (Server, bool) {
	if k == nil {
		return Server{}, false
	}
	k.running++
	return k.Server, true
}

// sharedKeys name the first shared part of a prompt and all its shared parts; 0
// is none.
func sharedKeys(parts []Part) (first, all uint64) {
	if len(parts) < 2 {
		return 0, 0
	}
	var d xxhash.Digest
	d.Reset()
	for i, p := range parts[:len(parts)-1] {
		_, _ = d.WriteString(p.ID)
		_, _ = d.WriteString("/")
		if i == 0 {
			first = d.Sum64()
		}
	}
	return first, d.Sum64()
}

func affinity(key uint64, instance string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(instance)
	return d.Sum64()
}

// chooseEngine returns the engine that should have the first token soonest. The
// first shared part of the prompt names a few engines by rendezvous hashing, so
// that it is read by few; among them all shared parts name the home. Another is
// taken where reading the shared parts again costs less than the home's load.
func (s *servers) chooseEngine(service string, r *Request, hosts int, except []string) (Server, bool) {
	now := time.Now()
	first, key := sharedKeys(r.Parts)
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.usable(service, now, except)
	if key != 0 {
		rank(all, first)
		all = all[:min(candidates, len(all))]
		rank(all, key)
	} else {
		s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		all = all[:min(candidates, len(all))]
	}
	var best *server
	bestCost := math.Inf(1)
	own, shared := r.tokens()-r.sharedTokens(), r.sharedTokens()
	bestTokens := 0
	for i, k := range all {
		k.age(now)
		tokens, again := own, 0
		if i > 0 && now.Sub(k.warm[key]) > warmFor {
			again = shared
		}
		tokens += again
		cost := (float64(tokens)/readRate/1000 + 0.01) * k.ratio / (1 - k.load(now, hosts))
		cost = s.penalised(k, cost) + float64(again)*rereadCost.Seconds()
		if cost < bestCost {
			best, bestCost, bestTokens = k, cost, tokens
		}
	}
	if best != nil {
		best.feed(now, bestTokens)
		best.remember(key, now)
	}
	return s.begin(best)
}

// rank orders servers by rendezvous hashing, the highest score first.
func rank(list []*server, key uint64) {
	slices.SortFunc(list, func(a, b *server) int {
		return cmp.Compare(affinity(key, b.Instance), affinity(key, a.Instance))
	})
}

func (k *server) remember(key uint64, now time.Time) {
	if key == 0 {
		return
	}
	if len(k.warm) >= warmMost {
		for old, at := range k.warm {
			if now.Sub(at) > warmFor {
				delete(k.warm, old)
			}
		}
		if len(k.warm) >= warmMost {
			clear(k.warm)
		}
	}
	k.warm[key] = now
}

// expectedRead is how long an idle engine reads a prompt of which it has the
// shared parts.
func expectedRead(r *Request) time.Duration {
	return time.Duration(float64(r.tokens()-r.sharedTokens())/readRate*float64(time.Millisecond)) + 10*time.Millisecond
}

// ended notes how an answer went: how long it took over what was expected (0
// is not known), and whether the server failed.
func (s *servers) ended(instance string, ratio float64, failed bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.byID[instance]
	if k == nil {
		return
	}
	k.running = max(k.running-1, 0)
	k.age(now)
	if ratio > 0 {
		k.ratio += sampleGain * (min(ratio, 20) - k.ratio)
	}
	if !failed {
		k.failing *= 1 - sampleGain
		k.failures = 0
		return
	}
	k.failing += sampleGain * (1 - k.failing)
	if k.failures++; k.failures >= ejectAfter {
		pause := ejectFirst << min(k.failures-ejectAfter, 10)
		k.until = now.Add(min(pause, ejectMost))
	}
}

// ServerState is what the dump shows of a backend server.
type ServerState struct {
	Instance string         `json:"instance"`
	Service  string         `json:"service"`
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Leaving  bool           `json:"leaving,omitempty"`
	Running  int            `json:"running"`
	Ratio    float64        `json:"ratio"`
	Failing  float64        `json:"failing"`
	Failures int            `json:"failures"`
}

func (s *servers) state() []ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]ServerState, 0, len(s.byID))
	for _, k := range s.byID {
		states = append(states, ServerState{
			Instance: k.Instance, Service: k.Service, Address: k.Address, Zone: k.Zone, Leaving: k.Leaving,
			Running: k.running, Ratio: k.ratio, Failing: k.failing, Failures: k.failures,
		})
	}
	slices.SortFunc(states, func(a, b ServerState) int { return a.Address.Compare(b.Address) })
	return states
}
