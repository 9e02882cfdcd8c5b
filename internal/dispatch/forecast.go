// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/queue"
)

type share struct {
	work   time.Duration
	weight int
	count  int
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
