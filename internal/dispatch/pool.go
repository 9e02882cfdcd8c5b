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

// Options are a Pool's settings; zero fields take the defaults.
type Options struct {
	// Zone is the node's own availability zone.
	Zone string
	// Choose picks the server; the default is choose.LeastTime.
	Choose choose.Policy
	// Queue orders what waits; the default is queue.FairSlack.
	Queue queue.Policy
	// Limit bounds the calls in flight at each server.
	Limit limit.Options
	// Far and Cold are what another zone and a missing prefix cost in time.
	Far  time.Duration
	Cold time.Duration
	// MaxWaiting bounds the queue.
	MaxWaiting int
	// Seed makes the choices of nodes differ.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultFar        = time.Millisecond
	DefaultCold       = 20 * time.Millisecond
	DefaultMaxWaiting = 10000
	maxPrefixes       = 4096
	maxHolders        = 16
	// backgroundShare is the part of a pool's limit that background work may
	// fill.
	backgroundShare = 0.75
	pressureGain    = 0.1
	// busyShare is the part of the limit in use from which it may grow.
	busyShare = 0.75
)

// Task is a call that wants a server.
type Task struct {
	queue.Item
	// Model must be ready at the server; empty for pools and services.
	Model string
	// Prefix names the prompt's prefix; 0 is none.
	Prefix uint64
	// Avoid has servers to pass over where another is free.
	Avoid []netip.AddrPort
}

// Pool is one pool at one node. It is safe for concurrent use.
type Pool struct {
	options Options

	mu sync.Mutex
	// servers has the pool's servers and those that left it with calls in
	// flight; list has the former in order.
	servers map[netip.AddrPort]*server
	list    []*server
	// lanes has a queue for each model.
	lanes map[string]*queue.Queue[*waiter]
	// inFlight is the sum over all servers.
	inFlight int
	// committed is the work that admitted requests will bring or have brought
	// here and that has not started, by workspace.
	committed map[string]*share
	total     share
	// pressure follows the share of calls that met a queue inside a server.
	pressure float64
	// sharers is how many nodes use each server of the pool.
	sharers int
	// prefixes has the servers that hold a prompt's prefix, as far as cache
	// events and answers have told. It may be wrong, which costs time only.
	prefixes *lru.Cache[uint64, []netip.AddrPort]
	random   *rand.Rand
	scratch  []choose.Candidate
}

// New returns a pool without servers.
func New(options Options) *Pool {
	if options.Choose == nil {
		options.Choose = choose.LeastTime
	}
	options.Far = cmp.Or(options.Far, DefaultFar)
	options.Cold = cmp.Or(options.Cold, DefaultCold)
	options.MaxWaiting = cmp.Or(options.MaxWaiting, DefaultMaxWaiting)
	// The size is a constant above 0, so New cannot fail.
	prefixes, _ := lru.New[uint64, []netip.AddrPort](maxPrefixes)
	return &Pool{
		options:   options,
		servers:   make(map[netip.AddrPort]*server),
		lanes:     make(map[string]*queue.Queue[*waiter]),
		committed: make(map[string]*share),
		prefixes:  prefixes,
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed>>1)),
	}
}

// SetSharers says how many nodes use each server of the pool. New servers start
// with that share.
func (p *Pool) SetSharers(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharers = count
}

// SetServers replaces the pool's servers. What is known of one that stays is
// kept; a new instance at the same address starts anew.
func (p *Pool) SetServers(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = p.list[:0]
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
		p.list = append(p.list, known)
	}
	for address := range p.servers {
		if !kept[address] {
			delete(p.servers, address)
		}
	}
	p.dispatch(time.Now())
}

// Observe takes in a load report that did not come with an answer.
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
	p.report(s, time.Now(), load)
	p.dispatch(time.Now())
}

// Warm notes that a server holds a prompt's prefix, or that it does not.
func (p *Pool) Warm(prefix uint64, address netip.AddrPort, warm bool) {
	if prefix == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	holders, _ := p.prefixes.Get(prefix)
	i := slices.Index(holders, address)
	switch {
	case warm && i < 0:
		// A copy: the old list may be read elsewhere.
		holders = append(slices.Clone(holders), address)
		p.prefixes.Add(prefix, holders[max(len(holders)-maxHolders, 0):])
	case !warm && i >= 0:
		p.prefixes.Add(prefix, slices.Delete(slices.Clone(holders), i, i+1))
	}
}

