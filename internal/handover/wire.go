// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// maxEnvelopeBytes and maxBodyBytes limit the two parts of a request between hosts.
	maxEnvelopeBytes = 4 << 20
	maxBodyBytes     = 1 << 30
	// maxReasonBytes limits the reason in a verdict.
	maxReasonBytes = 64
	// envelopeLengthSize is the size of the length before the envelope.
	envelopeLengthSize = 4
)

// rawText is a string of any bytes, escaped on the wire because JSON would replace those that are
// not UTF-8.
type rawText string

// MarshalText returns the escaped form. It never fails.
func (t rawText) MarshalText() ([]byte, error) {
	return []byte(url.QueryEscape(string(t))), nil
}

// UnmarshalText parses the escaped form.
func (t *rawText) UnmarshalText(text []byte) error {
	raw, err := url.QueryUnescape(string(text))
	*t = rawText(raw)
	return err
}

// wireHeader has the values of HTTP headers.
type wireHeader map[rawText][]rawText

func newWireHeader(h http.Header) wireHeader {
	wire := make(wireHeader, len(h))
	for name, values := range h {
		list := make([]rawText, len(values))
		for i, value := range values {
			list[i] = rawText(value)
		}
		wire[rawText(name)] = list
	}
	return wire
}

func (w wireHeader) header() http.Header {
	h := make(http.Header, len(w))
	for name, values := range w {
		list := make([]string, len(values))
		for i, value := range values {
			list[i] = string(value)
		}
		h[string(name)] = list
	}
	return h
}

// envelope is a request between hosts without its body.
type envelope struct {
	ID     rawText    `json:"id"`
	Method rawText    `json:"method"`
	Target rawText    `json:"target"`
	Path   rawText    `json:"path"`
	Host   rawText    `json:"host"`
	Header wireHeader `json:"header,omitempty"`
	Key    rawText    `json:"key,omitempty"`
	// Elapsed is how long ago the request arrived. CallerTimeout is how long the caller waits
	// from then on; 0 means unknown.
	Elapsed       time.Duration `json:"elapsed_ns"`
	CallerTimeout time.Duration `json:"caller_timeout_ns,omitempty"`
	Parts         []wirePart    `json:"parts,omitempty"`
	TokensIn      int           `json:"tokens_in,omitempty"`
	TokensOut     int           `json:"tokens_out,omitempty"`
	LengthHint    int           `json:"length_hint,omitempty"`
	Pieces        []int         `json:"pieces,omitempty"`
	PieceKey      rawText       `json:"piece_key,omitempty"`
	// Runs, Counted and LastEvent are those of relay.Request.
	Runs      int     `json:"runs,omitempty"`
	Counted   bool    `json:"counted,omitempty"`
	LastEvent rawText `json:"last_event,omitempty"`
	// Continues, Origin and Version are those of relay.Request. Version is nil if it is absent.
	Continues bool     `json:"continues,omitempty"`
	Origin    rawText  `json:"origin,omitempty"`
	Version   *rawText `json:"version,omitempty"`
	// BodyBytes is the size of the body, which follows the envelope.
	BodyBytes int64 `json:"body_bytes,omitempty"`
}

// wirePart is a part of a prompt.
type wirePart struct {
	ID     rawText `json:"id"`
	Tokens int     `json:"tokens"`
}

// newEnvelope returns the envelope of a request that is sent now.
func newEnvelope(r *relay.Request, now time.Time) envelope {
	e := envelope{
		ID: rawText(r.ID), Method: rawText(r.Method), Target: rawText(r.Target), Path: rawText(r.Path), Host: rawText(r.Host),
		Header: newWireHeader(r.Header), Key: rawText(r.Key), Elapsed: max(now.Sub(r.Arrived), 0), CallerTimeout: r.CallerTimeout,
		TokensIn: r.TokensIn, TokensOut: r.TokensOut, LengthHint: r.LengthHint, Pieces: r.Pieces, PieceKey: rawText(r.PieceKey),
		Runs: r.Runs, Counted: r.Counted, LastEvent: rawText(r.LastEvent), BodyBytes: int64(len(r.Body)),
		Continues: r.Continues, Origin: rawText(r.Origin),
	}
	if version, ok := r.Version.Get(); ok {
		wire := rawText(version)
		e.Version = &wire
	}
	for _, part := range r.Parts {
		e.Parts = append(e.Parts, wirePart{ID: rawText(part.ID), Tokens: part.Tokens})
	}
	return e
}

