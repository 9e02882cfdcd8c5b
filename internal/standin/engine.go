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

// EngineOptions describe an engine.
type EngineOptions struct {
	Options
	// Token is the time between two tokens of one stream.
	Token time.Duration
	// Models are loaded at the start.
	Models []protocol.Loaded
	// MemoryBytes is what models share.
	MemoryBytes int64
	// Unchecked engines take any order, whatever its fence.
	Unchecked bool
	// Weights fetches a model's weights and returns their size. Nil loads at
	// once.
	Weights func(ctx context.Context, model, version string) (int64, error)
	// Keep is how long an ended stream may be resumed.
	Keep time.Duration
}

// Engine is a model engine. Close must be called.
type Engine struct {
	*server
	options EngineOptions
	ctx     context.Context
	cancel  context.CancelFunc
	loads   sync.WaitGroup
	cache   cache

	mu      sync.Mutex
	streams map[string]*stream
	models  []protocol.Loaded
	sizes   map[string]int64
	role    string
	fence   uint64
	orders  []protocol.Order
	count   int
}

// NewEngine returns an engine.
func NewEngine(o EngineOptions) *Engine {
	if o.Keep <= 0 {
		o.Keep = time.Minute
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

// Close ends all streams and loads.
func (e *Engine) Close() {
	e.cancel()
	e.loads.Wait()
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(protocol.PathCompletions, e.complete)
	r.Get(protocol.PathStreams+"{id}", e.resume)
	r.Delete(protocol.PathStreams+"{id}", e.drop)
	r.Post(protocol.PathOrders, e.order)
	r.Get(protocol.PathCacheEvents, e.cacheEvents)
	r.Get(protocol.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = wire.Write(w, http.StatusOK, e.State())
	})
	return r
}

// State returns the engine's full report.
func (e *Engine) State() protocol.EngineState {
	l := e.load()
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

func (e *Engine) holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.models, func(l protocol.Loaded) bool { return l.Model == model && l.Ready })
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	named, body, ok := accept[protocol.Completion](e.server, w, r, e.options.MaxWaiting)
	if !ok {
		return
	}
	if !e.holds(body.Model) {
		e.refuse(w, r, http.StatusServiceUnavailable, "the model is not loaded")
		return
	}
	if err := e.slots.enter(r.Context(), body.Priority); err != nil {
		return
	}
	s := e.begin(named, body)
	e.echo(w, r)
	w.Header().Set(protocol.HeaderStream, s.id)
	e.send(w, r, s, 0)
}

// begin starts to generate, whether or not anybody goes on reading. The slot
// is already taken.
func (e *Engine) begin(named backend.Call, body protocol.Completion) *stream {
	arrival := e.arrived(named, question(body.Prompt))
	ctx, cancel := context.WithCancel(e.ctx)
	e.mu.Lock()
	e.count++
	s := &stream{
		id:      e.instance + "-" + strconv.Itoa(e.count),
		owner:   named.Request,
		model:   body.Model,
		cancel:  cancel,
		changed: make(chan struct{}),
	}
	e.streams[s.id] = s
	e.mu.Unlock()
	cached := e.cache.use(protocol.PrefixOf(body.Model, body.Adapter, body.Prompt), e.chance(e.get().EventGap))
	e.loads.Go(func() {
		defer e.slots.leave()
		e.generate(ctx, s, body, cached)
		e.finished(arrival)
		e.forgetLater(s)
	})
	return s
}

// question returns the caller's text, which the templates put last.
func question(prompt string) string {
	i := strings.LastIndex(prompt, questionMark)
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(prompt[i+len(questionMark):])
}

const questionMark = "Question: "

func (e *Engine) forgetLater(s *stream) {
	e.loads.Go(func() {
		pause(e.ctx, e.options.Keep)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, s.id)
	})
}

func (e *Engine) generate(ctx context.Context, s *stream, body protocol.Completion, cached bool) {
	prefill := e.work()
	usage := protocol.CompletionUsage{PromptTokens: len(strings.Fields(body.Prompt))}
	if cached {
		prefill /= 2
		usage.CachedTokens = usage.PromptTokens / 2
	}
	if !pause(ctx, prefill) {
		s.end(usage, true)
		return
	}
	tokens := strings.SplitAfter(Compose(body.Prompt), " ")
	if body.MaxTokens > 0 {
		tokens = tokens[:min(body.MaxTokens, len(tokens))]
	}
	for i, t := range tokens {
		if i > 0 && !pause(ctx, e.tokenTime()) {
			s.end(usage, true)
			return
		}
		usage.CompletionTokens++
		s.add(t)
	}
	s.end(usage, false)
}

func (e *Engine) tokenTime() time.Duration {
	k := e.get()
	if k.Slow > 0 {
		return time.Duration(float64(e.options.Token) * k.Slow)
	}
	return e.options.Token
}

// pause waits for d and reports whether ctx let it.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
