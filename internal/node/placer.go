// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/place"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/verdict"
)

const (
	placeEvery = time.Second
	orderFor   = 2 * time.Second
	// settled is how long the view must not have changed before this node
	// orders an engine that does not check who orders.
	settled = 10 * time.Second
	// freshState is how old an engine's report may be to base orders on.
	freshState = 2 * pollEngine
	orderStage = "order"
)

// placer sends orders to the engines that this node owns.
type placer struct {
	node *Node

	mu sync.Mutex
	// sent counts orders by outcome.
	sent    int
	refused int
	failed  int
	last    string
}

func newPlacer(n *Node) *placer {
	return &placer{node: n}
}

func (p *placer) run(ctx context.Context) {
	every(ctx, placeEvery, func() {
		if p.node.ready.ok() && !p.node.leaving.Load() {
			p.round(ctx)
		}
	})
}

// round sends this node's part of the next orders, one at a time.
func (p *placer) round(ctx context.Context) {
	n := p.node
	// The revision is taken before the models: what the fence claims must not
	// be newer than what the order says.
	through := n.configuration.Summary().Through
	models := n.models()
	engines := p.engines()
	nodes := n.liveNodes()
	for _, step := range place.Steps(models, engines) {
		if owner.Of(nodes, step.Engine.String()) == n.settings.Caller && p.known(step, through) {
			p.order(ctx, step, through)
		}
	}
}

// known reports whether the order says nothing newer than a revision up to
// which the node has every key. Then no owner with that revision, or a later
// one, can hold an older value.
func (p *placer) known(step place.Step, through uint64) bool {
	return p.node.configuration.Revision(pipeline.PrefixModel+step.Model) <= through
}

// engines returns what the engines that the node uses have reported lately.
func (p *placer) engines() []place.Engine {
	n := p.node
	var engines []place.Engine
	for address, h := range n.pools.hosts() {
		if h.Role != published.RoleEngine {
			continue
		}
		state, at, ok := n.pools.state(address)
		if !ok || time.Since(at) > freshState {
			continue
		}
		engines = append(engines, place.Engine{
			Address:     address,
			Pool:        h.Pool,
			Leaving:     h.Leaving || state.Leaving || n.view.IsLeaving(address, state.Instance),
			EngineState: state,
		})
	}
	return engines
}

// order sends one order, after it has read the engine's state again. The order
// is worth nothing if this node has been paused or cut off meanwhile: an engine
// that checks refuses it by its fence, and for one that does not check the view
// must have been undisturbed.
func (p *placer) order(ctx context.Context, step place.Step, through uint64) {
	n := p.node
	h, ok := n.pools.host(step.Engine)
	if !ok || !h.ChecksOrders && n.view.Undisturbed(time.Now()) < settled {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderFor)
	defer cancel()
	begin := time.Now()
	state, err := n.backends.State(ctx, backend.Call{Server: step.Engine})
	if err != nil {
		return
	}
	fence, ok := place.Fence(state.Fence, through)
	if !ok || !n.ready.ok() || time.Since(begin) > pausedAfter {
		return
	}
	order := protocol.Order{
		Fence:    fence,
		Owner:    n.settings.Caller.String(),
		Action:   step.Action,
		Model:    step.Model,
		Version:  step.Version,
		Adapters: step.Adapters,
	}
	call := backend.Call{Server: step.Engine, Request: n.table.Issue(1)[0], Stage: orderStage, Attempt: 1}
	state, err = n.backends.Order(ctx, call, order)
	p.note(step, err)
	if err == nil {
		n.pools.observeEngine(h, state)
	}
}

func (p *placer) note(step place.Step, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = string(step.Action) + " " + step.Model + " at " + step.Engine.String()
	fields := logrus.Fields{"server": step.Engine, "action": step.Action, "model": step.Model, "version": step.Version}
	switch {
	case err == nil:
		p.sent++
		p.node.log.WithFields(fields).Info("an order was taken")
	case verdict.Of(err) == verdict.NotRun:
		p.refused++
		p.node.log.WithFields(fields).WithError(err).Info("an order was refused")
	default:
		p.failed++
		p.node.log.WithFields(fields).WithError(err).Warn("an order may have failed")
	}
}

// liveNodes returns the nodes that may own engines, this one included.
func (n *Node) liveNodes() []netip.AddrPort {
	nodes := []netip.AddrPort{n.settings.Caller}
	for _, m := range n.view.Members() {
		if m.State == fleet.StateLive {
			nodes = append(nodes, m.Address)
		}
	}
	return nodes
}
