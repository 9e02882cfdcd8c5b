// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/choose"
	"github.com/wingvale/wingvale/internal/limit"
	"github.com/wingvale/wingvale/internal/queue"
	"github.com/wingvale/wingvale/verdict"
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
	sharers  int
	prefixes *lru.Cache[uint64, netip.AddrPort]
	random   *rand.Rand
	scratch  []choose.Candidate
}

type share struct {
	work   time.Duration
	weight int
	count  int
}

type waiter struct {
	task  Task
	since time.Time
	// grant holds one Grant at most.
	grant chan *Grant
	// gone says that nobody waits any more.
	gone bool
}

// New returns a pool without servers.
func New(options Options) *Pool {
	if options.Choose == nil {
		options.Choose = choose.LeastTime
	}
	if options.Far <= 0 {
		options.Far = DefaultFar
	}
	if options.Cold <= 0 {
		options.Cold = DefaultCold
	}
	if options.MaxWaiting <= 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	// The size is a constant above 0, so New cannot fail.
	prefixes, _ := lru.New[uint64, netip.AddrPort](maxPrefixes)
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
func (p *Pool) Observe(address netip.AddrPort, load backend.Load, models map[string]bool) {
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

// Warm notes that a server holds a prompt's prefix.
func (p *Pool) Warm(prefix uint64, address netip.AddrPort) {
	p.prefixes.Add(prefix, address)
}

func (p *Pool) report(s *server, now time.Time, load backend.Load) {
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

// Commit counts work of an admitted request that will come here, until the
// returned function is called.
func (p *Pool) Commit(workspace string, weight int, work time.Duration) (settle func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.committed[workspace]
	if own == nil {
		own = &share{}
		p.committed[workspace] = own
		own.weight = weight
	}
	own.work += work
	own.count++
	p.total.work += work
	p.total.count++
	return sync.OnceFunc(func() { p.settle(workspace, work) })
}

func (p *Pool) settle(workspace string, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.committed[workspace]
	own.work -= work
	own.count--
	p.total.work -= work
	p.total.count--
	if own.count == 0 {
		delete(p.committed, workspace)
	}
}

// Forecast is how long a call would wait.
type Forecast struct {
	Wait time.Duration
	// Share is how many calls the node may have in flight; 0 says that no
	// server can take the call.
	Share float64
}

// Predict returns how long a call of workspace would wait before it starts,
// with what is committed already and the share that the workspace has.
func (p *Pool) Predict(workspace string, weight int, model string, work time.Duration) Forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	total, _ := p.collect(time.Now(), model)
	if total == 0 {
		return Forecast{}
	}
	total = max(total, 1)
	free := max(total-float64(p.inFlight), 0)
	// With n calls under way one ends every n-th part of a call's time; the
	// new call starts after those ahead of it and one more have ended.
	ahead := p.ahead(workspace, weight, work).Seconds() + (1-free)*work.Seconds()
	return Forecast{Wait: time.Duration(max(ahead, 0) / total * float64(time.Second)), Share: total}
}

// ahead is the committed work that is served before a new call of workspace.
// Fair shares let every other workspace have, for each unit of weight, as much
// as this one has, and no workspace has more than it committed.
func (p *Pool) ahead(workspace string, weight int, work time.Duration) time.Duration {
	if p.options.Queue == queue.Arrival {
		return p.total.work
	}
	own := time.Duration(0)
	if s := p.committed[workspace]; s != nil {
		own = s.work
	}
	perWeight := float64(own+work/2) / float64(max(weight, 1))
	ahead := own
	for name, s := range p.committed {
		if name != workspace {
			ahead += min(s.work, time.Duration(perWeight*float64(s.weight)))
		}
	}
	return ahead
}

func (p *Pool) usable(s *server, now time.Time, model string) bool {
	return !s.Leaving && !s.ejected(now) && s.holds(model)
}

// Grant is the right to make one call. Done must be called once.
type Grant struct {
	Server netip.AddrPort
	// Instance is the run of the server that was chosen; empty if not known.
	Instance string
	// Waited is how long the task was in the queue.
	Waited time.Duration

	pool   *Pool
	server *server
}

// Acquire waits for a server. It fails with NotRun, once the task's latest
// start has passed, the queue is full, or ctx ends.
func (p *Pool) Acquire(ctx context.Context, task Task) (*Grant, error) {
	w, err := p.enqueue(task)
	if err != nil {
		return nil, err
	}
	late := time.NewTimer(time.Until(task.Latest))
	defer late.Stop()
	select {
	case g := <-w.grant:
		return g, nil
	case <-late.C:
		return p.giveUp(w, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "dispatch: no server in time"))
	case <-ctx.Done():
		return p.giveUp(w, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "dispatch: %w", context.Cause(ctx)))
	}
}

