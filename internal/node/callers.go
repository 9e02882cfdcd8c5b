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

	"github.com/wingvale/wingvale/internal/table"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// Headers of the callers' interface.
const (
	// HeaderID bears the request id.
	HeaderID = "Wingvale-Request-Id"
	// HeaderRevision bears the highest configuration revision.
	HeaderRevision = "Wingvale-Revision"
	// HeaderForwarded marks a request that one node passes to another.
	HeaderForwarded = "Wingvale-Forwarded"
)

const (
	maxIDs     = 64
	defaultIDs = 8
	// writeTimeout is how long one reader may hold up its own stream.
	writeTimeout = 10 * time.Second
	bodyTimeout  = 10 * time.Second
)

func (n *Node) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(n.bearRevision)
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

// bearRevision puts the configuration's revision on every answer, and brings
// the node up to a higher one that another node or caller has seen.
func (n *Node) bearRevision(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.catchUp(r)
		w.Header().Set(HeaderRevision, strconv.FormatUint(n.configuration.Summary().Revision, 10))
		next.ServeHTTP(w, r)
	})
}

const catchUpFor = 500 * time.Millisecond

// catchUp compares with peers where the sender has seen a higher revision, so
// that a change seen once is not unseen at the next node. A revision that no
// peer has either costs that one request the wait.
func (n *Node) catchUp(r *http.Request) {
	seen, err := strconv.ParseUint(r.Header.Get(HeaderRevision), 10, 64)
	if err != nil || seen <= n.configuration.Summary().Revision || !n.takeCatchUp() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), catchUpFor)
	defer cancel()
	n.scope.Counter("catch_ups").Inc(1)
	n.gossip.Synchronise(ctx, 1)
}

// takeCatchUp lets one catch-up through every catchUpFor: a caller that makes
// revisions up must not cost more than that.
func (n *Node) takeCatchUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.caughtUp) < catchUpFor {
		return false
	}
	n.caughtUp = time.Now()
	return true
}

func (n *Node) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.mayAdmit(); err != nil {
		n.refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) getAddresses(w http.ResponseWriter, r *http.Request) {
	count := defaultIDs
	if text := r.URL.Query().Get("ids"); text != "" {
		given, err := strconv.Atoi(text)
		if err != nil || given < 0 || given > maxIDs {
			n.refuse(w, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "node: ids=%.20s, want 0 to %d", text, maxIDs))
			return
		}
		count = given
	}
	_ = wire.Write(w, http.StatusOK, n.addresses(r.URL.Query().Get("zone"), count))
}

// mayAdmit says why the node admits nothing now, or nil.
func (n *Node) mayAdmit() error {
	if n.refusing.Load() {
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "node: this host is leaving")
	}
	if !n.ready.ok() {
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "node: not ready").After(time.Second)
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

// find returns the run that the path names, or passes the call on to the node
// that issued the id and returns neither run nor error.
func (n *Node) find(w http.ResponseWriter, r *http.Request) (*table.Run, error) {
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

// findOrRefuse returns the run that the path names, or nil where the caller has
// been answered.
func (n *Node) findOrRefuse(w http.ResponseWriter, r *http.Request) *table.Run {
	run, err := n.find(w, r)
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
	n.stream(w, r, run, table.At(attempt, from))
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

// stream sends the run's events from the cursor on, until the answer has ended
// or the caller is gone. A caller that reads slowly holds up nobody else.
func (n *Node) stream(w http.ResponseWriter, r *http.Request, run *table.Run, cursor table.Cursor) {
	detach := run.Attach()
	defer detach()
	control := http.NewResponseController(w)
	events := wire.NewEvents(w)
	started := false
	for {
		batch, ended, err := next(r.Context(), run, &cursor)
		if errors.Is(err, errNothingYet) {
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
		if !started && refusedAtOnce(batch) {
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

// aliveEvery is how often a stream on which nothing else comes shows that its
// node still runs.
const aliveEvery = time.Second

var errNothingYet = errors.New("node: nothing to tell yet")

// next is run.Next for no longer than aliveEvery.
func next(ctx context.Context, run *table.Run, cursor *table.Cursor) ([]request.Event, bool, error) {
	shortly, cancel := context.WithTimeout(ctx, aliveEvery)
	defer cancel()
	events, ended, err := run.Next(shortly, cursor)
	if err != nil && ctx.Err() == nil && shortly.Err() != nil {
		return nil, false, errNothingYet
	}
	return events, ended, err
}

func keepAlive(control *http.ResponseController, events *wire.Events) error {
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := events.Alive(); err != nil {
		return err
	}
	return events.Flush()
}

// refusedAtOnce reports whether the whole answer is a refusal, which is told
// by the status code.
func refusedAtOnce(events []request.Event) bool {
	return len(events) == 1 && events[0].Type == request.EventFailed
}

var statusOf = map[verdict.Reason]int{
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

// refuse answers with err at once. Where another host or a fresh id helps, the
// answer bears them.
func (n *Node) refuse(w http.ResponseWriter, err error) {
	failed := request.FailedOf(err)
	status, ok := statusOf[failed.Reason]
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

// addresses answers which addresses to use.
func (n *Node) addresses(zone string, ids int) request.Addresses {
	a := request.Addresses{
		Addresses: n.entries(zone),
		Hold:      pipeline.Duration(n.settings.Hold),
		IDsValid:  pipeline.Duration(n.table.IDsValid()),
		Revision:  n.configuration.Summary().Revision,
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
