// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wingvale/wingvale/internal/dispatch"
	"github.com/wingvale/wingvale/internal/estimate"
	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/table"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/pipeline"
)

// dumpLimit limits each list in a dump.
const dumpLimit = 200

// Dump is the state of a node, for operators.
type Dump struct {
	Self          fleet.Member                 `json:"self"`
	Ready         bool                         `json:"ready"`
	Partial       bool                         `json:"partial"`
	Leaving       bool                         `json:"leaving"`
	Pauses        int64                        `json:"pauses"`
	Running       int64                        `json:"running"`
	Undisturbed   pipeline.Duration            `json:"undisturbed"`
	PlatformCalls int64                        `json:"platform_calls"`
	Configuration published.State              `json:"configuration"`
	Hosts         published.State              `json:"hosts"`
	Members       []fleet.Member               `json:"members"`
	LeavingHosts  []fleet.LeavingServer        `json:"leaving_servers"`
	Requests      table.State                  `json:"requests"`
	Pools         map[string]dispatch.State    `json:"pools"`
	Estimates     map[string]estimate.Estimate `json:"estimates"`
	RetryBudget   float64                      `json:"retry_budget"`
	Orders        OrderState                   `json:"orders"`
}

// OrderState counts the orders that the node sent to engines, by outcome.
type OrderState struct {
	Accepted int    `json:"taken"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	Last     string `json:"last,omitempty"`
}

// Dump returns the state of the node, with each list truncated to dumpLimit.
func (n *Node) Dump() Dump {
	members := n.view.Members()
	leaving := n.view.Leaving()
	d := Dump{
		Self:          n.view.Self(),
		Ready:         n.ready.canAdmit(),
		Partial:       n.ready.partial.Load(),
		Leaving:       n.leaving.Load(),
		Pauses:        n.ready.pauses.Load(),
		Running:       n.running.Load(),
		Undisturbed:   pipeline.Duration(n.view.UnchangedFor(time.Now()).Round(time.Millisecond)),
		PlatformCalls: n.publisher.Calls(),
		Configuration: n.configuration.State(dumpLimit),
		Hosts:         n.hosts.State(dumpLimit),
		Members:       members[:min(len(members), dumpLimit)],
		LeavingHosts:  leaving[:min(len(leaving), dumpLimit)],
		Requests:      n.table.State(dumpLimit),
		Pools:         make(map[string]dispatch.State),
		Estimates:     n.estimates.All(),
		RetryBudget:   n.budget.Available(),
		Orders:        n.placer.state(),
	}
	for name, pool := range n.pools.all() {
		d.Pools[name] = pool.State(dumpLimit)
	}
	return d
}

func (p *placer) state() OrderState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return OrderState{Accepted: p.accepted, Refused: p.refused, Failed: p.failed, Last: p.lastOrder}
}

func (n *Node) operatorHandler() http.Handler {
	r := chi.NewRouter()
	prefix, peers := n.gossip.Handler()
	r.Handle(prefix+"*", peers)
	r.Get("/dump", func(w http.ResponseWriter, _ *http.Request) {
		_ = wire.Write(w, http.StatusOK, n.Dump())
	})
	if n.options.Metrics != nil {
		r.Handle("/metrics", n.options.Metrics)
	}
	return r
}

// models returns the published models.
func (n *Node) models() []pipeline.Model {
	var models []pipeline.Model
	for _, v := range n.configuration.Values() {
		if v.Model != nil {
			models = append(models, *v.Model)
		}
	}
	return models
}

// Revisions returns the revision in force of each key.
func (n *Node) Revisions() map[string]uint64 {
	return n.configuration.State(published.MaxKeys).Revisions
}