func (p *Pool) report(s *server, now time.Time, load protocol.Load) {
	if load.Slots > 0 && load.Slots != s.slots {
		s.limit.Resize(load.Slots, p.sharers)
	}
	// The node's own calls are in the report too and are counted apart.
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

// Tick must be called a few times a second, so that ejected servers come back.
func (p *Pool) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
}

func (p *Pool) usable(s *server, now time.Time, model string) bool {
	return !s.Leaving && !s.ejected(now) && s.holds(model)
}

// dispatch gives servers to waiting tasks while there are both.
func (p *Pool) dispatch(now time.Time) {
	for model, lane := range p.lanes {
		for lane.Len() > 0 && p.dispatchOne(now, model, lane) {
			continue
		}
	}
}

func (p *Pool) dispatchOne(now time.Time, model string, lane *queue.Queue[*waiter]) bool {
	total, free := p.collect(now, model)
	if free == 0 || p.inFlight >= whole(total) {
		return false
	}
	urgentOnly := p.options.Queue == queue.FairSlack && p.inFlight >= whole(backgroundShare*total)
	w, ok := lane.Pop(urgentOnly)
	if !ok {
		return false
	}
	if w.gone {
		return true
	}
	s := p.choose(w.task)
	p.inFlight++
	s.inFlight++
	s.served++
	w.grant <- &Grant{Server: s.Address, Instance: s.Instance, Waited: now.Sub(w.since), pool: p, server: s}
	return true
}

// whole turns a share into calls: at least one, so that no node is shut out.
func whole(share float64) int {
	return max(int(math.Round(share)), 1)
}

// collect fills scratch with all candidates and returns the node's share of
// those that are usable, and how many calls more they may take.
func (p *Pool) collect(now time.Time, model string) (total float64, free int) {
	p.scratch = p.scratch[:0]
	ignoreEjection := p.belowFloor(now)
	for _, s := range p.list {
		c := s.candidate(now, p.options.Zone)
		c.Usable = !s.Leaving && s.holds(model) && (ignoreEjection || !s.ejected(now))
		if c.Usable {
			total += s.share()
			free += max(c.Limit-c.InFlight, 0)
		}
		p.scratch = append(p.scratch, c)
	}
	return total, free
}

// belowFloor reports whether so many servers are ejected that ejection must be
// passed over: the fault is then more likely here or common to all.
func (p *Pool) belowFloor(now time.Time) bool {
	in, ejected := 0, 0
	for _, s := range p.list {
		if s.Leaving {
			continue
		}
		in++
		if s.ejected(now) {
			ejected++
		}
	}
	return float64(in-ejected) < floor*float64(in)
}

// choose picks from scratch, in which at least one candidate is free.
func (p *Pool) choose(task Task) *server {
	if holders, ok := p.prefixes.Get(task.Prefix); ok && task.Prefix != 0 {
		for i, s := range p.list {
			p.scratch[i].Warm = slices.Contains(holders, s.Address)
		}
	}
	costs := choose.Costs{Work: task.Cost, Far: p.options.Far, Cold: p.options.Cold}
	avoided := p.avoid(task.Avoid)
	i := p.options.Choose(p.scratch, costs, p.random)
	if i < 0 {
		for _, a := range avoided {
			p.scratch[a].Usable = true
		}
		i = p.options.Choose(p.scratch, costs, p.random)
	}
	return p.list[i]
}

// avoid makes candidates unusable and returns which ones.
func (p *Pool) avoid(addresses []netip.AddrPort) []int {
	if len(addresses) == 0 {
		return nil
	}
	var avoided []int
	for i, s := range p.list {
		if p.scratch[i].Usable && slices.Contains(addresses, s.Address) {
			p.scratch[i].Usable = false
			avoided = append(avoided, i)
		}
	}
	return avoided
}
