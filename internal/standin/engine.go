// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/wire"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	Options
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// Models are the models that are loaded at the start.
	Models []protocol.LoadedModel
	// MemoryBytes is the memory for all models, which the engine reports.
	MemoryBytes int64
	// IgnoreFences makes the engine accept any order, whatever its fence.
	IgnoreFences bool
	// FetchWeights fetches the weights of a model and returns their size in bytes. If it is nil,
	// models are loaded at once.
	FetchWeights func(ctx context.Context, model, version string) (int64, error)
	// StreamRetention is how long an ended stream can still be resumed. The default is one minute.
	StreamRetention time.Duration
}

// Engine is a stand-in for a model engine. The caller must call Close.
type Engine struct {
	*server
	options    EngineOptions
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	cache      cache

	mu          sync.Mutex
	streams     map[string]*stream
	models      []protocol.LoadedModel
	sizes       map[string]int64
	role        string
	fence       uint64
	orders      []protocol.Order
	streamCount int
}

// NewEngine returns an Engine.
func NewEngine(o EngineOptions) *Engine {
	if o.StreamRetention <= 0 {
		o.StreamRetention = time.Minute
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Engine{
		server:  newServer(o.Options),
		options: o,
		ctx:     ctx,
		cancel:  cancel,
		streams: make(map[string]*stream),
		models:  slices.Clone(o.Models),
		sizes:   make(map[string]int64),
	}
}

// Close ends all streams and model loads and waits for them.
func (e *Engine) Close() {
	e.cancel()
	e.background.Wait()
}

// Handler returns a handler for the protocol of engines.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(protocol.PathCompletions, e.handleCompletion)
	r.Get(protocol.PathStreams+"{id}", e.handleResume)
	r.Delete(protocol.PathStreams+"{id}", e.handleCancel)
	r.Post(protocol.PathOrders, e.handleOrder)
	r.Get(protocol.PathCacheEvents, e.handleCacheEvents)
	r.Get(protocol.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = wire.Write(w, http.StatusOK, e.State())
	})
	return r
}

// State returns the full load and model report of the engine.
func (e *Engine) State() protocol.EngineState {
	l := e.currentLoad()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := protocol.EngineState{
		Instance: l.Instance, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Leaving: l.Leaving,
		Models: slices.Clone(e.models), Role: e.role, Fence: e.fence, MemoryBytes: e.options.MemoryBytes,
	}
	for _, m := range e.models {
		s.UsedBytes += e.sizes[m.Model]
	}
	return s
}

func (e *Engine) hasReadyModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.models, func(l protocol.LoadedModel) bool { return l.Model == model && l.Ready })
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	call, body, ok := acceptCall[protocol.Completion](e.server, w, r, e.options.MaxWaiting)
	if !ok {
		return
	}
	if !e.hasReadyModel(body.Model) {
		e.refuse(w, r, http.StatusServiceUnavailable, "the model is not loaded")
		return
	}
	if err := e.slots.acquire(r.Context(), body.Priority); err != nil {
		return
	}
	s := e.startStream(call, body)
	e.setHeaders(w, r)
	w.Header().Set(protocol.HeaderStream, s.id)
	e.sendEvents(w, r, s, 0)
}

// startStream starts to generate an answer, which continues even if no reader remains. The caller
// must hold a slot, which is released at the end.
func (e *Engine) startStream(call backend.Call, body protocol.Completion) *stream {
	arrival := e.recordArrival(call, extractQuestion(body.Prompt))
	ctx, cancel := context.WithCancel(e.ctx)
	e.mu.Lock()
	e.streamCount++
	s := &stream{
		id:        e.instance + "-" + strconv.Itoa(e.streamCount),
		requestID: call.Request,
		model:     body.Model,
		cancel:    cancel,
		changed:   make(chan struct{}),
	}
	e.streams[s.id] = s
	e.mu.Unlock()
	cached := e.cache.lookupOrAdd(protocol.PrefixOf(body.Model, body.Adapter, body.Prompt), e.withProbability(e.currentKnobs().EventGap))
	e.background.Go(func() {
		defer e.slots.release()
		e.generate(ctx, s, body, cached)
		e.markFinished(arrival)
		e.removeStreamLater(s)
	})
	return s
}

// extractQuestion returns the caller's input from a prompt. Templates put it last.
func extractQuestion(prompt string) string {
	i := strings.LastIndex(prompt, questionPrefix)
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(prompt[i+len(questionPrefix):])
}

const questionPrefix = "Question: "

func (e *Engine) removeStreamLater(s *stream) {
	e.background.Go(func() {
		sleep(e.ctx, e.options.StreamRetention)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, s.id)
	})
}

func (e *Engine) generate(ctx context.Context, s *stream, body protocol.Completion, cached bool) {
	prefill := e.callTime()
	usage := protocol.CompletionUsage{PromptTokens: len(strings.Fields(body.Prompt))}
	if cached {
		prefill /= 2
		usage.CachedTokens = usage.PromptTokens / 2
	}
	if !sleep(ctx, prefill) {
		s.finish(usage, true)
		return
	}
	tokens := strings.SplitAfter(ComposeAnswer(body.Prompt), " ")
	if body.MaxTokens > 0 {
		tokens = tokens[:min(body.MaxTokens, len(tokens))]
	}
	for i, t := range tokens {
		if i > 0 && !sleep(ctx, e.tokenInterval()) {
			s.finish(usage, true)
			return
		}
		usage.CompletionTokens++
		s.addPiece(t)
	}
	s.finish(usage, false)
}

func (e *Engine) tokenInterval() time.Duration {
	k := e.currentKnobs()
	if k.SlowFactor > 0 {
		return time.Duration(float64(e.options.TokenInterval) * k.SlowFactor)
	}
	return e.options.TokenInterval
}

// sleep waits for d. It reports false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
