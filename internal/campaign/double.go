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

// doubled is a request that was sent twice under one id.
type doubled struct {
	spec request.Spec
	// told has what each copy was answered; nil is a connection that broke.
	told [2]*request.Failed
	// answers has the whole answers.
	answers [2]string
}

// double sends an unrepeatable request to the node that issued its id, and a
// copy of it to another node later.
func (r *run) double(ctx context.Context, c *client.Client, spec request.Spec, late time.Duration) {
	if spec.Pipeline == "season-review" {
		// An unrepeatable call to a server that hangs waits for its deadline,
		// which is after the end of the campaign here.
		spec.Pipeline, spec.Workspace = "recipe-explanation", "paint-shops-north"
	}
	spec.Unrepeatable = true
	nodes, err := c.Addresses(ctx)
	if err != nil {
		return
	}
	a, err := c.Ask(ctx, nodes[0])
	if err != nil || len(a.IDs) == 0 {
		return
	}
	// The last id: the client itself takes the first ones.
	id := a.IDs[len(a.IDs)-1]
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	d := doubled{spec: spec}
	var both sync.WaitGroup
	for i, node := range []netip.AddrPort{nodes[0], nodes[len(nodes)-1]} {
		both.Go(func() {
			time.Sleep(time.Duration(i) * late)
			d.told[i], d.answers[i] = post(ctx, r.site.Transport(), node, id, spec)
		})
	}
	both.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubles = append(r.doubles, d)
}

// post sends one copy and returns how it ended.
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

// checkDouble checks that the copies ran at most once between them, and that
// one that was told not run was told the truth about both.
func (r *run) checkDouble(d doubled, arrivals []arrival) {
	r.checkOnce(record{spec: d.spec}, arrivals)
	for _, told := range d.told {
		if told != nil && told.Settled && len(arrivals) > 0 {
			r.breach("%q was told settled as not run (%s) and ran: %s", d.spec.Input, told.Reason, describe(arrivals))
		}
		if told != nil && told.Settled && told.Verdict != verdict.NotRun {
			r.breach("%q was told settled and %s", d.spec.Input, told.Verdict)
		}
	}
	if d.answers[0] != "" && d.answers[1] != "" && d.answers[0] != d.answers[1] {
		r.breach("%q was answered %q and %q", d.spec.Input, d.answers[0], d.answers[1])
	}
}
