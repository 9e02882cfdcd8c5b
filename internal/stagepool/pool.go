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

// Driver sends calls to stage servers.
type Driver interface {
	// RunBatch sends one call and returns an outcome for each item. Its error carries a
	// verdict; verdict.ReasonRefused means that the server was full.
	RunBatch(ctx context.Context, server stageplan.Server, items []stageplan.Item) ([]stageplan.Outcome, error)
	// Free frees results that one server holds.
	Free(ctx context.Context, server stageplan.Server, handles []string) error
}

const (
	// maxCallTime is the timeout of one call, whatever time its server is expected to
	// need: no stage result is useful after that.
	maxCallTime = 5 * time.Second
	// freeDelay is how long results are collected so that one call frees them together.
	// freeTimeout is the timeout of that call.
	freeDelay   = 15 * time.Millisecond
	freeTimeout = time.Second
	// longWait is the age of the oldest waiting work from which the state of the pool is
	// logged, at most once per longWaitLogInterval.
	longWait            = 500 * time.Millisecond
	longWaitLogInterval = time.Second
	// recheckInterval is the interval between checks for overdue calls.
	recheckInterval = 50 * time.Millisecond
)

// callTimeBuckets are the buckets of the histogram of call durations, 20 ms to 5 s.
var callTimeBuckets = tally.MustMakeExponentialDurationBuckets(20*time.Millisecond, 1.6, 13)

// Pool schedules work on the servers of one shard of a service. It is safe for concurrent
// use.
type Pool struct {
	driver Driver
	log    logrus.FieldLogger
	scope  tally.Scope
	ctx    context.Context

	// rest returns for how long this host must send nothing to a server. permit asks for
	// permission to send one call.
	rest   func(instance string) time.Duration
	permit func(ctx context.Context, instance string) bool

	mu        sync.Mutex
	scheduler *stageplan.Scheduler
	// cancels holds the cancel function of each call in flight.
	cancels map[*stageplan.Call]context.CancelFunc
	// recheckPending says that a timer will call dispatch.
	recheckPending bool
	// pendingFree holds the handles of the results to free next, by server.
	pendingFree map[netip.AddrPort][]string
	calls       sync.WaitGroup
	// longWaitLoggedAt is when a long wait was last logged.
	longWaitLoggedAt time.Time
}

// newPool returns a pool without servers. Its calls are cancelled when ctx is done.
func newPool(ctx context.Context, spec stageplan.Spec, options Options) *Pool {
	return &Pool{
		driver:      options.Driver,
		log:         options.Log.WithField("pool", spec.Service),
		scope:       options.Scope,
		ctx:         ctx,
		rest:        options.Rest,
		permit:      options.Permit,
		cancels:     make(map[*stageplan.Call]context.CancelFunc),
		scheduler:   stageplan.New(spec, options.Rest),
		pendingFree: make(map[netip.AddrPort][]string),
	}
}

func (p *Pool) configure(spec stageplan.Spec, servers []stageplan.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Configure(spec, servers)
	p.dispatch()
}

// backlog returns the current load of the pool.
func (p *Pool) backlog() Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	b := Backlog{Waits: p.scheduler.QueueWaits(now), CallTime: p.scheduler.CallTime(), MeasuredAt: now}
	if p.scheduler.Spec().LoadAware {
		b.Rate, b.LateWait, b.Ahead = p.scheduler.Rate(now), p.scheduler.LateWait(now), p.scheduler.Announced(now)
	}
	return b
}

// recordLoad records the load that a run of a server reports.
func (p *Pool) recordLoad(instance string, address netip.AddrPort, load stageplan.ReportedLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.scheduler.RecordLoad(time.Now(), instance, address, load) {
	case stageplan.LoadChangeBusy:
		p.scope.Counter("servers_busy_elsewhere").Inc(1)
	case stageplan.LoadChangeFree:
		p.dispatch()
	case stageplan.LoadChangeNone:
	}
}

// run executes the pieces of w and returns a result for each piece, or the reason of the
// failure. The answer has the times of the work in load-aware pools only.
func (p *Pool) run(ctx context.Context, w stageplan.Work) Answer {
	p.mu.Lock()
	t := p.scheduler.Add(time.Now(), w)
	p.dispatch()
	p.mu.Unlock()
	timer := time.NewTimer(time.Until(w.Deadline))
	defer timer.Stop()
	select {
	case <-t.Done():
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Finish(stageplan.FailureLate)
	if ctx.Err() != nil {
		// Calls whose callers have all been cancelled are now unwanted.
		p.dispatch()
	}
	var answer Answer
	if p.scheduler.Spec().LoadAware {
		answer.Times = t.Times(time.Now())
	}
	if answer.Failure, _ = t.Ended(); answer.Failure != "" {
		p.enqueueFree(t.TakeResults())
		return answer
	}
	answer.Results = t.Results()
	return answer
}

// dispatch lets the pieces of overdue calls be sent again, cancels unwanted calls, and sends calls
// while the scheduler has any. It schedules another run while work is left. The mutex must be held.
func (p *Pool) dispatch() {
	now := time.Now()
	overdue, recheckNeeded := p.scheduler.ResendOverdue(now)
	for _, c := range overdue {
		p.recordOverdue(now, c)
	}
	unwanted, moreUnwanted := p.scheduler.CancelUnwanted(now)
	recheckNeeded = recheckNeeded || moreUnwanted
	for _, c := range unwanted {
		p.cancels[c]()
		p.scope.Counter("calls_unwanted").Inc(1)
	}
	for {
		c, ok := p.scheduler.Next(now)
		if !ok {
			break
		}
		recheckNeeded = true
		ctx, cancel := context.WithTimeout(p.ctx, maxCallTime)
		p.cancels[c] = cancel
		p.calls.Go(func() { p.call(ctx, c) })
	}
	p.logLongWait(now)
	if (recheckNeeded || !p.scheduler.Idle()) && !p.recheckPending && p.ctx.Err() == nil {
		p.recheckPending = true
		time.AfterFunc(recheckInterval, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.recheckPending = false
			p.dispatch()
		})
	}
}

