// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package campaign

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// duplicate is a request that was sent twice under one id.
type duplicate struct {
	spec request.Spec
	// failures has the failure of each copy, or nil if it was answered or the connection broke.
	failures [2]*request.Failed
	// answers has the complete answer of each copy, or "" if it got none.
	answers [2]string
}

// sendDuplicate sends an unrepeatable request to the node that issued its id, and after a delay a
// copy of it to another node.
func (r *run) sendDuplicate(ctx context.Context, c *client.Client, spec request.Spec, delay time.Duration) {
	if spec.Pipeline == "season-review" {
		// An unrepeatable call to a server that hangs waits for its deadline, which for this
		// pipeline is after the end of the campaign.
		spec.Pipeline, spec.Workspace = "recipe-explanation", "paint-shops-north"
	}
	spec.Unrepeatable = true
	nodes, err := c.Addresses(ctx)
	if err != nil {
		return
	}
	a, err := c.FetchAddresses(ctx, nodes[0])
	if err != nil || len(a.IDs) == 0 {
		return
	}
	// Use the last id, since the client itself uses the first ones.
	id := a.IDs[len(a.IDs)-1]
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d := duplicate{spec: spec}
	var copies sync.WaitGroup
	for i, node := range []netip.AddrPort{nodes[0], nodes[len(nodes)-1]} {
		copies.Go(func() {
			time.Sleep(time.Duration(i) * delay)
			d.failures[i], d.answers[i] = post(ctx, r.site.Transport(), node, id, spec)
		})
	}
	copies.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.duplicates = append(r.duplicates, d)
}

// post sends one copy of a request to a node and returns its failure or its answer. It returns
// neither if the connection broke.
func post(ctx context.Context, rt http.RoundTripper, node netip.AddrPort, id request.ID, spec request.Spec) (*request.Failed, string) {
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, ""
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.String()+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		return nil, ""
	}
	h.Header.Set("Wingvale-Request-Id", id.String())
	response, err := rt.RoundTrip(h)
	if err != nil {
		return nil, ""
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		failed := &request.Failed{}
		if json.NewDecoder(response.Body).Decode(failed) != nil {
			return nil, ""
		}
		return failed, ""
	}
	text := ""
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: request.MaxAnswerBytes}) {
		if err != nil {
			return nil, ""
		}
		e, err := request.DecodeEvent(event.Type, []byte(event.Data))
		switch {
		case err != nil:
			return nil, ""
		case e.Chunk != nil:
			text += e.Chunk.Text
		case e.Failed != nil:
			return e.Failed, ""
		case e.Done != nil:
			return nil, text
		}
	}
	return nil, ""
}

// checkDuplicate checks that each stage ran at most once for both copies together, that none ran if
// a copy was answered as settled and not run, and that both got the same answer.
func (r *run) checkDuplicate(d duplicate, arrivals []arrival) {
	r.checkOnce(callRecord{spec: d.spec}, arrivals)
	for _, failed := range d.failures {
		if failed != nil && failed.Settled && len(arrivals) > 0 {
			r.addBreach("%q was told settled as not run (%s) and ran: %s", d.spec.Input, failed.Reason, describe(arrivals))
		}
		if failed != nil && failed.Settled && failed.Verdict != verdict.NotRun {
			r.addBreach("%q was told settled and %s", d.spec.Input, failed.Verdict)
		}
	}
	if d.answers[0] != "" && d.answers[1] != "" && d.answers[0] != d.answers[1] {
		r.addBreach("%q was answered %q and %q", d.spec.Input, d.answers[0], d.answers[1])
	}
}
