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

type waiter struct {
	task  Task
	since time.Time
	// grant holds one Grant at most.
	grant chan *Grant
	// gone says that nobody waits any more.
	gone bool
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

// Outcome is how a call went.
type Outcome struct {
	// Work is how long it took.
	Work time.Duration
	// Expected is what calls of its kind take, and Low what they take
	// undisturbed; 0 if not known.
	Expected time.Duration
	Low      time.Duration
	// Load is what the server reported with it.
	Load  protocol.Load
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
