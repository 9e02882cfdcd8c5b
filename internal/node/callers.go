// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/table"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// Headers of the interface for callers.
const (
	// HeaderID is the request id.
	HeaderID = "Wingvale-Request-Id"
	// HeaderRevision is the highest position of the configuration that the sender has seen.
	HeaderRevision = "Wingvale-Revision"
	// HeaderForwarded marks a request that one node forwards to another.
	HeaderForwarded = "Wingvale-Forwarded"
)

const (
	maxIDs     = 64
	defaultIDs = 8
	// writeTimeout is how long a slow reader may block the writes of its own stream.
	writeTimeout = 10 * time.Second
	bodyTimeout  = 10 * time.Second
)

func (n *Node) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(n.withRevision)
	r.Get("/v1/addresses", n.getAddresses)
	r.Get("/v1/ready", n.getReady)
	r.Post("/v1/requests", n.postRequest)
	r.Get("/v1/requests/{id}", n.getRequest)
	r.Get("/v1/requests/{id}/status", n.getStatus)
	r.Delete("/v1/requests/{id}", n.deleteRequest)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		n.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "node: no such path"))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		n.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "node: no such method on this path"))
	})
	return r
}

// withRevision sets the configuration's position on every response, and catches up with a
// higher one that another node or a caller has seen.
func (n *Node) withRevision(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.catchUp(r)
		w.Header().Set(HeaderRevision, n.configuration.Summary().Newest().String())
		next.ServeHTTP(w, r)
	})
}

const catchUpTimeout = 500 * time.Millisecond

// catchUp synchronises with a peer if the sender has seen a higher position, so that a change
// seen once does not disappear at the next node. A position that no peer has either costs only
// this request the wait.
func (n *Node) catchUp(r *http.Request) {
	seen, err := published.ParsePosition(r.Header.Get(HeaderRevision))
	if err != nil || seen.Compare(n.configuration.Summary().Newest()) <= 0 || !n.allowCatchUp() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), catchUpTimeout)
	defer cancel()
	n.scope.Counter("catch_ups").Inc(1)
	n.gossip.Synchronise(ctx, 1)
}

// allowCatchUp allows one catch-up every catchUpTimeout: a caller that makes up revisions must
// not cost more than that.
func (n *Node) allowCatchUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.lastCatchUp) < catchUpTimeout {
		return false
	}
	n.lastCatchUp = time.Now()
	return true
}

func (n *Node) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.checkAdmission(); err != nil {
		n.refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) getAddresses(w http.ResponseWriter, r *http.Request) {
	count := defaultIDs
	if text := r.URL.Query().Get("ids"); text != "" {
		requestedIDs, err := strconv.Atoi(text)
		if err != nil || requestedIDs < 0 || requestedIDs > maxIDs {
			n.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "node: ids=%.20s, want 0 to %d", text, maxIDs))
			return
		}
		count = requestedIDs
	}
	_ = wire.Write(w, http.StatusOK, n.addresses(r.URL.Query().Get("zone"), count))
}

// checkAdmission returns the reason why the node admits no requests now, or nil.
func (n *Node) checkAdmission() error {
	if n.refusingNew.Load() {
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "node: this host is leaving")
	}
	if !n.ready.canAdmit() {
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "node: not ready").WithRetryAfter(time.Second)
	}
	return nil
}

func (n *Node) postRequest(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	spec, err := wire.Read[request.Spec](r.Body, request.MaxBodyBytes)
	if errors.Is(err, wire.ErrTooLarge) {
		n.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "%w", err))
		return
	}
	if err != nil {
		n.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%w", err))
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	var id request.ID
	if err := id.UnmarshalText([]byte(r.Header.Get(HeaderID))); err != nil {
		n.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonBadID, "%w", err))
		return
	}
	run, err := n.submit(r, w, id, spec)
	if err != nil {
		n.refuse(w, err)
		return
	}
	if run != nil {
		n.stream(w, r, run, table.Cursor{})
	}
}

func pathID(r *http.Request) (request.ID, error) {
	id, err := request.ParseID(chi.URLParam(r, "id"))
	if err != nil {
		return id, verdict.New(verdict.Unknown, verdict.ReasonBadID, "%w", err)
	}
	return id, nil
}

// findOrForward returns the run that the path names, or forwards the call to the node that
// issued the id and returns neither a run nor an error.
func (n *Node) findOrForward(w http.ResponseWriter, r *http.Request) (*table.Run, error) {
	id, err := pathID(r)
	if err != nil {
		return nil, err
	}
	run, err := n.table.Find(id)
	if err == nil || n.table.Issued(id) {
		return run, err
	}
	return nil, n.forward(w, r, id, nil)
}

// findOrRefuse returns the run that the path names, or nil if the caller has been answered.
func (n *Node) findOrRefuse(w http.ResponseWriter, r *http.Request) *table.Run {
	run, err := n.findOrForward(w, r)
	if err != nil {
		n.refuse(w, err)
		return nil
	}
	return run
}

func (n *Node) getRequest(w http.ResponseWriter, r *http.Request) {
	run := n.findOrRefuse(w, r)
	if run == nil {
		return
	}
	attempt, err1 := queryNumber(r, "attempt")
	from, err2 := queryNumber(r, "from")
	if err1 != nil || err2 != nil {
		n.refuse(w, verdict.New(verdict.Unknown, verdict.ReasonBadRequest, "node: attempt and from must be numbers from 0"))
		return
	}
	n.stream(w, r, run, table.CursorAt(attempt, from))
}

