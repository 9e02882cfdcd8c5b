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
	// Offset is the number of the piece in the stream, counted from 0 without gaps.
	Offset int
	Text   string
	// Usage is set on the last piece.
	Usage *protocol.CompletionUsage
}

// Stream is an engine's answer in progress. Close must be called.
type Stream struct {
	// ID is the engine's id of the stream; it is never empty.
	ID string
	// Report is the engine's load report at the start of the stream.
	Report Report

	body   io.ReadCloser
	server string
	// nextOffset is the expected offset of the next piece.
	nextOffset int
}

// Complete starts a completion. The verdict of an error reports whether it may have started.
func (c *Client) Complete(ctx context.Context, call Call, body protocol.Completion) (*Stream, Report, error) {
	body.Stream = true
	response, err := c.post(ctx, call, protocol.PathCompletions, body)
	if err != nil {
		return nil, Report{}, err
	}
	return newStream(response, call, "", 0)
}

// Resume continues the stream id at the piece with the given offset. It does not start a
// completion, so it may be repeated.
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

// Cancel cancels the stream id at the engine.
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
	report := parseReport(response)
	if response.StatusCode != http.StatusOK {
		defer drain(response.Body)
		return nil, report, refusalError(response)
	}
	id := response.Header.Get(protocol.HeaderStream)
	if id == "" || len(id) > pipeline.MaxNameBytes || want != "" && id != want {
		_ = response.Body.Close()
		return nil, report, verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "backend: %s names stream %.80q", call.Server, id)
	}
	return &Stream{ID: id, Report: report, body: response.Body, server: call.Server.String(), nextOffset: offset}, report, nil
}

// Close closes the stream at this end only; the engine is not notified.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// Next returns the offset of the next piece.
func (s *Stream) Next() int {
	return s.nextOffset
}

var (
	errTruncated      = errors.New("backend: stream ended before its end marker")
	errNoFinishReason = errors.New("backend: end marker of the stream arrived without a finish reason")
)

// Pieces yields the pieces in order. An error ends the sequence; without one, the stream
// is complete.
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
					yield(Piece{}, s.badAnswer(errNoFinishReason))
				}
				return
			}
			piece, last, err := s.parsePiece(event)
			if err != nil {
				yield(Piece{}, s.badAnswer(err))
				return
			}
			finished = last
			if !yield(piece, nil) {
				return
			}
		}
		yield(Piece{}, verdict.New(verdict.Unknown, verdict.ReasonConnection, "backend: %s: %w", s.server, errTruncated))
	}
}

func (s *Stream) badAnswer(err error) error {
	return verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "backend: %s: %w", s.server, err)
}

// parsePiece checks that the event is the next one of the stream and decodes it. It also
// reports whether the piece has a finish reason.
func (s *Stream) parsePiece(event sse.Event) (Piece, bool, error) {
	var chunk protocol.CompletionChunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
		return Piece{}, false, err
	}
	if chunk.ID != s.ID {
		return Piece{}, false, errors.New("backend: piece belongs to another stream")
	}
	if event.LastEventID != strconv.Itoa(s.nextOffset) {
		return Piece{}, false, errors.New("backend: piece is out of order")
	}
	if len(chunk.Choices) != 1 || chunk.Choices[0].Index != 0 {
		return Piece{}, false, errors.New("backend: piece does not have exactly one choice")
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil && *choice.FinishReason != "stop" && *choice.FinishReason != "length" {
		return Piece{}, false, errors.New("backend: the engine ended with " + strconv.Quote(*choice.FinishReason))
	}
	p := Piece{Offset: s.nextOffset, Text: choice.Text, Usage: chunk.Usage}
	s.nextOffset++
	return p, choice.FinishReason != nil, nil
}

const maxStateBytes = 64 << 10

// State requests the load report of a backend server.
func (c *Client) State(ctx context.Context, call Call) (protocol.EngineState, error) {
	return get[protocol.EngineState](ctx, c, call.Server, protocol.PathLoad, maxStateBytes)
}

// CacheEvents requests the cache events of an engine after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, server netip.AddrPort, after uint64) (protocol.CacheEvents, error) {
	return get[protocol.CacheEvents](ctx, c, server, protocol.PathCacheEvents+"?after="+strconv.FormatUint(after, 10), maxStateBytes)
}

// SendOrder sends one order, once.
func (c *Client) SendOrder(ctx context.Context, call Call, order protocol.Order) (protocol.EngineState, error) {
	response, err := c.post(ctx, call, protocol.PathOrders, order)
	if err != nil {
		return protocol.EngineState{}, err
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return protocol.EngineState{}, refusalError(response)
	}
	return wire.ReadLenient[protocol.EngineState](response.Body, maxStateBytes)
}
