// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/verdict"
)

// Driver speaks to stage servers.
type Driver interface {
	// RunBatch sends one call and returns an outcome for each item. Its error
	// bears a verdict; ReasonRefused says that the server was full.
	RunBatch(ctx context.Context, server Server, items []Item) ([]Outcome, error)
	// Free gives up results of one server.
	Free(ctx context.Context, server Server, handles []string) error
}

const (
	// callMost bounds one call, whatever its server says: no stage is of use
	// after that.
	callMost = 5 * time.Second
	// freeDelay gathers results to give up in one call; freeFor bounds it.
	freeDelay = 15 * time.Millisecond
	freeFor   = time.Second
	// tellAfter is from which wait on the state of a pool is logged, at most
	// each tellEvery.
	tellAfter = 500 * time.Millisecond
	tellEvery = time.Second
)

// callTimes are the buckets of the histogram of calls: 20 ms to 5 s.
var callTimes = tally.MustMakeExponentialDurationBuckets(20*time.Millisecond, 1.6, 13)

// Pool owns the servers of one service. It is safe for concurrent use.
type Pool struct {
	driver Driver
	log    logrus.FieldLogger
	scope  tally.Scope
	ctx    context.Context

	mu        sync.Mutex
	scheduler *scheduler
	// timed says that a later look is under way.
	timed bool
	// freeing has the results to give up next, by server.
	freeing map[netip.AddrPort][]string
	calls   sync.WaitGroup
	// toldAt is when long waits were last logged.
	toldAt time.Time
}

// newPool returns a pool whose calls end with ctx.
func newPool(ctx context.Context, spec Spec, options Options) *Pool {
	return &Pool{
		driver:    options.Driver,
		log:       options.Log.WithField("pool", spec.Service),
		scope:     options.Scope,
		ctx:       ctx,
		scheduler: newScheduler(spec, options.Rest),
		freeing:   make(map[netip.AddrPort][]string),
	}
}

func (p *Pool) configure(spec Spec, servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.spec = spec
	p.scheduler.setServers(servers)
	p.kick()
}

// times returns how long new work waits, and how long calls take, roughly.
func (p *Pool) times() (waits Queue, call time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.queue(time.Now()), p.scheduler.callTime()
}

// run makes the pieces of w and returns a result for each, or why there is
// none.
func (p *Pool) run(ctx context.Context, w Work) ([]Result, Failure) {
	p.mu.Lock()
	t := p.scheduler.add(time.Now(), w)
	p.kick()
	p.mu.Unlock()
	late := time.NewTimer(time.Until(w.Deadline))
	defer late.Stop()
	select {
	case <-t.done:
	case <-ctx.Done():
	case <-late.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.finish(FailureLate)
	if ctx.Err() != nil {
		// A call whose last caller left is looked at from now on.
		p.kick()
	}
	if t.failure != "" {
		p.free(t.takeResults())
		return nil, t.failure
	}
	return t.results, ""
}

// kick sends what can be sent. The mutex must be held.
func (p *Pool) kick() {
	now := time.Now()
	late, again := p.scheduler.overdue(now)
	for _, b := range late {
		p.abandon(now, b)
	}
	unwanted, more := p.scheduler.unwanted(now)
	again = again || more
	for _, b := range unwanted {
		b.cancel()
		p.scope.Counter("calls_unwanted").Inc(1)
	}
	for {
		b := p.scheduler.next(now)
		if b == nil {
			break
		}
		again = true
		ctx, cancel := context.WithTimeout(p.ctx, callMost)
		b.cancel = cancel
		p.calls.Go(func() { p.call(ctx, b) })
	}
	p.tell(now)
	if (again || len(p.scheduler.waiting) > 0) && !p.timed && p.ctx.Err() == nil {
		p.timed = true
		time.AfterFunc(recheck, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.timed = false
			p.kick()
		})
	}
}

// tell logs now and then that work waits long, and what its servers do. The
// mutex must be held.
func (p *Pool) tell(now time.Time) {
	oldest := p.scheduler.oldest(now)
	if oldest < tellAfter || now.Sub(p.toldAt) < tellEvery {
		return
	}
	p.toldAt = now
	p.log.WithFields(logrus.Fields{"oldest_ms": oldest.Milliseconds(), "pieces": p.scheduler.pieces(), "servers": p.stateLocked().Servers}).
		Info("work waits long for stage servers")
}

