// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"context"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/limit"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/queue"
	"github.com/wingvale/wingvale/verdict"
)

// waiter is a task in the queue.
type waiter struct {
	task       Task
	enqueuedAt time.Time
	// grant has a buffer for the one Grant that the task may get.
	grant chan *Grant
	// cancelled says that the caller has stopped waiting.
	cancelled bool
}

// Grant is the right to make one call. Done must be called once.
type Grant struct {
	Server netip.AddrPort
	// Instance is the run of the chosen server, or empty if unknown.
	Instance string
	// Waited is how long the task was in the queue.
	Waited time.Duration

	pool   *Pool
	server *server
}

// Acquire waits for a server. It fails with verdict.NotRun if the task's latest start
// passes, the queue is full, or ctx is done.
func (p *Pool) Acquire(ctx context.Context, task Task) (*Grant, error) {
	w, err := p.enqueue(task)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(task.Latest))
	defer timer.Stop()
	select {
	case g := <-w.grant:
		return g, nil
	case <-timer.C:
		return p.cancelWait(w, verdict.New(verdict.NotRun, verdict.ReasonDeadline, "dispatch: no server in time"))
	case <-ctx.Done():
		return p.cancelWait(w, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "dispatch: %w", context.Cause(ctx)))
	}
}

func (p *Pool) enqueue(task Task) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	modelQueue := p.modelQueues[task.Model]
	if modelQueue == nil {
		modelQueue = queue.New[*waiter](p.options.Queue)
		p.modelQueues[task.Model] = modelQueue
	}
	if modelQueue.Len() >= p.options.MaxWaiting {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "dispatch: %d calls wait already", modelQueue.Len())
	}
	w := &waiter{task: task, enqueuedAt: now, grant: make(chan *Grant, 1)}
	modelQueue.Push(w, task.Item)
	p.dispatch(now)
	return w, nil
}

// cancelWait marks w as cancelled and returns err, or returns the grant if one was given
// at the same moment.
func (p *Pool) cancelWait(w *waiter, err error) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case g := <-w.grant:
		return g, nil
	default:
		w.cancelled = true
		return nil, err
	}
}

// Outcome describes how a call ended.
type Outcome struct {
	// Work is how long the call took.
	Work time.Duration
	// Expected is the mean duration of calls of this kind, and Low their duration on an
	// idle server; 0 if unknown.
	Expected time.Duration
	Low      time.Duration
	// Load is the load report that came with the answer. It is valid only if Known is
	// set.
	Load  protocol.Load
	Known bool
	// Refused says that the server was full and did not start the call.
	Refused bool
	// Failed says that the call failed because of the server, and Unreachable that no
	// connection could be made.
	Failed      bool
	Unreachable bool
	// Ignored says that the outcome is no evidence about the server, for example after
	// a cancellation.
	Ignored bool
}

// Done ends the call, returns the server to the pool and records the outcome.
func (g *Grant) Done(o Outcome) {
	p, s := g.pool, g.server
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	current := p.measureOccupancy(now)
	s.inFlight--
	p.inFlight--
	if o.Known {
		p.applyLoad(s, now, o.Load)
	}
	p.recordOutcome(s, o, now, current)
	p.dispatch(now)
}

// measureOccupancy returns the node's share of the pool and whether the node could use
// more than that.
func (p *Pool) measureOccupancy(now time.Time) occupancy {
	o := occupancy{}
	for _, s := range p.active {
		if p.usable(s, now, "") {
			o.total += s.share()
		}
	}
	o.busy = p.inFlight >= wholeCalls(busyThreshold*o.total)
	for _, modelQueue := range p.modelQueues {
		o.busy = o.busy || modelQueue.Len() > 0
	}
	return o
}

// occupancy is how much of the pool the node may use and uses.
type occupancy struct {
	// total is the sum of the node's shares of the usable servers, in calls.
	total float64
	// busy says that most of it is in use or that calls are waiting.
	busy bool
}

// recordOutcome updates the health and the limit of s. The mutex must be held.
func (p *Pool) recordOutcome(s *server, o Outcome, now time.Time, current occupancy) {
	if o.Ignored {
		return
	}
	if o.Failed {
		s.recordFailure(now, o.Unreachable)
		return
	}
	if !o.Refused {
		s.recordSuccess()
	}
	sample := limit.Sample{Now: now, Work: o.Work, Low: o.Low, Mean: o.Expected, Refused: o.Refused, Busy: current.busy, Total: current.total}
	if o.Known {
		sample.Running, sample.Waiting, sample.Slots = o.Load.Running, o.Load.Waiting, o.Load.Slots
	}
	overloaded := 0.0
	if sample.Overloaded() {
		overloaded = 1
	}
	p.pressure += pressureSmoothing * (overloaded - p.pressure)
	sample.Pressure = p.pressure
	s.limit.Add(sample)
}
