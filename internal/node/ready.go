// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/internal/publisher"
)

const (
	tickInterval = 250 * time.Millisecond
	// pauseThreshold is the gap between two ticks above which the process counts as paused, so
	// that its view may be stale.
	pauseThreshold = 2 * time.Second
	// syncPeers is how many peers a node synchronises with before it admits requests.
	syncPeers = 3
	// watchersPerZone is how many nodes of a zone watch the platform.
	watchersPerZone = 2
	sweepInterval   = time.Second
)

// readiness decides whether the node may admit requests. It may not before it has synchronised
// with the platform and with peers, nor after a pause until it has synchronised with peers
// again.
type readiness struct {
	node *Node
	// started is set once the initial synchronisation is done, and recovering while the node
	// synchronises after a pause. Each has a single writer: a pause during the start must not
	// undo what the start has reached.
	started    atomic.Bool
	recovering atomic.Bool
	// partial is set if the node went ahead without the platform or without peers.
	partial atomic.Bool
	// lastTick is when the process was last seen running, since start.
	lastTick atomic.Int64
	start    time.Time
	pauses   atomic.Int64
}

func newReadiness(n *Node) *readiness {
	return &readiness{node: n, start: time.Now()}
}

// canAdmit reports whether the node may admit requests now. It also detects a pause that no
// tick has detected yet.
func (r *readiness) canAdmit() bool {
	return r.started.Load() && !r.recovering.Load() && !r.paused()
}

func (r *readiness) paused() bool {
	return time.Since(r.start)-time.Duration(r.lastTick.Load()) > pauseThreshold
}

func (r *readiness) run(ctx context.Context) {
	r.lastTick.Store(int64(time.Since(r.start)))
	started := make(chan struct{})
	go func() {
		defer close(started)
		r.awaitStart(ctx)
	}()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	lastSweep := time.Now()
	for {
		select {
		case <-ctx.Done():
			<-started
			return
		case <-timer.C:
		}
		if beforeTick := r.node.options.BeforeTick; beforeTick != nil {
			beforeTick()
		}
		if r.paused() {
			r.resync(ctx)
		}
		r.lastTick.Store(int64(time.Since(r.start)))
		if time.Since(lastSweep) >= sweepInterval {
			lastSweep = time.Now()
			r.node.table.Sweep(lastSweep)
			r.node.reportLoad()
		}
		timer.Reset(tickInterval)
	}
}

// awaitStart waits until the node has the values of the platform and its peers, or until
// ReadyAfter has passed and it has those of one of them.
func (r *readiness) awaitStart(ctx context.Context) {
	n := r.node
	deadline := time.NewTimer(n.settings.ReadyAfter)
	defer deadline.Stop()
	platformRead := make(chan struct{})
	go func() {
		defer close(platformRead)
		for _, w := range n.watchers {
			select {
			case <-w.Ready():
			case <-ctx.Done():
				return
			}
		}
	}()
	defer func() { <-platformRead }()
	waiting := true
	for ctx.Err() == nil {
		read := false
		select {
		case <-platformRead:
			read = ctx.Err() == nil
		default:
		}
		synced := r.syncWithPeers(ctx)
		alone := read && len(n.view.Members()) == 0
		if read && (synced || alone) || !waiting && (read || synced) {
			r.partial.Store(!read || !synced && !alone)
			r.started.Store(true)
			n.log.WithField("partial", r.partial.Load()).Info("ready")
			if !read {
				<-platformRead
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-deadline.C:
			waiting = false
		case <-time.After(tickInterval / 2):
		}
	}
}

func (r *readiness) syncWithPeers(ctx context.Context) bool {
	n := r.node
	for _, seed := range n.settings.Seeds {
		if n.gossip.ContactSeed(ctx, seed) {
			break
		}
	}
	reached := n.gossip.Synchronise(ctx, syncPeers)
	n.applyHosts()
	return reached > 0
}

// resync synchronises with peers after a pause. Nothing is admitted meanwhile.
func (r *readiness) resync(ctx context.Context) {
	n := r.node
	r.pauses.Add(1)
	n.scope.Counter("pauses").Inc(1)
	n.log.Warn("process was paused; synchronising with peers before admitting requests")
	r.recovering.Store(true)
	defer r.recovering.Store(false)
	n.view.ResetUnchanged(time.Now())
	deadline := time.Now().Add(n.settings.ReadyAfter)
	for ctx.Err() == nil && n.gossip.Synchronise(ctx, syncPeers) == 0 {
		alone := len(n.view.Members()) == 0
		if alone || time.Now().After(deadline) {
			r.partial.Store(!alone)
			n.log.WithField("alone", alone).Warn("no peer answers; admitting requests without synchronisation")
			break
		}
		sleep(ctx, tickInterval)
	}
	n.applyHosts()
}

// mustWatch reports whether this node is elected to watch the platform for its zone. Nodes
// with different views may both watch, which is harmless.
func (n *Node) mustWatch(space publisher.Space) bool {
	return n.elections.Elected(string(space), watchersPerZone)
}
