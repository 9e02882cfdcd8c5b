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
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/request"
)

// EngineOptions describe an engine.
type EngineOptions struct {
	Options
	// Token is the time between two tokens of one stream.
	Token time.Duration
	// Models are loaded at the start.
	Models []backend.Loaded
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

	mu      sync.Mutex
	streams map[string]*stream
	models  []backend.Loaded
	sizes   map[string]int64
	prefix  map[string]bool
	role    string
	fence   uint64
	orders  []backend.Order
	count   int
}

type stream struct {
	id      string
	owner   request.ID
	model   string
	cancel  context.CancelFunc
	mu      sync.Mutex
	pieces  []string
	ended   bool
	aborted bool
	usage   backend.CompletionUsage
	changed chan struct{}
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
		prefix:  make(map[string]bool),
	}
}

// Close ends all streams and loads.
func (e *Engine) Close() {
	e.cancel()
	e.loads.Wait()
}

// Orders returns the orders that were taken.
func (e *Engine) Orders() []backend.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(backend.PathCompletions, e.complete)
	r.Get(backend.PathStreams+"{id}", e.resume)
	r.Delete(backend.PathStreams+"{id}", e.drop)
	r.Post(backend.PathOrders, e.order)
	r.Get(backend.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = wire.Write(w, http.StatusOK, e.State())
	})
	return r
}

// State returns the engine's full report.
func (e *Engine) State() backend.EngineState {
	l := e.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := backend.EngineState{
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
	return slices.ContainsFunc(e.models, func(l backend.Loaded) bool { return l.Model == model && l.Ready })
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	k := e.get()
	named, err := call(r)
	if err != nil {
		e.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	body, err := wire.ReadLoose[backend.Completion](r.Body, request.MaxBodyBytes)
	if err != nil {
		e.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	_, waiting := e.slots.counts(0)
	if k.Leaving || e.chance(k.Refuse) || e.options.MaxWaiting > 0 && waiting >= e.options.MaxWaiting {
		e.refuse(w, r, http.StatusServiceUnavailable, "full or leaving")
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
	w.Header().Set(backend.HeaderStream, s.id)
	e.send(w, r, s, 0)
}

// begin starts to generate, whether or not anybody goes on reading. The slot
// is already taken.
func (e *Engine) begin(named backend.Call, body backend.Completion) *stream {
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
	head, _, _ := strings.Cut(body.Prompt, "\n")
	cached := e.prefix[head]
	e.prefix[head] = true
	e.mu.Unlock()
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

func (e *Engine) generate(ctx context.Context, s *stream, body backend.Completion, cached bool) {
	prefill := e.work()
	usage := backend.CompletionUsage{PromptTokens: len(strings.Fields(body.Prompt))}
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

func (s *stream) add(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces = append(s.pieces, text)
	s.wake()
}

func (s *stream) end(usage backend.CompletionUsage, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage, s.ended, s.aborted = usage, true, aborted
	s.wake()
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// next returns the pieces from an offset on, and whether they are the last.
func (s *stream) next(ctx context.Context, from int) (pieces []string, ended, aborted bool) {
	for {
		s.mu.Lock()
		pieces, ended, aborted = s.pieces[min(from, len(s.pieces)):], s.ended, s.aborted
		changed := s.changed
		s.mu.Unlock()
		if len(pieces) > 0 || ended {
			return pieces, ended, aborted
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, true
		}
	}
}

// send writes the stream's events from an offset on.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	events := wire.NewEvents(w)
	_ = events.Flush()
	cut := e.chance(e.get().Cut)
	for {
		pieces, ended, aborted := s.next(r.Context(), from)
		if aborted {
			panic(http.ErrAbortHandler)
		}
		for i, text := range pieces {
			last := ended && i == len(pieces)-1
			if events.Send("", strconv.Itoa(from), s.chunk(text, last)) != nil {
				return
			}
			from++
		}
		if cut && from > 1 {
			_ = events.Flush()
			panic(http.ErrAbortHandler)
		}
		if ended && len(pieces) == 0 {
			// The end was noticed after the last piece had gone out.
			_ = events.Send("", strconv.Itoa(from), s.chunk("", true))
		}
		if ended {
			_ = events.SendText("", "", backend.StreamEnd)
		}
		if events.Flush() != nil || ended {
			return
		}
	}
}

func (s *stream) chunk(text string, last bool) backend.CompletionChunk {
	c := backend.CompletionChunk{
		ID: s.id, Object: "text_completion", Model: s.model,
		Choices: []backend.CompletionChoice{{Text: text}},
	}
	if last {
		stop := "stop"
		c.Choices[0].FinishReason = &stop
		c.Usage = &s.usage
	}
	return c
}

func (e *Engine) find(r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[chi.URLParam(r, "id")]
	if s == nil || s.owner.String() != r.Header.Get(backend.HeaderRequest) {
		return nil
	}
	return s
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r)
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if s == nil || err != nil || from < 0 {
		e.echo(w, r)
		_ = wire.Write(w, http.StatusNotFound, backend.Refusal{Error: "no such stream"})
		return
	}
	e.echo(w, r)
	w.Header().Set(backend.HeaderStream, s.id)
	e.send(w, r, s, from)
}

func (e *Engine) drop(w http.ResponseWriter, r *http.Request) {
	if s := e.find(r); s != nil {
		s.cancel()
	}
	e.echo(w, r)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	o, err := wire.ReadLoose[backend.Order](r.Body, request.MaxBodyBytes)
	if err != nil {
		e.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	if o.Fence <= e.fence && !e.options.Unchecked {
		e.mu.Unlock()
		e.refuse(w, r, http.StatusConflict, "an order with this fence or a higher one was taken")
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	e.take(o)
	e.mu.Unlock()
	e.echo(w, r)
	_ = wire.Write(w, http.StatusOK, e.State())
}

// take carries an order out.
func (e *Engine) take(o backend.Order) {
	switch o.Action {
	case backend.ActionRole:
		e.role = o.Role
	case backend.ActionUnload:
		e.models = slices.DeleteFunc(e.models, func(l backend.Loaded) bool { return l.Model == o.Model })
	case backend.ActionLoad:
		e.models = slices.DeleteFunc(e.models, func(l backend.Loaded) bool { return l.Model == o.Model })
		e.models = append(e.models, backend.Loaded{Model: o.Model, Version: o.Version, Adapters: o.Adapters})
		e.loads.Go(func() { e.fetch(o) })
	}
}

func (e *Engine) fetch(o backend.Order) {
	size := int64(0)
	if e.options.Weights != nil {
		var err error
		size, err = e.options.Weights(e.ctx, o.Model, o.Version)
		if err != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sizes[o.Model] = size
	for i := range e.models {
		if e.models[i].Model == o.Model && e.models[i].Version == o.Version {
			e.models[i].Ready = true
		}
	}
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
