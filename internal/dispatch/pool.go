// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wingvale/wingvale/internal/choose"
	"github.com/wingvale/wingvale/internal/limit"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/queue"
)

// Options configures a Pool. Zero fields take the defaults.
type Options struct {
	// Zone is the node's own availability zone.
	Zone string
	// Choose picks the server; the default is choose.LeastTime.
	Choose choose.Policy
	// Queue orders what waits; the default is queue.FairSlack.
	Queue queue.Policy
	// Limit bounds the calls in flight at each server.
	Limit limit.Options
	// CrossZoneTime is the additional time of a call to another availability zone, and
	// CacheMissTime that of a call to a server that has not cached the prompt's prefix.
	CrossZoneTime time.Duration
	CacheMissTime time.Duration
	// MaxWaiting is the most calls that may wait in the queue of one model.
	MaxWaiting int
	// Seed seeds the random choice between servers. It must differ between nodes so
	// that they do not all choose the same server.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultCrossZoneTime = time.Millisecond
	DefaultCacheMissTime = 20 * time.Millisecond
	DefaultMaxWaiting    = 10000
	maxPrefixes          = 4096
	maxPrefixHolders     = 16
	// backgroundShare is the share of a pool's limit that background work may fill.
	backgroundShare = 0.75
	// pressureSmoothing is the weight of one call in the moving average of pressure.
	pressureSmoothing = 0.1
	// busyThreshold is the share of the limit that must be in use before the limit may
	// grow.
	busyThreshold = 0.75
)

// Task is a call that needs a server.
type Task struct {
	queue.Item
	// Model must be ready on the server. It is empty for pools and services.
	Model string
	// Prefix identifies the prompt's prefix; 0 means none.
	Prefix uint64
	// Avoid lists servers that are used only if no other server is free.
	Avoid []netip.AddrPort
}

// Pool queues and dispatches the calls of one node to one pool of backend servers. It
// is safe for concurrent use.
type Pool struct {
	options Options

	mu sync.Mutex
	// servers holds the pool's servers by address; active holds them in the order of
	// the server list.
	servers map[netip.AddrPort]*server
	active  []*server
	// modelQueues holds the waiting tasks of each model.
	modelQueues map[string]*queue.Queue[*waiter]
	// inFlight is the sum over all servers.
	inFlight int
	// committed is the work of admitted requests that has not started, by workspace.
	// It includes work that has not arrived yet. totalCommitted is the sum.
	committed      map[string]*commitment
	totalCommitted commitment
	// pressure is a moving average of the share of calls that had to queue inside a
	// server.
	pressure float64
	// nodesPerServer is how many nodes send calls to each server of the pool.
	nodesPerServer int
	// prefixHolders caches which servers hold a prompt's prefix, according to cache
	// events and answers. A wrong entry only costs time.
	prefixHolders *lru.Cache[uint64, []netip.AddrPort]
	random        *rand.Rand
	// candidates is reused by each dispatch; entry i describes active[i].
	candidates []choose.Candidate
}

// New returns a pool without servers.
func New(options Options) *Pool {
	if options.Choose == nil {
		options.Choose = choose.LeastTime
	}
	options.CrossZoneTime = cmp.Or(options.CrossZoneTime, DefaultCrossZoneTime)
	options.CacheMissTime = cmp.Or(options.CacheMissTime, DefaultCacheMissTime)
	options.MaxWaiting = cmp.Or(options.MaxWaiting, DefaultMaxWaiting)
	// The size is a constant above 0, so New cannot fail.
	prefixHolders, _ := lru.New[uint64, []netip.AddrPort](maxPrefixes)
	return &Pool{
		options:       options,
		servers:       make(map[netip.AddrPort]*server),
		modelQueues:   make(map[string]*queue.Queue[*waiter]),
		committed:     make(map[string]*commitment),
		prefixHolders: prefixHolders,
		random:        rand.New(rand.NewPCG(options.Seed, options.Seed>>1)),
	}
}

// SetNodesPerServer sets how many nodes send calls to each server of the pool. The node's
// limit at a server is set to its share of the server's slots whenever their number
// changes.
func (p *Pool) SetNodesPerServer(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodesPerServer = count
}

// SetServers replaces the pool's servers. The state of a server that stays is kept; a
// new instance at the same address starts with fresh state.
func (p *Pool) SetServers(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = p.active[:0]
	kept := make(map[netip.AddrPort]bool, len(servers))
	for _, s := range servers {
		known := p.servers[s.Address]
		if known == nil || known.Instance != "" && s.Instance != "" && known.Instance != s.Instance {
			known = newServer(s, p.options.Limit)
			p.servers[s.Address] = known
		}
		instance := known.Instance
		known.Server = s
		if s.Instance == "" {
			known.Instance = instance
		}
		kept[s.Address] = true
		p.active = append(p.active, known)
	}
	for address := range p.servers {
		if !kept[address] {
			delete(p.servers, address)
		}
	}
	p.dispatch(time.Now())
}

// Observe records a load report that did not come with an answer. If models is not nil,
// it replaces the set of models that are ready on the server.
func (p *Pool) Observe(address netip.AddrPort, load protocol.Load, models map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[address]
	if s == nil {
		return
	}
	if models != nil {
		s.models = models
	}
	p.applyLoad(s, time.Now(), load)
	p.dispatch(time.Now())
}

