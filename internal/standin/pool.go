// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/wire"
)

// Job is the work of a pool or a plain service: a result from the call.
type Job func(call protocol.StageCall) (json.RawMessage, error)

// Pool is one runner of a stage pool or of a plain service.
type Pool struct {
	*server
	job        Job
	maxWaiting int

	lastMu sync.Mutex
	// last is the answer given last.
	last *answered
}

type answered struct {
	body   protocol.StageCall
	result json.RawMessage
}

// swap remembers an answer and returns the one before.
func (p *Pool) swap(body protocol.StageCall, result json.RawMessage) *answered {
	p.lastMu.Lock()
	defer p.lastMu.Unlock()
	before := p.last
	p.last = &answered{body: body, result: result}
	return before
}

// NewPool returns a runner that does job.
func NewPool(o Options, job Job) *Pool {
	return &Pool{server: newServer(o), job: job, maxWaiting: o.MaxWaiting}
}

// Handler serves the runner's protocol.
func (p *Pool) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(protocol.PathStages+"{stage}", p.serve)
	r.Get(protocol.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		l := p.load()
		_ = wire.Write(w, http.StatusOK, protocol.EngineState{
			Instance: l.Instance, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Leaving: l.Leaving,
		})
	})
	return r
}

func (p *Pool) serve(w http.ResponseWriter, r *http.Request) {
	named, body, ok := accept[protocol.StageCall](p.server, w, r, p.maxWaiting)
	if !ok {
		return
	}
	if err := p.slots.enter(r.Context(), 0); err != nil {
		return
	}
	defer p.slots.leave()
	arrival := p.arrived(named, body.Input)
	if p.chance(p.get().Hang) {
		<-r.Context().Done()
		return
	}
	time.Sleep(p.work())
	result, err := p.job(body)
	p.finished(arrival)
	if err != nil || p.chance(p.get().Fail) {
		p.fail(w, r, "failed")
		return
	}
	p.answer(w, r, body, result)
}

func (p *Pool) answer(w http.ResponseWriter, r *http.Request, body protocol.StageCall, result json.RawMessage) {
	p.echo(w, r)
	other := p.swap(body, result)
	if other != nil && p.chance(p.get().Mislabel) {
		// The answer of another call, as that one's.
		w.Header().Set(protocol.HeaderRequest, other.body.Request.String())
		body, result = other.body, other.result
	}
	_ = wire.Write(w, http.StatusOK, protocol.StageAnswer{Request: body.Request, Stage: body.Stage, Attempt: body.Attempt, Result: result})
}
