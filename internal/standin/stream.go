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

// stream is the answer of an engine to one call, generated piece by piece.
type stream struct {
	id        string
	requestID request.ID
	model     string
	cancel    context.CancelFunc
	mu        sync.Mutex
	pieces    []string
	ended     bool
	aborted   bool
	usage     protocol.CompletionUsage
	changed   chan struct{}
}

func (s *stream) addPiece(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces = append(s.pieces, text)
	s.notify()
}

func (s *stream) finish(usage protocol.CompletionUsage, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage, s.ended, s.aborted = usage, true, aborted
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// awaitPieces waits until pieces from an offset on are available or the stream has ended. It
// returns these pieces, whether the stream has ended with them, and whether it was aborted. It
// reports an abort if ctx is done before.
func (s *stream) awaitPieces(ctx context.Context, from int) (pieces []string, ended, aborted bool) {
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

// sendEvents writes the events of a stream from an offset on until its end.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	events := wire.NewEventWriter(w)
	_ = events.Flush()
	cut := e.withProbability(e.currentKnobs().CutShare)
	for {
		pieces, ended, aborted := s.awaitPieces(r.Context(), from)
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
			// The stream ended after its last piece had been sent.
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

func (e *Engine) findStream(r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[chi.URLParam(r, "id")]
	if s == nil || s.requestID.String() != r.Header.Get(protocol.HeaderRequest) {
		return nil
	}
	return s
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	s := e.findStream(r)
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if s == nil || err != nil || from < 0 {
		e.setHeaders(w, r)
		_ = wire.Write(w, http.StatusNotFound, protocol.Refusal{Error: "no such stream"})
		return
	}
	e.setHeaders(w, r)
	w.Header().Set(protocol.HeaderStream, s.id)
	e.sendEvents(w, r, s, from)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if s := e.findStream(r); s != nil {
		s.cancel()
	}
	e.setHeaders(w, r)
	w.WriteHeader(http.StatusNoContent)
}
