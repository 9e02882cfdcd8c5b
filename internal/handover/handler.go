// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/verdict"
)

// Path is the path of the handler on the address for other hosts.
const Path = "/handover"

const (
	// progressInterval is how often the receiving host shows that it works on a request.
	progressInterval = 250 * time.Millisecond
	// readTimeout limits the time for receiving a request, and writeTimeout that for sending a
	// frame to a host that may be gone.
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
)

// HandlerOptions are the dependencies of a Handler. All are required.
type HandlerOptions struct {
	// Isolated reports whether this host reaches no backend server.
	Isolated func() bool
	// Serve serves a request; see relay.Core.Serve.
	Serve func(ctx context.Context, r *relay.Request, sink relay.Sink) error
	Log   logrus.FieldLogger
	Scope tally.Scope
}

// Handler serves the requests that other hosts hand over.
type Handler struct {
	options HandlerOptions
}

// NewHandler returns a handler.
func NewHandler(o HandlerOptions) *Handler {
	return &Handler{options: o}
}

// ServeHTTP serves one request. It does not read the body, and so runs nothing, if this host is
// isolated too.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	a := &answer{control: http.NewResponseController(w), w: w}
	if h.options.Isolated() {
		a.writeError(verdict.New(verdict.NotRun, verdict.ReasonNoServer, "handover: this host reaches no backend server either"))
		return
	}
	_ = a.control.SetReadDeadline(time.Now().Add(readTimeout))
	request, err := readRequest(r.Body, time.Now())
	_ = a.control.SetReadDeadline(time.Time{})
	if err != nil {
		a.writeError(verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "handover: %w", err))
		return
	}
	defer func() { _ = a.control.SetWriteDeadline(time.Time{}) }()
	request.OnSend = a.recordRuns
	a.recordRuns(request.Runs)
	stop := a.startProgress()
	err = h.options.Serve(r.Context(), request, a)
	stop()
	a.finish(err)
	outcome := outcomeOf(err)
	h.options.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("received").Inc(1)
	h.options.Log.WithFields(logrus.Fields{"request": request.ID, "from": r.RemoteAddr, "outcome": outcome}).Info("served for another host")
}

// answer writes the frames of an answer. It is a relay.Sink.
type answer struct {
	control *http.ResponseController

	mu sync.Mutex
	w  http.ResponseWriter
	// runs is the number of runs announced last.
	runs int
	// started reports whether the head was written, omitsEnd what OmitEnd has set.
	started  bool
	omitsEnd bool
	// err is the first error of a write; nothing is written after it.
	err error
}

// write writes and flushes a frame. The mutex must be held.
func (a *answer) write(f frame) {
	if a.err != nil {
		return
	}
	// An error means that the connection is closed, which the write detects.
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, a.err = a.w.Write(f.appendTo(nil)); a.err == nil {
		a.err = a.control.Flush()
	}
}

// writeControl writes a frame with the JSON form of value. The mutex must be held.
func (a *answer) writeControl(kind frameKind, value any) {
	f, err := controlFrame(kind, value)
	if err != nil {
		a.err = errors.Join(a.err, err)
		return
	}
	a.write(f)
}

// startProgress writes progress frames until the returned function has returned.
func (a *answer) startProgress() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			a.mu.Lock()
			a.writeControl(frameProgress, progress{Runs: a.runs})
			a.mu.Unlock()
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// recordRuns announces the number of runs.
func (a *answer) recordRuns(runs int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = max(a.runs, runs)
	a.writeControl(frameProgress, progress{Runs: a.runs})
}

// OmitEnd makes the caller's answer end with its connection.
func (a *answer) OmitEnd() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.omitsEnd = true
}

// Start writes the head.
func (a *answer) Start(status int, header http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
	a.writeControl(frameHead, answerHead{Status: status, Header: newWireHeader(header), OmitEnd: a.omitsEnd})
}

// Write writes part of the body.
func (a *answer) Write(part []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(part) > 0 {
		n := min(len(part), maxDataBytes)
		a.write(frame{kind: frameData, payload: part[:n]})
		part = part[n:]
	}
	return a.err
}

// finish writes the last frame for the outcome of a request.
func (a *answer) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.started && err == nil:
		a.write(frame{kind: frameEnd})
	case a.started:
		a.write(frame{kind: frameCut})
	case err == nil:
		a.writeVerdict(verdict.New(verdict.Ran, verdict.ReasonInternal, "handover: no answer"))
	default:
		a.writeVerdict(verdict.As(err))
	}
}

func (a *answer) writeError(v *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeVerdict(v)
}

// writeVerdict writes an error. The mutex must be held.
func (a *answer) writeVerdict(v *verdict.Error) {
	wire := wireError{Verdict: v.Verdict, Reason: v.Reason, RetryAfter: max(v.RetryAfter, 0)}
	if v.Err != nil {
		wire.Message = rawText(v.Err.Error())
	}
	a.writeControl(frameVerdict, wire)
}