// logLongWait logs the state of the servers if work has been waiting for longWait, at most
// once per longWaitLogInterval. The mutex must be held.
func (p *Pool) logLongWait(now time.Time) {
	oldest := p.scheduler.OldestWait(now)
	if oldest < longWait || now.Sub(p.longWaitLoggedAt) < longWaitLogInterval {
		return
	}
	p.longWaitLoggedAt = now
	p.log.WithFields(logrus.Fields{"oldest_ms": oldest.Milliseconds(), "pieces": p.scheduler.Pieces(), "servers": p.scheduler.Servers()}).
		Info("long wait for stage servers")
}

// recordOverdue records an overdue call, whose pieces the scheduler has rescheduled.
func (p *Pool) recordOverdue(now time.Time, c *stageplan.Call) {
	p.scope.Counter("calls_overdue").Inc(1)
	p.log.WithFields(logrus.Fields{
		"server": c.Server().Address, "instance": c.Server().Instance, "pieces": len(c.Items()),
		"took_ms": now.Sub(c.StartedAt()).Milliseconds(), "expected_ms": c.Expected().Milliseconds(),
	}).Info("stage call overdue; rescheduling its pieces")
}

// call sends one call and reports its outcome to the scheduler.
func (p *Pool) call(ctx context.Context, c *stageplan.Call) {
	server, items := c.Server(), c.Items()
	if !p.permit(ctx, server.Instance) {
		p.withdraw(c)
		return
	}
	p.scope.Counter("calls").Inc(1)
	p.scope.Counter("pieces").Inc(int64(len(items)))
	outcomes, err := p.driver.RunBatch(ctx, server, items)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancels[c]()
	delete(p.cancels, c)
	if c.Abandoned() {
		return
	}
	p.scope.Histogram("call_seconds", callTimeBuckets).RecordDuration(now.Sub(c.StartedAt()))
	if err == nil {
		p.enqueueFree(p.scheduler.Finish(now, c, outcomes))
		p.dispatch()
		return
	}
	full := verdict.As(err).Reason == verdict.ReasonRefused
	if !full {
		p.log.WithError(err).WithFields(logrus.Fields{
			"server": server.Address, "instance": server.Instance, "pieces": len(items), "took": now.Sub(c.StartedAt()),
		}).Warn("stage call failed; rescheduling its pieces")
	}
	p.scope.Counter("calls_failed").Inc(1)
	p.scheduler.Refuse(now, c, full)
	p.dispatch()
}

// withdraw returns the pieces of a call that may not be sent to the scheduler.
func (p *Pool) withdraw(c *stageplan.Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancels[c]()
	delete(p.cancels, c)
	p.scope.Counter("calls_withdrawn").Inc(1)
	p.scheduler.Withdraw(c)
	p.dispatch()
}

// release frees results that may have been produced for any host.
func (p *Pool) release(results []stageplan.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enqueueFree(results)
}

// enqueueFree adds results to pendingFree. The mutex must be held.
func (p *Pool) enqueueFree(results []stageplan.Result) {
	for _, r := range results {
		list, scheduled := p.pendingFree[r.Server]
		p.pendingFree[r.Server] = append(list, r.Handle)
		if !scheduled && p.ctx.Err() == nil {
			time.AfterFunc(freeDelay, func() { p.flushFree(r.Server) })
		}
	}
}

// flushFree frees the pending results of one server in one call, after the server's rest
// if it has asked for one.
func (p *Pool) flushFree(address netip.AddrPort) {
	p.mu.Lock()
	handles := p.pendingFree[address]
	delete(p.pendingFree, address)
	server, ok := p.scheduler.Server(address)
	if !ok || server.Evacuated || len(handles) == 0 {
		// The results expire on a server that nothing can be sent to.
		p.mu.Unlock()
		return
	}
	if rest := p.rest(server.Instance); rest > 0 {
		p.postponeFree(address, handles, rest)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.ctx, freeTimeout)
	defer cancel()
	if !p.permit(ctx, server.Instance) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.postponeFree(address, handles, max(p.rest(server.Instance), freeDelay))
		return
	}
	if err := p.driver.Free(ctx, server, handles); err != nil {
		p.log.WithError(err).WithField("server", address).Info("freeing results failed; they will expire")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.Release(address, handles)
	p.dispatch()
}

// postponeFree adds handles to pendingFree again, to be freed after wait. The mutex must be held.
func (p *Pool) postponeFree(address netip.AddrPort, handles []string, wait time.Duration) {
	list, scheduled := p.pendingFree[address]
	p.pendingFree[address] = append(list, handles...)
	if !scheduled && p.ctx.Err() == nil {
		time.AfterFunc(wait, func() { p.flushFree(address) })
	}
}

// State is the state of a pool in the diagnostic dump.
type State struct {
	Waiting int                     `json:"waiting"`
	Servers []stageplan.ServerState `json:"servers"`
}

func (p *Pool) state() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return State{Waiting: p.scheduler.Pieces(), Servers: p.scheduler.Servers()}
}