func (p *Pool) enqueue(task Task) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	lane := p.lanes[task.Model]
	if lane == nil {
		lane = queue.New[*waiter](p.options.Queue)
		p.lanes[task.Model] = lane
	}
	if lane.Len() >= p.options.MaxWaiting {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "dispatch: %d calls wait already", lane.Len())
	}
	w := &waiter{task: task, since: now, grant: make(chan *Grant, 1)}
	lane.Push(w, task.Item)
	p.dispatch(now)
	return w, nil
}

// giveUp takes a waiter out. A grant that came at the same moment is used.
func (p *Pool) giveUp(w *waiter, err error) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.grant:
		return g, nil
	default:
		w.gone = true
		return nil, err
	}
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
	if w.task.Prefix != 0 {
		p.prefixes.Add(w.task.Prefix, s.Address)
	}
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
	if warm, ok := p.prefixes.Get(task.Prefix); ok && task.Prefix != 0 {
		for i, s := range p.list {
			p.scratch[i].Warm = s.Address == warm
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

// Outcome is how a call went.
type Outcome struct {
	// Work is how long it took.
	Work time.Duration
	// Expected is what calls of its kind take, and Low what they take
	// undisturbed; 0 if not known.
	Expected time.Duration
	Low      time.Duration
	// Load is what the server reported with it.
	Load  backend.Load
	Known bool
	// Refused says that the server was full and did not start the call.
	Refused bool
	// Failed says that the server is to blame for a failure, and Unreachable
	// that it could not be connected to.
	Failed      bool
	Unreachable bool
	// Ignored says that nothing can be learned, as after a cancellation.
	Ignored bool
}

// Done gives the server back.
func (g *Grant) Done(o Outcome) {
	p, s := g.pool, g.server
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	busy := p.busy(now)
	s.inFlight--
	p.inFlight--
	if o.Known {
		p.report(s, now, o.Load)
	}
	p.learn(s, o, now, busy)
	p.dispatch(now)
}

// busy returns what the node has of the pool, and whether it could use more.
func (p *Pool) busy(now time.Time) occupancy {
	o := occupancy{}
	for _, s := range p.list {
		if p.usable(s, now, "") {
			o.total += s.share()
		}
	}
	o.busy = p.inFlight >= whole(busyShare*o.total)
	for _, lane := range p.lanes {
		o.busy = o.busy || lane.Len() > 0
	}
	return o
}

type occupancy struct {
	total float64
	busy  bool
}

func (p *Pool) learn(s *server, o Outcome, now time.Time, has occupancy) {
	if o.Ignored {
		return
	}
	if o.Failed {
		s.failed(now, o.Unreachable)
		return
	}
	if !o.Refused {
		s.succeeded()
	}
	sample := limit.Sample{Now: now, Work: o.Work, Low: o.Low, Mean: o.Expected, Refused: o.Refused, Busy: has.busy, Total: has.total}
	if o.Known {
		sample.Running, sample.Waiting, sample.Slots = o.Load.Running, o.Load.Waiting, o.Load.Slots
	}
	met := 0.0
	if sample.Overloaded() {
		met = 1
	}
	p.pressure += pressureGain * (met - p.pressure)
	sample.Pressure = p.pressure
	s.limit.Add(sample)
}

// ServerState is what the dump shows of one server.
type ServerState struct {
	Address  netip.AddrPort `json:"address"`
	Zone     string         `json:"zone"`
	Leaving  bool           `json:"leaving"`
	Ejected  bool           `json:"ejected"`
	InFlight int            `json:"in_flight"`
	Limit    float64        `json:"limit"`
	Slots    int            `json:"slots"`
	Slowdown float64        `json:"slowdown"`
	Served   int            `json:"served"`
	Models   []string       `json:"models,omitempty"`
}

// State is what the dump shows of a pool.
type State struct {
	Waiting   int           `json:"waiting"`
	InFlight  int           `json:"in_flight"`
	Committed time.Duration `json:"committed_ns"`
	Servers   []ServerState `json:"servers"`
}

// State returns at most limit servers.
func (p *Pool) State(limit int) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	state := State{InFlight: p.inFlight, Committed: p.total.work}
	for _, lane := range p.lanes {
		state.Waiting += lane.Len()
	}
	for _, s := range p.list[:min(limit, len(p.list))] {
		state.Servers = append(state.Servers, ServerState{
			Address:  s.Address,
			Zone:     s.Zone,
			Leaving:  s.Leaving,
			Ejected:  s.ejected(now),
			InFlight: s.inFlight,
			Limit:    s.share(),
			Slots:    s.slots,
			Slowdown: s.limit.Slowdown(),
			Served:   s.served,
			Models:   slices.Sorted(maps.Keys(s.models)),
		})
	}
	return state
}