func queryNumber(r *http.Request, name string) (int, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 31)
	return int(number), err
}

func (n *Node) getStatus(w http.ResponseWriter, r *http.Request) {
	if run := n.findOrRefuse(w, r); run != nil {
		_ = wire.Write(w, http.StatusOK, run.Status())
	}
}

func (n *Node) deleteRequest(w http.ResponseWriter, r *http.Request) {
	run := n.findOrRefuse(w, r)
	if run == nil {
		return
	}
	run.Cancel(context.Canceled)
	select {
	case <-run.Done():
		_ = wire.Write(w, http.StatusOK, run.Status())
	case <-r.Context().Done():
	}
}

// stream sends the run's events from the cursor on, until the answer has ended or the caller
// has disconnected. A slow reader blocks no other caller.
func (n *Node) stream(w http.ResponseWriter, r *http.Request, run *table.Run, cursor table.Cursor) {
	detach := run.Attach()
	defer detach()
	control := http.NewResponseController(w)
	events := wire.NewEventWriter(w)
	started := false
	for {
		batch, ended, err := nextEvents(r.Context(), run, &cursor)
		if errors.Is(err, errNoEventYet) {
			if keepAlive(control, events) != nil {
				return
			}
			started = true
			continue
		}
		if err != nil {
			if !started && r.Context().Err() == nil {
				n.refuse(w, verdict.New(verdict.Unknown, verdict.ReasonExpiredID, "%w", err))
			}
			return
		}
		if !started && isRefusal(batch) {
			n.refuse(w, batch[0].Failed.Err())
			return
		}
		started = true
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		for _, e := range batch {
			if events.Send(string(e.Type), "", e) != nil {
				return
			}
		}
		if events.Flush() != nil || ended {
			return
		}
	}
}

// keepAliveInterval is how often an otherwise silent stream shows that its node still runs.
const keepAliveInterval = time.Second

var errNoEventYet = errors.New("node: no event yet")

// nextEvents calls run.Next with a timeout of keepAliveInterval.
func nextEvents(ctx context.Context, run *table.Run, cursor *table.Cursor) ([]request.Event, bool, error) {
	waitCtx, cancel := context.WithTimeout(ctx, keepAliveInterval)
	defer cancel()
	events, ended, err := run.Next(waitCtx, cursor)
	if err != nil && ctx.Err() == nil && waitCtx.Err() != nil {
		return nil, false, errNoEventYet
	}
	return events, ended, err
}

func keepAlive(control *http.ResponseController, events *wire.EventWriter) error {
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := events.KeepAlive(); err != nil {
		return err
	}
	return events.Flush()
}

// isRefusal reports whether the whole answer is a refusal, which is sent as the status code.
func isRefusal(events []request.Event) bool {
	return len(events) == 1 && events[0].Type == request.EventFailed
}

var statusByReason = map[verdict.Reason]int{
	verdict.ReasonBadRequest:        http.StatusBadRequest,
	verdict.ReasonBadID:             http.StatusBadRequest,
	verdict.ReasonTooLarge:          http.StatusRequestEntityTooLarge,
	verdict.ReasonNoWorkspace:       http.StatusNotFound,
	verdict.ReasonNoPipeline:        http.StatusNotFound,
	verdict.ReasonUnknownRequest:    http.StatusNotFound,
	verdict.ReasonNeedID:            http.StatusConflict,
	verdict.ReasonConflict:          http.StatusConflict,
	verdict.ReasonExpiredID:         http.StatusGone,
	verdict.ReasonIssuerGone:        http.StatusGone,
	verdict.ReasonOverload:          http.StatusTooManyRequests,
	verdict.ReasonIssuerUnreachable: http.StatusBadGateway,
	verdict.ReasonDeadline:          http.StatusGatewayTimeout,
	verdict.ReasonNotReady:          http.StatusServiceUnavailable,
	verdict.ReasonLeaving:           http.StatusServiceUnavailable,
	verdict.ReasonNoServer:          http.StatusServiceUnavailable,
}

// refuse answers the request with err. If another host or a fresh id helps, the answer
// includes them.
func (n *Node) refuse(w http.ResponseWriter, err error) {
	failed := request.NewFailed(err)
	status, ok := statusByReason[failed.Reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	switch failed.Reason {
	case verdict.ReasonNeedID, verdict.ReasonLeaving, verdict.ReasonNotReady, verdict.ReasonOverload, verdict.ReasonIssuerGone:
		a := n.addresses("", defaultIDs)
		failed.Addresses = &a
	}
	if after := failed.RetryAfter.Std(); after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((after+time.Second-1)/time.Second)))
	}
	n.scope.Tagged(map[string]string{"verdict": failed.Verdict.String(), "reason": string(failed.Reason)}).Counter("refusals").Inc(1)
	_ = wire.Write(w, status, failed)
}

// addresses returns the addresses to use and up to ids fresh request ids.
func (n *Node) addresses(zone string, ids int) request.Addresses {
	newest := n.configuration.Summary().Newest()
	a := request.Addresses{
		Addresses: n.entries(zone),
		TTL:       pipeline.Duration(n.settings.AnswerTTL),
		IDsValid:  pipeline.Duration(n.table.IDsValid()),
		Era:       newest.Era,
		Revision:  newest.Revision,
		IDs:       []request.ID{},
	}
	if !n.leaving.Load() {
		a.IDs = n.table.Issue(ids)
	}
	if a.Addresses == nil {
		a.Addresses = []netip.AddrPort{}
	}
	return a
}
