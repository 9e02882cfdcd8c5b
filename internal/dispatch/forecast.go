// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/queue"
)

// commitment is the work that admitted requests of one workspace will bring to the pool.
type commitment struct {
	work   time.Duration
	weight int
	count  int
}

// Commit counts the work that an admitted request will bring to the pool, so that
// Predict includes it. The caller must call release once when that work has started
// or will not come.
func (p *Pool) Commit(workspace string, weight int, work time.Duration) (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.committed[workspace]
	if own == nil {
		own = &commitment{}
		p.committed[workspace] = own
		own.weight = weight
	}
	own.work += work
	own.count++
	p.totalCommitted.work += work
	p.totalCommitted.count++
	return sync.OnceFunc(func() { p.releaseCommitted(workspace, work) })
}

func (p *Pool) releaseCommitted(workspace string, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := p.committed[workspace]
	own.work -= work
	own.count--
	p.totalCommitted.work -= work
	p.totalCommitted.count--
	if own.count == 0 {
		delete(p.committed, workspace)
	}
}

// Forecast is a prediction of the queueing delay of a call.
type Forecast struct {
	// Wait is the expected time in the queue.
	Wait time.Duration
	// Share is how many calls the node may have in flight at the pool. It is 0 if no
	// server can take the call.
	Share float64
}

// Predict returns how long a new call of workspace would wait before it starts, given
// the committed work and the workspace's fair share.
func (p *Pool) Predict(workspace string, weight int, model string, work time.Duration) Forecast {
	p.mu.Lock()
	defer p.mu.Unlock()
	total, _ := p.collectCandidates(time.Now(), model)
	if total == 0 {
		return Forecast{}
	}
	total = max(total, 1)
	free := max(total-float64(p.inFlight), 0)
	// With n calls in flight, one ends every 1/n of a call's duration. The new call
	// starts after the calls ahead of it and one more have ended.
	ahead := p.workAhead(workspace, weight, work).Seconds() + (1-free)*work.Seconds()
	return Forecast{Wait: time.Duration(max(ahead, 0) / total * float64(time.Second)), Share: total}
}

// workAhead returns the committed work that is served before a new call of workspace.
// Under fair sharing, every other workspace gets as much work per unit of weight as
// this one, and at most what it has committed.
func (p *Pool) workAhead(workspace string, weight int, work time.Duration) time.Duration {
	if p.options.Queue == queue.Arrival {
		return p.totalCommitted.work
	}
	own := time.Duration(0)
	if s := p.committed[workspace]; s != nil {
		own = s.work
	}
	workPerWeight := float64(own+work/2) / float64(max(weight, 1))
	ahead := own
	for name, s := range p.committed {
		if name != workspace {
			ahead += min(s.work, time.Duration(workPerWeight*float64(s.weight)))
		}
	}
	return ahead
}
