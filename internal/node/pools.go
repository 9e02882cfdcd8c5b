// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/dispatch"
	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/published"
)

const (
	// pollIntervalIdle is how often a backend server that sends no answers is polled for its
	// load, pollIntervalEngine how often an engine is polled for its models, and
	// pollIntervalLoading the same while it has no models or loads one.
	pollIntervalIdle    = 2 * time.Second
	pollIntervalEngine  = 4 * time.Second
	pollIntervalLoading = time.Second
	pollTimeout         = 500 * time.Millisecond
	// maxPollsPerTick limits the polls of one tick, and with it the cost of polling,
	// regardless of the number of servers.
	maxPollsPerTick = 2
)

// pools has the dispatch pools of one node, created as the host list names them.
type pools struct {
	node *Node

	mu     sync.Mutex
	byName map[string]*dispatch.Pool
	// servers has the host entry of each backend server in use.
	servers map[netip.AddrPort]published.Host
	// pollOrder has the servers to poll, in round-robin order.
	pollOrder []netip.AddrPort
	// states has the last full report of each server.
	states map[netip.AddrPort]engineState
	// reportedAt is when an answer last included a load report.
	reportedAt map[netip.AddrPort]time.Time
	// cursors has the position in the cache events of each engine.
	cursors map[netip.AddrPort]cacheCursor
}

type engineState struct {
	protocol.EngineState
	// polledAt is when the server was last polled, answeredAt when it last answered.
	polledAt   time.Time
	answeredAt time.Time
}

// interval returns how often the server is to be polled.
func (s engineState) interval(role published.Role) time.Duration {
	if role != published.RoleEngine {
		return pollIntervalIdle
	}
	for _, m := range s.Models {
		if !m.Ready {
			return pollIntervalLoading
		}
	}
	if len(s.Models) == 0 {
		return pollIntervalLoading
	}
	return pollIntervalEngine
}

func newPools(n *Node) *pools {
	return &pools{
		node:       n,
		byName:     make(map[string]*dispatch.Pool),
		servers:    make(map[netip.AddrPort]published.Host),
		states:     make(map[netip.AddrPort]engineState),
		reportedAt: make(map[netip.AddrPort]time.Time),
		cursors:    make(map[netip.AddrPort]cacheCursor),
	}
}

// get returns the named pool, or nil if the host list has none.
func (p *pools) get(name string) *dispatch.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// host returns the backend server at address, if the node uses it.
func (p *pools) host(address netip.AddrPort) (published.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.servers[address]
	return h, ok
}

// hosts returns the backend servers that the node uses.
func (p *pools) hosts() map[netip.AddrPort]published.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.servers)
}

// refresh updates the pools from the host list and the fleet view.
func (p *pools) refresh() {
	n := p.node
	byPool := make(map[string][]published.Host)
	for _, h := range n.hosts.Values() {
		if h.Role != published.RoleEntry {
			byPool[h.Pool] = append(byPool[h.Pool], h)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = make(map[netip.AddrPort]published.Host)
	p.pollOrder = p.pollOrder[:0]
	for name, hosts := range byPool {
		p.refreshPool(name, p.subset(hosts))
	}
	for name, pool := range p.byName {
		if byPool[name] == nil {
			pool.SetServers(nil)
		}
	}
	unused := func(address netip.AddrPort) bool {
		_, ok := p.servers[address]
		return !ok
	}
	maps.DeleteFunc(p.states, func(address netip.AddrPort, _ engineState) bool { return unused(address) })
	maps.DeleteFunc(p.cursors, func(address netip.AddrPort, _ cacheCursor) bool { return unused(address) })
	maps.DeleteFunc(p.reportedAt, func(address netip.AddrPort, _ time.Time) bool { return unused(address) })
}

func (p *pools) refreshPool(name string, hosts []published.Host) {
	pool := p.byName[name]
	if pool == nil {
		pool = dispatch.New(p.options(name))
		p.byName[name] = pool
	}
	servers := make([]dispatch.Server, 0, len(hosts))
	for _, h := range hosts {
		p.servers[h.Address] = h
		p.pollOrder = append(p.pollOrder, h.Address)
		instance := h.Instance
		if s := p.states[h.Address]; s.Instance != "" {
			instance = s.Instance
		}
		servers = append(servers, dispatch.Server{
			Address:  h.Address,
			Zone:     h.Zone,
			Instance: instance,
			Leaving:  h.Leaving || p.node.view.IsLeaving(h.Address, instance),
		})
	}
	pool.SetNodesPerServer(p.sharers(len(hosts)))
	pool.SetServers(servers)
}

// sharers returns how many nodes use each server of a pool: all nodes for a small pool, and as
// many as the subsets imply for a large one.
func (p *pools) sharers(used int) int {
	nodes := len(p.node.liveNodes())
	if used < p.node.settings.MaxPoolServers {
		return nodes
	}
	return max(nodes*p.node.settings.MaxPoolServers/max(used, 1), 1)
}

func (p *pools) options(name string) dispatch.Options {
	policy := p.node.options.Policy
	return dispatch.Options{
		Zone:   p.node.settings.Zone,
		Choose: policy.Choose,
		Queue:  policy.Queue,
		Limit:  policy.Limit,
		Seed:   p.node.options.Seed ^ xxhash.Sum64String(name),
	}
}

// subset returns the servers of one pool that this node uses: all of a small pool, and those
// with the highest rendezvous scores for its address of a large one, so that an added or
// removed server affects few nodes.
func (p *pools) subset(hosts []published.Host) []published.Host {
	slices.SortFunc(hosts, func(a, b published.Host) int { return a.Address.Compare(b.Address) })
	count := p.node.settings.MaxPoolServers
	if len(hosts) <= count {
		return hosts
	}
	byAddress := make(map[netip.AddrPort]published.Host, len(hosts))
	addresses := make([]netip.AddrPort, 0, len(hosts))
	for _, h := range hosts {
		byAddress[h.Address] = h
		addresses = append(addresses, h.Address)
	}
	subset := make([]published.Host, 0, count)
	for _, a := range owner.Top(addresses, p.node.settings.Caller.String(), count) {
		subset = append(subset, byAddress[a])
	}
	return subset
}

// run keeps the pools up to date until ctx is cancelled.
func (p *pools) run(ctx context.Context) {
	var polling sync.WaitGroup
	polling.Go(func() { repeat(ctx, tickInterval, func() { p.poll(ctx) }) })
	leaving := 0
	repeat(ctx, tickInterval, func() {
		if now := len(p.node.view.Leaving()); now != leaving {
			leaving = now
			p.refresh()
		}
		p.tick()
	})
	polling.Wait()
}

// repeat calls do repeatedly, with interval between the calls, until ctx is cancelled.
func repeat(ctx context.Context, interval time.Duration, do func()) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		do()
		timer.Reset(interval)
	}
}

