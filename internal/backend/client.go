// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// Client calls backend servers. It is safe for concurrent use.
type Client struct {
	transport http.RoundTripper
	close     func()
}

// New returns a client that connects with dial.
func New(dial Dial) *Client {
	t := newTransport(dial)
	return &Client{transport: wire.CheckedTransport(t), close: t.CloseIdleConnections}
}

// Close closes the idle connections. Calls in progress continue.
func (c *Client) Close() {
	c.close()
}

// Call identifies one call to a backend server.
type Call struct {
	Server  netip.AddrPort
	Request request.ID
	Stage   string
	// Attempt is the number of this send of the stage, starting at 1.
	Attempt int
	// Deadline is the time after which the answer is no longer useful.
	Deadline time.Time
}

// Report is the load report in an answer. Known reports whether there was one.
type Report struct {
	Load  protocol.Load
	Known bool
}

// Stage calls a pool or a plain service and returns its result. The report is also valid
// if an error is returned.
func (c *Client) Stage(ctx context.Context, call Call, body protocol.StageCall) (json.RawMessage, Report, error) {
	body.Request, body.Stage, body.Attempt = call.Request, call.Stage, call.Attempt
	response, err := c.post(ctx, call, protocol.PathStages+call.Stage, body)
	if err != nil {
		return nil, Report{}, err
	}
	defer drain(response.Body)
	report := parseReport(response)
	if response.StatusCode != http.StatusOK {
		return nil, report, refusalError(response)
	}
	answer, err := wire.ReadLenient[protocol.StageAnswer](response.Body, protocol.MaxResultBytes)
	if err != nil {
		return nil, report, verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "backend: %s: %w", call.Server, err)
	}
	if answer.Request != call.Request || answer.Stage != call.Stage || answer.Attempt != call.Attempt {
		return nil, report, verdict.New(verdict.Unknown, verdict.ReasonBadAnswer,
			"backend: %s answered for request %s stage %s attempt %d", call.Server, answer.Request, answer.Stage, answer.Attempt)
	}
	return answer.Result, report, nil
}

func (c *Client) post(ctx context.Context, call Call, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "backend: %w", err)
	}
	url := "http://" + call.Server.String() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, singleUseBody{bytes.NewReader(data)})
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "backend: %w", err)
	}
	r.ContentLength = int64(len(data))
	setHeaders(r, call)
	r.Header.Set(wire.ContentType, wire.TypeJSON)
	response, err := roundTrip(c.transport, r)
	if err != nil {
		return nil, err
	}
	if err := checkEcho(response, call); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

func setHeaders(r *http.Request, call Call) {
	r.Header.Set(protocol.HeaderRequest, call.Request.String())
	r.Header.Set(protocol.HeaderStage, call.Stage)
	r.Header.Set(protocol.HeaderAttempt, strconv.Itoa(call.Attempt))
	if !call.Deadline.IsZero() {
		left := max(time.Until(call.Deadline).Milliseconds(), 0)
		r.Header.Set(protocol.HeaderDeadline, strconv.FormatInt(left, 10))
	}
}

// checkEcho rejects an answer to another call, whatever its status: even a refusal of
// another call must not be taken for "not started".
func checkEcho(response *http.Response, call Call) error {
	h := response.Header
	if h.Get(protocol.HeaderRequest) == call.Request.String() &&
		h.Get(protocol.HeaderStage) == call.Stage &&
		h.Get(protocol.HeaderAttempt) == strconv.Itoa(call.Attempt) {
		return nil
	}
	return verdict.New(verdict.Unknown, verdict.ReasonBadAnswer,
		"backend: %s echoed request %.80q stage %.80q attempt %.20q", call.Server,
		h.Get(protocol.HeaderRequest), h.Get(protocol.HeaderStage), h.Get(protocol.HeaderAttempt))
}

func parseReport(response *http.Response) Report {
	load, known := protocol.ParseLoad(response.Header)
	return Report{Load: load, Known: known}
}

const maxRefusalBytes = 8 << 10

// refusalError converts an answer whose status is not 200 into an error. Its verdict is
// NotRun only if the server reports that the call was not started.
func refusalError(response *http.Response) error {
	body, _ := wire.ReadLenient[protocol.Refusal](response.Body, maxRefusalBytes)
	v, reason := verdict.Unknown, verdict.ReasonServerFailed
	if response.Header.Get(protocol.HeaderNotStarted) == "true" {
		v, reason = verdict.NotRun, verdict.ReasonRefused
	}
	e := verdict.New(v, reason, "backend: status %d: %.200s", response.StatusCode, body.Error)
	return e.WithRetryAfter(body.RetryAfter.Std())
}

const maxDrainBytes = 64 << 10

// drain reads the rest of a body, up to maxDrainBytes, so that its connection can be
// reused.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes))
	_ = body.Close()
}

// get sends a GET, which may be repeated, and decodes its JSON answer.
func get[T any](ctx context.Context, c *Client, server netip.AddrPort, path string, limit int64) (T, error) {
	var zero T
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.String()+path, http.NoBody)
	if err != nil {
		return zero, fmt.Errorf("backend: %w", err)
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return zero, fmt.Errorf("backend: %w", err)
	}
	defer drain(response.Body)
	if response.StatusCode != http.StatusOK {
		return zero, fmt.Errorf("backend: %s%s: status %d", server, path, response.StatusCode)
	}
	return wire.ReadLenient[T](response.Body, limit)
}
