// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/stageplan"
	"github.com/wingvale/wingvale/verdict"
)

// Driver speaks to stage servers.
type Driver interface {
	// RunBatch sends one call and returns an outcome for each item. Its error
	// bears a verdict; ReasonRefused says that the server was full.
	RunBatch(ctx context.Context, server stageplan.Server, items []stageplan.Item) ([]stageplan.Outcome, error)
	// Free gives up results of one server.
	Free(ctx context.Context, server stageplan.Server, handles []string) error
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
	// recheck is how soon servers whose calls are overdue are looked at again.
	recheck = 50 * time.Millisecond
)

// callTimes are the buckets of the histogram of calls: 20 ms to 5 s.
var callTimes = tally.MustMakeExponentialDurationBuckets(20*time.Millisecond, 1.6, 13)

// Pool owns the servers of one service. It is safe for concurrent use.
type Pool struct {
	driver Driver
	log    logrus.FieldLogger
	scope  tally.Scope
	ctx    context.Context

	// rest returns for how long a server wants nothing from this host.
	rest func(instance string) time.Duration

	mu        sync.Mutex
	scheduler *stageplan.Scheduler
	// cancels ends each call under way.
	cancels map[*stageplan.Call]context.CancelFunc
	// timed says that a later look is under way.
	timed bool
	// freeing has the results to give up next, by server.
	freeing map[netip.AddrPort][]string
	calls   sync.WaitGroup
	// toldAt is when long waits were last logged.
	toldAt time.Time
}

// newPool returns a pool whose calls end with ctx.
func newPool(ctx context.Context, spec stageplan.Spec, options Options) *Pool {
	return &Pool{
		driver:    options.Driver,
		log:       options.Log.WithField("pool", spec.Service),
		scope:     options.Scope,
		ctx:       ctx,
		rest:      options.Rest,
		cancels:   make(map[*stageplan.Call]context.CancelFunc),
		scheduler: stageplan.New(spec, options.Rest),
		freeing:   make(map[netip.AddrPort][]string),
	}
}

func (p *Pool) configure(spec stageplan.Spec, servers []stageplan.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Configure(spec, servers)
	p.kick()
}

// times returns how long new work waits, and how long calls take, roughly.
func (p *Pool) times() (waits stageplan.Queue, call time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Queue(time.Now()), p.scheduler.CallTime()
}

// run makes the pieces of w and returns a result for each, or why there is
// none.
func (p *Pool) run(ctx context.Context, w stageplan.Work) ([]stageplan.Result, stageplan.Failure) {
	p.mu.Lock()
	t := p.scheduler.Add(time.Now(), w)
	p.kick()
	p.mu.Unlock()
	late := time.NewTimer(time.Until(w.Deadline))
	defer late.Stop()
	select {
	case <-t.Done():
	case <-ctx.Done():
	case <-late.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Finish(stageplan.FailureLate)
	if ctx.Err() != nil {
		// A call whose last caller left is looked at from now on.
		p.kick()
	}
	if failure, _ := t.Ended(); failure != "" {
		p.free(t.TakeResults())
		return nil, failure
	}
	return t.Results(), ""
}

// kick sends what can be sent. The mutex must be held.
func (p *Pool) kick() {
	now := time.Now()
	late, again := p.scheduler.Overdue(now)
	for _, b := range late {
		p.abandon(now, b)
	}
	unwanted, more := p.scheduler.Unwanted(now)
	again = again || more
	for _, b := range unwanted {
		p.cancels[b]()
		p.scope.Counter("calls_unwanted").Inc(1)
	}
	for {
		b, ok := p.scheduler.Next(now)
		if !ok {
			break
		}
		again = true
		ctx, cancel := context.WithTimeout(p.ctx, callMost)
		p.cancels[b] = cancel
		p.calls.Go(func() { p.call(ctx, b) })
	}
	p.tell(now)
	if (again || !p.scheduler.Idle()) && !p.timed && p.ctx.Err() == nil {
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
	oldest := p.scheduler.Oldest(now)
	if oldest < tellAfter || now.Sub(p.toldAt) < tellEvery {
		return
	}
	p.toldAt = now
	p.log.WithFields(logrus.Fields{"oldest_ms": oldest.Milliseconds(), "pieces": p.scheduler.Pieces(), "servers": p.scheduler.Servers()}).
		Info("work waits long for stage servers")
}

// abandon ends a call whose answer is not waited for any more.
func (p *Pool) abandon(now time.Time, b *stageplan.Call) {
	p.cancels[b]()
	p.scope.Counter("calls_overdue").Inc(1)
	p.log.WithFields(logrus.Fields{
		"server": b.Server().Address, "instance": b.Server().Instance, "pieces": len(b.Items()),
		"took_ms": now.Sub(b.Began()).Milliseconds(), "expected_ms": b.Expected().Milliseconds(),
	}).Info("stage call overdue; its pieces go elsewhere")
}

func (p *Pool) call(ctx context.Context, b *stageplan.Call) {
	server, items := b.Server(), b.Items()
	p.scope.Counter("calls").Inc(1)
	p.scope.Counter("pieces").Inc(int64(len(items)))
	outcomes, err := p.driver.RunBatch(ctx, server, items)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancels[b]()
	delete(p.cancels, b)
	if b.Given() {
		return
	}
	p.scope.Histogram("call_seconds", callTimes).RecordDuration(now.Sub(b.Began()))
	if err == nil {
		p.free(p.scheduler.Finish(now, b, outcomes))
		p.kick()
		return
	}
	full := verdict.As(err).Reason == verdict.ReasonRefused
	if !full {
		p.log.WithError(err).WithFields(logrus.Fields{
			"server": server.Address, "instance": server.Instance, "pieces": len(items), "took": now.Sub(b.Began()),
		}).Warn("stage call failed; its pieces go elsewhere")
	}
	p.scope.Counter("calls_failed").Inc(1)
	p.scheduler.Refuse(now, b, full)
	p.kick()
}

// release gives up results, whoever made them.
func (p *Pool) release(results []stageplan.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free(results)
}

// free gathers results to give up. The mutex must be held.
func (p *Pool) free(results []stageplan.Result) {
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
	server, ok := p.scheduler.Server(address)
	if !ok || server.Unreachable || len(handles) == 0 {
		// Where nothing may be sent, results expire.
		p.mu.Unlock()
		return
	}
	if rest := p.rest(server.Instance); rest > 0 {
		p.freeing[address] = handles
		p.mu.Unlock()
		time.AfterFunc(rest, func() { p.flush(address) })
		return
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, freeFor)
	defer cancel()
	if err := p.driver.Free(ctx, server, handles); err != nil {
		p.log.WithError(err).WithField("server", address).Info("results could not be given up; they expire")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Release(address, handles)
	p.kick()
}

// State is what the dump shows of a pool.
type State struct {
	Waiting int                     `json:"waiting"`
	Servers []stageplan.ServerState `json:"servers"`
}

func (p *Pool) state() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{Waiting: p.scheduler.Pieces(), Servers: p.scheduler.Servers()}
}
