// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/wingvale/wingvale/internal/table"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// submit decides which node runs a request. It returns the run if that is this node, and
// neither a run nor an error if the answer of the issuer has been forwarded.
func (n *Node) submit(r *http.Request, w http.ResponseWriter, id request.ID, spec request.Spec) (*table.Run, error) {
	if id.IsZero() {
		return n.submitNew(spec)
	}
	if n.table.Issued(id) {
		run, fresh, err := n.table.Begin(n.runCtx, id, spec)
		return n.startFresh(run, fresh, err, spec)
	}
	if run, err := n.table.Find(id); err == nil {
		return run, nil
	}
	err := n.forward(w, r, id, &spec)
	if err == nil || !mayAdopt(spec, err) {
		return nil, err
	}
	if readyErr := n.checkAdmission(); readyErr != nil {
		// The configuration of a node that is not ready may be incomplete.
		return nil, verdict.AfterSend(readyErr)
	}
	if _, planErr := n.repeatablePlan(spec); planErr != nil {
		return nil, verdict.AfterSend(planErr)
	}
	n.scope.Counter("adopted").Inc(1)
	run, fresh, err := n.table.Adopt(n.runCtx, id, spec)
	return n.startFresh(run, fresh, err, spec)
}

// mayAdopt reports whether a request may run here after its issuer could not be asked.
func mayAdopt(spec request.Spec, err error) bool {
	if spec.Unrepeatable {
		return false
	}
	switch verdict.As(err).Reason {
	case verdict.ReasonIssuerGone, verdict.ReasonIssuerUnreachable, verdict.ReasonLeaving, verdict.ReasonNotReady:
		return true
	default:
		return false
	}
}

// repeatablePlan returns the plan of a request that may run more than once.
func (n *Node) repeatablePlan(spec request.Spec) (*plan, error) {
	p, err := n.newPlan(spec)
	if err != nil {
		return nil, err
	}
	if p.unrepeatable {
		return nil, verdict.New(verdict.Unknown, verdict.ReasonIssuerUnreachable, "node: only the issuer of its id may run an unrepeatable request")
	}
	return p, nil
}

func (n *Node) submitNew(spec request.Spec) (*table.Run, error) {
	if err := n.checkAdmission(); err != nil {
		return nil, err
	}
	p, err := n.newPlan(spec)
	if err != nil {
		return nil, err
	}
	if p.unrepeatable {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNeedID, "node: an unrepeatable request needs an issued id")
	}
	run, fresh, err := n.table.Begin(n.runCtx, n.table.Issue(1)[0], spec)
	return n.startFresh(run, fresh, err, spec)
}

// startFresh admits and starts a fresh run, or returns the existing one.
func (n *Node) startFresh(run *table.Run, fresh bool, err error, spec request.Spec) (*table.Run, error) {
	if err != nil || !fresh {
		return run, err
	}
	p, err := n.admitRun(spec)
	if err != nil {
		return nil, n.refuseRun(run, err)
	}
	n.start(run, p)
	return run, nil
}

// refuseRun ends a run that was not admitted. For an id of this node the refusal is final: a
// later copy of the request is refused too. If an earlier attempt or the issuer may have run
// it, the verdict is Unknown.
func (n *Node) refuseRun(run *table.Run, err error) error {
	e := *verdict.As(err)
	own := n.table.Issued(run.ID)
	if run.Spec.Resume != nil || !own {
		e = *verdict.AfterSend(&e)
	}
	e.Settled = own && e.Verdict == verdict.NotRun
	n.endRun(run, request.NewFailed(&e))
	if own {
		n.table.Refuse(run, e.Verdict, e.Reason)
	} else {
		n.table.Forget(run)
	}
	return &e
}

func (n *Node) admitRun(spec request.Spec) (*plan, error) {
	if err := n.checkAdmission(); err != nil {
		return nil, err
	}
	if int(n.running.Load()) >= n.settings.MaxRunning {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "node: %d requests run already", n.settings.MaxRunning).WithRetryAfter(n.jitter(minRetryAfter))
	}
	p, err := n.newPlan(spec)
	if err != nil {
		return nil, err
	}
	return p, n.admit(p)
}

// forward forwards a call to the node that issued id and copies its answer to the caller. If
// it returns an error, nothing has been sent to the caller yet.
func (n *Node) forward(w http.ResponseWriter, r *http.Request, id request.ID, spec *request.Spec) error {
	if id.Issuer == n.settings.Caller {
		return verdict.New(verdict.Unknown, verdict.ReasonIssuerGone, "node: the issuer of %s has been replaced", id)
	}
	if r.Header.Get(HeaderForwarded) != "" {
		return verdict.New(verdict.Unknown, verdict.ReasonIssuerGone, "node: this is not the issuer of %s", id)
	}
	if _, known := n.view.Lookup(id.Issuer); !known {
		// Ids come from callers: never connect to an address that neither the host list nor a
		// peer has named.
		return verdict.New(verdict.Unknown, verdict.ReasonIssuerGone, "node: the issuer of %s is not known", id)
	}
	response, err := n.sendToIssuer(r, id, spec)
	if err != nil {
		return verdict.New(verdict.Unknown, verdict.ReasonIssuerUnreachable, "node: the issuer of %s does not answer: %w", id, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return forwardedRefusal(response)
	}
	n.scope.Counter("forwarded").Inc(1)
	copyStream(w, response)
	return nil
}

func (n *Node) sendToIssuer(r *http.Request, id request.ID, spec *request.Spec) (*http.Response, error) {
	body := []byte(nil)
	if spec != nil {
		body, _ = json.Marshal(spec)
	}
	url := "http://" + id.Issuer.String() + r.URL.RequestURI()
	forwarded, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	forwarded.Header.Set(HeaderForwarded, n.settings.Caller.String())
	forwarded.Header.Set(HeaderID, id.String())
	forwarded.Header.Set(HeaderRevision, n.configuration.Summary().Newest().String())
	forwarded.Header.Set(wire.ContentType, wire.TypeJSON)
	return n.forwards.Do(forwarded)
}

const maxRefusalBytes = 64 << 10

// forwardedRefusal converts the issuer's refusal to an error.
func forwardedRefusal(response *http.Response) error {
	failed, err := wire.ReadLenient[request.Failed](response.Body, maxRefusalBytes)
	if err != nil {
		return verdict.New(verdict.Unknown, verdict.ReasonIssuerUnreachable, "node: the issuer's refusal: %w", err)
	}
	return failed.Err()
}

const copyBufferBytes = 16 << 10

// copyStream copies the response as it arrives. If the issuer breaks off, so does the caller's
// stream; the caller detects this by the missing end event.
func copyStream(w http.ResponseWriter, response *http.Response) {
	control := http.NewResponseController(w)
	w.Header().Set(wire.ContentType, response.Header.Get(wire.ContentType))
	w.WriteHeader(http.StatusOK)
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return
			}
			if control.Flush() != nil {
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