func (p *pools) tick() {
	for _, pool := range p.all() {
		pool.Tick(time.Now())
	}
}

// poll polls the next few servers that have not reported recently.
func (p *pools) poll(ctx context.Context) {
	var polls sync.WaitGroup
	for _, h := range p.nextPolls(time.Now()) {
		polls.Go(func() { p.pollServer(ctx, h) })
	}
	polls.Wait()
}

func (p *pools) nextPolls(now time.Time) []published.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []published.Host
	for range p.pollOrder {
		address := p.pollOrder[0]
		p.pollOrder = append(p.pollOrder[1:], address)
		if !p.isDue(address, now) {
			continue
		}
		s := p.states[address]
		s.polledAt = now
		p.states[address] = s
		due = append(due, p.servers[address])
		if len(due) == maxPollsPerTick {
			break
		}
	}
	return due
}

func (p *pools) isDue(address netip.AddrPort, now time.Time) bool {
	role := p.servers[address].Role
	s := p.states[address]
	last := s.polledAt
	if reportedAt := p.reportedAt[address]; role != published.RoleEngine && reportedAt.After(last) {
		last = reportedAt
	}
	return now.Sub(last) >= s.interval(role)
}

// recordReport records that an answer included a load report.
func (p *pools) recordReport(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportedAt[address] = time.Now()
}

func (p *pools) pollServer(ctx context.Context, h published.Host) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state, err := p.node.backends.State(ctx, backend.Call{Server: h.Address})
	if err != nil {
		return
	}
	p.observeState(h, state)
	if h.Role == published.RoleEngine {
		p.readCacheEvents(ctx, h, state.Instance)
	}
}

// cacheCursor is the position in the cache events of one engine instance.
type cacheCursor struct {
	instance string
	after    uint64
}

// readCacheEvents reads an engine's cache events. They arrive late and have gaps, so they are
// only a preference when choosing a server.
func (p *pools) readCacheEvents(ctx context.Context, h published.Host, instance string) {
	p.mu.Lock()
	cursor := p.cursors[h.Address]
	pool := p.byName[h.Pool]
	p.mu.Unlock()
	if cursor.instance != instance {
		cursor = cacheCursor{instance: instance}
	}
	seen, err := p.node.backends.CacheEvents(ctx, h.Address, cursor.after)
	if err != nil || pool == nil {
		return
	}
	for _, e := range seen.Events {
		pool.SetPrefixHolder(e.Prefix, h.Address, e.Stored)
	}
	cursor.after = seen.Next
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cursors[h.Address] = cursor
}

// observeState applies the full report of a server.
func (p *pools) observeState(h published.Host, state protocol.EngineState) {
	p.mu.Lock()
	before := p.states[h.Address].Instance
	now := time.Now()
	p.states[h.Address] = engineState{EngineState: state, polledAt: now, answeredAt: now}
	p.mu.Unlock()
	if before != state.Instance {
		// Whether the server counts as leaving depends on its instance.
		p.refresh()
	}
	p.observe(h, state.Load(), modelsOf(h, state))
}

func modelsOf(h published.Host, state protocol.EngineState) map[string]bool {
	if h.Role != published.RoleEngine {
		return nil
	}
	models := make(map[string]bool, len(state.Models))
	for _, m := range state.Models {
		if m.Ready {
			models[m.Model] = true
		}
	}
	return models
}

// observe applies the load report of a server.
func (p *pools) observe(h published.Host, load protocol.Load, models map[string]bool) {
	if load.Leaving {
		p.node.MarkServerLeaving(h.Address, load.Instance)
	}
	if pool := p.get(h.Pool); pool != nil {
		pool.Observe(h.Address, load, models)
	}
}

// state returns the last full report of an engine and when it arrived.
func (p *pools) state(address netip.AddrPort) (protocol.EngineState, time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[address]
	return s.EngineState, s.answeredAt, ok && s.Instance != ""
}

// MarkServerLeaving records that a backend server is leaving; the next heartbeats spread it to the
// whole fleet.
func (n *Node) MarkServerLeaving(address netip.AddrPort, instance string) {
	if n.view.MarkLeaving(time.Now(), fleet.LeavingServer{Address: address, Instance: instance}) {
		n.log.WithField("server", address).Info("backend server is leaving")
		n.pools.refresh()
	}
}

// all returns the pools by name.
func (p *pools) all() map[string]*dispatch.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.byName)
}
