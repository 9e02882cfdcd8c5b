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

// Job computes the result of a call to a stage pool or a plain service.
type Job func(call protocol.StageCall) (json.RawMessage, error)

// Pool is a stand-in for one backend server of a stage pool or of a plain service.
type Pool struct {
	*server
	job        Job
	maxWaiting int

	lastAnswerMu sync.Mutex
	// lastAnswer is the answer to the previous call.
	lastAnswer *stageAnswer
}

type stageAnswer struct {
	body   protocol.StageCall
	result json.RawMessage
}

// swapLastAnswer stores an answer as the last one and returns the one before.
func (p *Pool) swapLastAnswer(body protocol.StageCall, result json.RawMessage) *stageAnswer {
	p.lastAnswerMu.Lock()
	defer p.lastAnswerMu.Unlock()
	previous := p.lastAnswer
	p.lastAnswer = &stageAnswer{body: body, result: result}
	return previous
}

// NewPool returns a Pool that runs a job for each call.
func NewPool(o Options, job Job) *Pool {
	return &Pool{server: newServer(o), job: job, maxWaiting: o.MaxWaiting}
}

// Handler returns a handler for the protocol of stages.
func (p *Pool) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(protocol.PathStages+"{stage}", p.handleCall)
	r.Get(protocol.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		l := p.currentLoad()
		_ = wire.Write(w, http.StatusOK, protocol.EngineState{
			Instance: l.Instance, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Leaving: l.Leaving,
		})
	})
	return r
}

func (p *Pool) handleCall(w http.ResponseWriter, r *http.Request) {
	call, body, ok := acceptCall[protocol.StageCall](p.server, w, r, p.maxWaiting)
	if !ok {
		return
	}
	if err := p.slots.acquire(r.Context(), 0); err != nil {
		return
	}
	defer p.slots.release()
	arrival := p.recordArrival(call, body.Input)
	if p.withProbability(p.currentKnobs().HangShare) {
		<-r.Context().Done()
		return
	}
	time.Sleep(p.callTime())
	result, err := p.job(body)
	p.markFinished(arrival)
	if err != nil || p.withProbability(p.currentKnobs().FailShare) {
		p.fail(w, r, "failed")
		return
	}
	p.writeAnswer(w, r, body, result)
}

func (p *Pool) writeAnswer(w http.ResponseWriter, r *http.Request, body protocol.StageCall, result json.RawMessage) {
	p.setHeaders(w, r)
	previous := p.swapLastAnswer(body, result)
	if previous != nil && p.withProbability(p.currentKnobs().MislabelShare) {
		// Inject the fault: answer with the result and the name of another call.
		w.Header().Set(protocol.HeaderRequest, previous.body.Request.String())
		body, result = previous.body, previous.result
	}
	_ = wire.Write(w, http.StatusOK, protocol.StageAnswer{Request: body.Request, Stage: body.Stage, Attempt: body.Attempt, Result: result})
}
