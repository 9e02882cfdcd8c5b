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
	placeInterval = time.Second
	orderTimeout  = 2 * time.Second
	// minUnchanged is how long the view must have been unchanged before this node sends orders
	// to an engine that does not check their fence.
	minUnchanged = 10 * time.Second
	// maxStateAge is the maximum age of an engine's report that orders are based on.
	maxStateAge = 2 * pollIntervalEngine
	orderStage  = "order"
)

// placer sends orders to the engines that this node owns.
type placer struct {
	node *Node

	mu sync.Mutex
	// The counters count orders by outcome.
	accepted  int
	refused   int
	failed    int
	lastOrder string
}

func newPlacer(n *Node) *placer {
	return &placer{node: n}
}

func (p *placer) run(ctx context.Context) {
	repeat(ctx, placeInterval, func() {
		if p.node.ready.canAdmit() && !p.node.leaving.Load() {
			p.placeRound(ctx)
		}
	})
}

// placeRound sends this node's share of the next orders, one at a time.
func (p *placer) placeRound(ctx context.Context) {
	n := p.node
	// The position is read before the models: the fence must not claim a newer position than
	// the order is based on.
	through := n.configuration.Summary().Complete()
	models := n.models()
	engines := p.engines()
	nodes := n.liveNodes()
	for _, step := range place.Steps(models, engines) {
		if owner.Of(nodes, step.Engine.String()) == n.settings.Caller && p.isCovered(step, through) {
			p.sendOrder(ctx, step, through)
		}
	}
}

// isCovered reports whether the order is based on values no newer than a position up to which
// the node has every key. Then no owner with that or a later position can have an older value.
func (p *placer) isCovered(step place.Step, through published.Position) bool {
	return p.node.configuration.Position(pipeline.PrefixModel+step.Model).Compare(through) <= 0
}

// engines returns the engines that the node uses and that have reported recently.
func (p *placer) engines() []place.Engine {
	n := p.node
	var engines []place.Engine
	for address, h := range n.pools.hosts() {
		if h.Role != published.RoleEngine {
			continue
		}
		state, answeredAt, ok := n.pools.state(address)
		if !ok || time.Since(answeredAt) > maxStateAge {
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

// sendOrder sends one order after it has read the engine's state again. If this node has been
// paused or partitioned in the meantime, the order must have no effect: an engine that checks
// orders refuses it by its fence, and for any other engine the view must have been unchanged
// for some time.
func (p *placer) sendOrder(ctx context.Context, step place.Step, through published.Position) {
	n := p.node
	h, ok := n.pools.host(step.Engine)
	if !ok || !h.ChecksOrders && n.view.UnchangedFor(time.Now()) < minUnchanged {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	startedAt := time.Now()
	state, err := n.backends.State(ctx, backend.Call{Server: step.Engine})
	if err != nil {
		return
	}
	fence, ok := place.Fence(state.Fence, through.Era, through.Revision)
	if !ok || !n.ready.canAdmit() || time.Since(startedAt) > pauseThreshold {
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
	state, err = n.backends.SendOrder(ctx, call, order)
	p.recordOrder(step, err)
	if err == nil {
		n.pools.observeState(h, state)
	}
}

func (p *placer) recordOrder(step place.Step, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastOrder = string(step.Action) + " " + step.Model + " at " + step.Engine.String()
	fields := logrus.Fields{"server": step.Engine, "action": step.Action, "model": step.Model, "version": step.Version}
	switch {
	case err == nil:
		p.accepted++
		p.node.log.WithFields(fields).Info("engine accepted an order")
	case verdict.Of(err) == verdict.NotRun:
		p.refused++
		p.node.log.WithFields(fields).WithError(err).Info("engine refused an order")
	default:
		p.failed++
		p.node.log.WithFields(fields).WithError(err).Warn("an order to an engine failed, or its outcome is unknown")
	}
}

// liveNodes returns the nodes that may own engines, including this one.
func (n *Node) liveNodes() []netip.AddrPort {
	nodes := []netip.AddrPort{n.settings.Caller}
	for _, m := range n.view.Members() {
		if m.State == fleet.StateLive {
			nodes = append(nodes, m.Address)
		}
	}
	return nodes
}
