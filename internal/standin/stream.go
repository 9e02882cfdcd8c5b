// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/request"
)

type stream struct {
	id      string
	owner   request.ID
	model   string
	cancel  context.CancelFunc
	mu      sync.Mutex
	pieces  []string
	ended   bool
	aborted bool
	usage   protocol.CompletionUsage
	changed chan struct{}
}

func (s *stream) add(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces = append(s.pieces, text)
	s.wake()
}

func (s *stream) end(usage protocol.CompletionUsage, aborted bool) {
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
			_ = events.SendText("", "", protocol.StreamEnd)
		}
		if events.Flush() != nil || ended {
			return
		}
	}
}

func (s *stream) chunk(text string, last bool) protocol.CompletionChunk {
	c := protocol.CompletionChunk{
		ID: s.id, Object: "text_completion", Model: s.model,
		Choices: []protocol.CompletionChoice{{Text: text}},
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
	if s == nil || s.owner.String() != r.Header.Get(protocol.HeaderRequest) {
		return nil
	}
	return s
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r)
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if s == nil || err != nil || from < 0 {
		e.echo(w, r)
		_ = wire.Write(w, http.StatusNotFound, protocol.Refusal{Error: "no such stream"})
		return
	}
	e.echo(w, r)
	w.Header().Set(protocol.HeaderStream, s.id)
	e.send(w, r, s, from)
}

func (e *Engine) drop(w http.ResponseWriter, r *http.Request) {
	if s := e.find(r); s != nil {
		s.cancel()
	}
	e.echo(w, r)
	w.WriteHeader(http.StatusNoContent)
}
