// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package backend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/verdict"
)

const maxEventBytes = 256 << 10

// Piece is one part of an engine's stream.
type Piece struct {
	// Offset counts the pieces of the stream from 0 without gaps.
	Offset int
	Text   string
	// Usage is set on the last piece.
	Usage *protocol.CompletionUsage
}

// Stream is an engine's answer under way. Close must be called.
type Stream struct {
	// ID is the engine's name of the stream and is never empty.
	ID string
	// Report is what the engine said when the stream began.
	Report Report

	body   io.ReadCloser
	server string
	// next is the offset that the next piece must bear.
	next int
}

// Complete starts a completion. An error says whether it may have started.
func (c *Client) Complete(ctx context.Context, call Call, body protocol.Completion) (*Stream, Report, error) {
	body.Stream = true
	response, err := c.post(ctx, call, protocol.PathCompletions, body)
	if err != nil {
		return nil, Report{}, err
	}
	return newStream(response, call, "", 0)
}

// Resume goes on with the stream id at the piece with the given offset. It
// starts nothing, so it may be repeated.
func (c *Client) Resume(ctx context.Context, call Call, id string, offset int) (*Stream, Report, error) {
	path := protocol.PathStreams + url.PathEscape(id) + "?from=" + strconv.Itoa(offset)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+call.Server.String()+path, http.NoBody)
	if err != nil {
		return nil, Report{}, verdict.New(verdict.Unknown, verdict.ReasonInternal, "backend: %w", err)
	}
	setHeaders(r, call)
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, Report{}, verdict.New(verdict.Unknown, verdict.ReasonConnection, "backend: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		if err := checkEcho(response, call); err != nil {
			_ = response.Body.Close()
			return nil, Report{}, err
		}
	}
	s, report, err := newStream(response, call, id, offset)
	if err != nil {
		return nil, report, verdict.AfterSend(err)
	}
	return s, report, nil
}

// Cancel ends the stream id at the engine.
func (c *Client) Cancel(ctx context.Context, call Call, id string) error {
	path := "http://" + call.Server.String() + protocol.PathStreams + url.PathEscape(id)
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, path, http.NoBody)
	if err != nil {
		return err
	}
	setHeaders(r, call)
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return err
	}
	drain(response.Body)
	return nil
}

func newStream(response *http.Response, call Call, want string, offset int) (*Stream, Report, error) {
	report := reportOf(response)
	if response.StatusCode != http.StatusOK {
		defer drain(response.Body)
		return nil, report, refusal(response)
	}
	id := response.Header.Get(protocol.HeaderStream)
	if id == "" || len(id) > pipeline.MaxNameBytes || want != "" && id != want {
		_ = response.Body.Close()
		return nil, report, verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "backend: %s names stream %.80q", call.Server, id)
	}
	return &Stream{ID: id, Report: report, body: response.Body, server: call.Server.String(), next: offset}, report, nil
}

// Close gives the stream up at this end only.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// Next returns the offset that the next piece will have.
func (s *Stream) Next() int {
	return s.next
}

var (
	errCut    = errors.New("backend: the stream ended before its end mark")
	errNoLast = errors.New("backend: the stream's end mark came without a finish reason")
)

// Pieces yields the pieces in order. An error ends it; without one the stream
// is whole.
func (s *Stream) Pieces() iter.Seq2[Piece, error] {
	return func(yield func(Piece, error) bool) {
		finished := false
		for event, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Piece{}, verdict.New(verdict.Unknown, verdict.ReasonConnection, "backend: %s: %w", s.server, err))
				return
			}
			if event.Data == protocol.StreamEnd {
				if !finished {
					yield(Piece{}, s.bad(errNoLast))
				}
				return
			}
			piece, last, err := s.piece(event)
			if err != nil {
				yield(Piece{}, s.bad(err))
				return
			}
			finished = last
			if !yield(piece, nil) {
				return
			}
		}
		yield(Piece{}, verdict.New(verdict.Unknown, verdict.ReasonConnection, "backend: %s: %w", s.server, errCut))
	}
}

func (s *Stream) bad(err error) error {
	return verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "backend: %s: %w", s.server, err)
}

// piece checks that the event is the stream's next one.
func (s *Stream) piece(event sse.Event) (Piece, bool, error) {
	var chunk protocol.CompletionChunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return Piece{}, false, err
	}
	if chunk.ID != s.ID {
		return Piece{}, false, errors.New("backend: a piece of another stream")
	}
	if event.LastEventID != strconv.Itoa(s.next) {
		return Piece{}, false, errors.New("backend: a piece out of order")
	}
	if len(chunk.Choices) != 1 || chunk.Choices[0].Index != 0 {
		return Piece{}, false, errors.New("backend: a piece without its one choice")
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil && *choice.FinishReason != "stop" && *choice.FinishReason != "length" {
		return Piece{}, false, errors.New("backend: the engine ended with " + strconv.Quote(*choice.FinishReason))
	}
	p := Piece{Offset: s.next, Text: choice.Text, Usage: chunk.Usage}
	s.next++
	return p, choice.FinishReason != nil, nil
}

const stateLimit = 64 << 10

// State asks a backend server for its load report.
func (c *Client) State(ctx context.Context, call Call) (protocol.EngineState, error) {
	return get[protocol.EngineState](ctx, c, call.Server, protocol.PathLoad, stateLimit)
}

// Cache asks an engine for its cache events after a sequence number.
func (c *Client) Cache(ctx context.Context, server netip.AddrPort, after uint64) (protocol.CacheEvents, error) {
	return get[protocol.CacheEvents](ctx, c, server, protocol.PathCacheEvents+"?after="+strconv.FormatUint(after, 10), stateLimit)
}

// Order sends one order, once.
func (c *Client) Order(ctx context.Context, call Call, order protocol.Order) (protocol.EngineState, error) {
	response, err := c.post(ctx, call, protocol.PathOrders, order)
	if err != nil {
		return protocol.EngineState{}, err
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return protocol.EngineState{}, refusal(response)
	}
	return wire.ReadLoose[protocol.EngineState](response.Body, stateLimit)
}