// abandon ends a call whose answer is not waited for any more.
func (p *Pool) abandon(now time.Time, b *batch) {
	b.cancel()
	p.scope.Counter("calls_overdue").Inc(1)
	p.log.WithFields(logrus.Fields{
		"server": b.server.Address, "instance": b.server.Instance, "pieces": len(b.items),
		"took_ms": now.Sub(b.began).Milliseconds(), "expected_ms": b.expected.Milliseconds(),
	}).Info("stage call overdue; its pieces go elsewhere")
}

func (p *Pool) call(ctx context.Context, b *batch) {
	defer b.cancel()
	items := make([]Item, 0, len(b.items))
	for _, s := range b.items {
		t := s.task
		items = append(items, Item{
			Request: t.Request,
			Stage:   t.Stage,
			Piece:   t.Pieces[s.position],
			Key:     t.Key,
			Inputs:  t.Inputs,
			Left:    t.Deadline.Sub(b.began),
		})
	}
	p.scope.Counter("calls").Inc(1)
	p.scope.Counter("pieces").Inc(int64(len(items)))
	outcomes, err := p.driver.RunBatch(ctx, b.target, items)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.abandoned || b.cut {
		return
	}
	p.scope.Histogram("call_seconds", callTimes).RecordDuration(now.Sub(b.began))
	if err == nil {
		p.free(p.scheduler.finished(now, b, outcomes))
		p.kick()
		return
	}
	full := verdict.As(err).Reason == verdict.ReasonRefused
	if !full {
		p.log.WithError(err).WithFields(logrus.Fields{
			"server": b.server.Address, "instance": b.server.Instance, "pieces": len(items), "took": now.Sub(b.began),
		}).Warn("stage call failed; its pieces go elsewhere")
	}
	p.scope.Counter("calls_failed").Inc(1)
	p.scheduler.refused(now, b, full)
	p.kick()
}

// release gives up results, whoever made them.
func (p *Pool) release(results []Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free(results)
}

// free gathers results to give up. The mutex must be held.
func (p *Pool) free(results []Result) {
	for _, r := range results {
		list, waits := p.freeing[r.Server]
		p.freeing[r.Server] = append(list, r.Handle)
		if !waits && p.ctx.Err() == nil {
			time.AfterFunc(freeDelay, func() { p.flush(r.Server) })
		}
	}
}

func (p *Pool) flush(address netip.AddrPort) {
	p.mu.Lock()
	handles := p.freeing[address]
	delete(p.freeing, address)
	state := p.scheduler.servers[address]
	if state == nil || state.Unreachable || len(handles) == 0 {
		// Where nothing may be sent, results expire.
		p.mu.Unlock()
		return
	}
	if rest := p.scheduler.rest(state.Instance); rest > 0 {
		p.freeing[address] = handles
		p.mu.Unlock()
		time.AfterFunc(rest, func() { p.flush(address) })
		return
	}
	server := state.Server
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, freeFor)
	defer cancel()
	if err := p.driver.Free(ctx, server, handles); err != nil {
		p.log.WithError(err).WithField("server", address).Info("results could not be given up; they expire")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.released(address, handles)
	p.kick()
}

// State is what the dump shows of a pool.
type State struct {
	Waiting int           `json:"waiting"`
	Servers []ServerState `json:"servers"`
}

// ServerState is what the dump shows of a stage server.
type ServerState struct {
	Address  netip.AddrPort `json:"address"`
	Instance string         `json:"instance"`
	Running  int            `json:"running"`
	Used     int64          `json:"used_bytes"`
	Factor   float64        `json:"factor"`
	Failures int            `json:"failures"`
}

func (p *Pool) state() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stateLocked()
}

func (p *Pool) stateLocked() State {
	state := State{Waiting: p.scheduler.pieces()}
	for _, s := range p.scheduler.servers {
		state.Servers = append(state.Servers, ServerState{
			Address: s.Address, Instance: s.Instance, Running: len(s.running), Used: s.used, Factor: s.factor, Failures: s.failures,
		})
	}
	slices.SortFunc(state.Servers, func(a, b ServerState) int { return a.Address.Compare(b.Address) })
	return state
}