// request returns the request for a host that received the envelope at the given time.
func (e envelope) request(now time.Time, body []byte) *relay.Request {
	r := &relay.Request{
		ID: string(e.ID), Method: string(e.Method), Target: string(e.Target), Path: string(e.Path), Host: string(e.Host),
		Header: e.Header.header(), Body: body, Key: string(e.Key), Arrived: now.Add(-e.Elapsed), CallerTimeout: e.CallerTimeout,
		TokensIn: e.TokensIn, TokensOut: e.TokensOut, LengthHint: e.LengthHint, Pieces: e.Pieces, PieceKey: string(e.PieceKey),
		Forwarded: true, Runs: e.Runs, Counted: e.Counted, LastEvent: string(e.LastEvent),
		Continues: e.Continues, Origin: string(e.Origin),
	}
	if e.Version != nil {
		r.Version = option.Some(string(*e.Version))
	}
	for _, part := range e.Parts {
		r.Parts = append(r.Parts, relay.Part{ID: string(part.ID), Tokens: part.Tokens})
	}
	return r
}

// UnmarshalJSON decodes and checks an envelope.
func (e *envelope) UnmarshalJSON(data []byte) error {
	type plain envelope
	if err := json.Unmarshal(data, (*plain)(e)); err != nil {
		return err
	}
	switch {
	case e.ID == "" || e.Method == "" || e.Target == "":
		return errors.New("handover: a request without an id, a method or a target")
	case e.Elapsed < 0 || e.CallerTimeout < 0:
		return fmt.Errorf("handover: negative times: elapsed %v, caller timeout %v", e.Elapsed, e.CallerTimeout)
	case e.TokensIn < 0 || e.TokensOut < 0 || e.LengthHint < 0 || e.Runs < 0:
		return errors.New("handover: a negative count")
	case e.BodyBytes < 0 || e.BodyBytes > maxBodyBytes:
		return fmt.Errorf("handover: a body of %d bytes", e.BodyBytes)
	}
	if _, err := relay.CountPieces(e.Pieces); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// encodeRequest returns the wire form of a request without its body.
func encodeRequest(e envelope) ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	if len(data) > maxEnvelopeBytes {
		return nil, fmt.Errorf("handover: an envelope of %d bytes exceeds %d", len(data), maxEnvelopeBytes)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...), nil
}

// readRequest reads a whole request.
func readRequest(r io.Reader, now time.Time) (*relay.Request, error) {
	var length [envelopeLengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, unexpected(err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxEnvelopeBytes {
		return nil, fmt.Errorf("handover: an envelope of %d bytes exceeds %d", n, maxEnvelopeBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, unexpected(err)
	}
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, err
	}
	// The limit avoids an allocation of the stated size before that much has arrived.
	body, err := io.ReadAll(io.LimitReader(r, e.BodyBytes+1))
	if err != nil {
		return nil, unexpected(err)
	}
	if int64(len(body)) != e.BodyBytes {
		return nil, fmt.Errorf("handover: a body of %d bytes where %d were stated", len(body), e.BodyBytes)
	}
	return e.request(now, body), nil
}

// progress reports how often a request may have run so far.
type progress struct {
	Runs int `json:"runs"`
}

// answerHead is the head of an answer.
type answerHead struct {
	Status int        `json:"status"`
	Header wireHeader `json:"header,omitempty"`
	// OmitEnd means that the answer is not known to be whole; see relay.Sink.
	OmitEnd bool `json:"omit_end,omitempty"`
}

// UnmarshalJSON decodes and checks a head.
func (h *answerHead) UnmarshalJSON(data []byte) error {
	type plain answerHead
	if err := json.Unmarshal(data, (*plain)(h)); err != nil {
		return err
	}
	if h.Status < http.StatusOK || h.Status > wire.MaxStatus {
		return fmt.Errorf("handover: status %d", h.Status)
	}
	return nil
}

// wireError is the error of a request without an answer.
type wireError struct {
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	RetryAfter time.Duration   `json:"retry_after_ns,omitempty"`
	Message    rawText         `json:"message,omitempty"`
}

// UnmarshalJSON decodes and checks an error.
func (w *wireError) UnmarshalJSON(data []byte) error {
	type plain wireError
	if err := json.Unmarshal(data, (*plain)(w)); err != nil {
		return err
	}
	if w.Reason == "" || len(w.Reason) > maxReasonBytes || w.RetryAfter < 0 {
		return fmt.Errorf("handover: invalid error: reason %.70q, retry after %v", w.Reason, w.RetryAfter)
	}
	return nil
}