// SetPrefixHolder records whether a server holds a prompt's prefix.
func (p *Pool) SetPrefixHolder(prefix uint64, address netip.AddrPort, holdsPrefix bool) {
	if prefix == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	holders, _ := p.prefixHolders.Get(prefix)
	i := slices.Index(holders, address)
	switch {
	case holdsPrefix && i < 0:
		// The old slice may be in use elsewhere, so append to a copy.
		holders = append(slices.Clone(holders), address)
		p.prefixHolders.Add(prefix, holders[max(len(holders)-maxPrefixHolders, 0):])
	case !holdsPrefix && i >= 0:
		p.prefixHolders.Add(prefix, slices.Delete(slices.Clone(holders), i, i+1))
	}
}

// applyLoad stores a load report of s. The mutex must be held.
func (p *Pool) applyLoad(s *server, now time.Time, load protocol.Load) {
	if load.Slots > 0 && load.Slots != s.slots {
		s.limit.Resize(load.Slots, p.nodesPerServer)
	}
	// The report includes the node's own calls, which are counted in inFlight.
	s.reported = max(load.Running+load.Waiting-s.inFlight, 0)
	s.slots = load.Slots
	s.reportedAt = now
	if load.Instance != "" {
		s.Instance = load.Instance
	}
	if load.Leaving {
		s.Leaving = true
	}
}

// Tick dispatches waiting calls. It must be called a few times a second, so that calls
// are sent to servers whose ejection has ended.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
}

func (p *Pool) usable(s *server, now time.Time, model string) bool {
	return !s.Leaving && !s.ejected(now) && s.hasModel(model)
}

// dispatch grants servers to waiting tasks until one or the other runs out. The mutex
// must be held.
func (p *Pool) dispatch(now time.Time) {
	for model, modelQueue := range p.modelQueues {
		for modelQueue.Len() > 0 && p.dispatchNext(now, model, modelQueue) {
			continue
		}
	}
}

func (p *Pool) dispatchNext(now time.Time, model string, modelQueue *queue.Queue[*waiter]) bool {
	total, free := p.collectCandidates(now, model)
	if free == 0 || p.inFlight >= wholeCalls(total) {
		return false
	}
	interactiveOnly := p.options.Queue == queue.FairSlack && p.inFlight >= wholeCalls(backgroundShare*total)
	w, ok := modelQueue.Pop(interactiveOnly)
	if !ok {
		return false
	}
	if w.cancelled {
		return true
	}
	s := p.choose(w.task)
	p.inFlight++
	s.inFlight++
	s.served++
	w.grant <- &Grant{Server: s.Address, Instance: s.Instance, Waited: now.Sub(w.enqueuedAt), pool: p, server: s}
	return true
}

// wholeCalls rounds a share to a number of calls. It is at least 1, so that every node
// can send calls.
func wholeCalls(share float64) int {
	return max(int(math.Round(share)), 1)
}

// collectCandidates fills p.candidates with all servers. It returns the node's share of
// the usable ones and how many more calls they may take.
func (p *Pool) collectCandidates(now time.Time, model string) (total float64, free int) {
	p.candidates = p.candidates[:0]
	ignoreEjection := p.mostlyEjected(now)
	for _, s := range p.active {
		c := s.candidate(now, p.options.Zone)
		c.Usable = !s.Leaving && s.hasModel(model) && (ignoreEjection || !s.ejected(now))
		if c.Usable {
			total += s.share()
			free += max(c.Limit-c.InFlight, 0)
		}
		p.candidates = append(p.candidates, c)
	}
	return total, free
}

// mostlyEjected reports whether so many servers are ejected that ejection must be
// ignored: the fault is then more likely on this host or common to all servers.
func (p *Pool) mostlyEjected(now time.Time) bool {
	in, ejected := 0, 0
	for _, s := range p.active {
		if s.Leaving {
			continue
		}
		in++
		if s.ejected(now) {
			ejected++
		}
	}
	return float64(in-ejected) < minActiveShare*float64(in)
}

// choose picks a server from p.candidates, at least one of which must be free.
func (p *Pool) choose(task Task) *server {
	if holders, ok := p.prefixHolders.Get(task.Prefix); ok && task.Prefix != 0 {
		for i, s := range p.active {
			p.candidates[i].HasPrefix = slices.Contains(holders, s.Address)
		}
	}
	costs := choose.Costs{Work: task.Cost, CrossZoneTime: p.options.CrossZoneTime, CacheMissTime: p.options.CacheMissTime}
	excluded := p.excludeAvoided(task.Avoid)
	i := p.options.Choose(p.candidates, costs, p.random)
	if i < 0 {
		for _, a := range excluded {
			p.candidates[a].Usable = true
		}
		i = p.options.Choose(p.candidates, costs, p.random)
	}
	return p.active[i]
}

// excludeAvoided marks the candidates at the given addresses as unusable and returns
// their indices.
func (p *Pool) excludeAvoided(addresses []netip.AddrPort) []int {
	if len(addresses) == 0 {
		return nil
	}
	var excluded []int
	for i, s := range p.active {
		if p.candidates[i].Usable && slices.Contains(addresses, s.Address) {
			p.candidates[i].Usable = false
			excluded = append(excluded, i)
		}
	}
	return excluded
}
