// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"time"

	"github.com/wingvale/wingvale/internal/table"
)

// errMoved ends a request here that its caller can go on with elsewhere.
var errMoved = errors.New("node: this host is leaving; go on at another from the last checkpoint")

const (
	announceTo = 8
	// readersFor is how long readers of ended answers get to read the rest.
	readersFor = 2 * time.Second
	drainCheck = 20 * time.Millisecond
)

// drain is the planned stop. It tells the others first, still serves those who
// come with old addresses, then admits nothing more, and waits for what runs:
// for all of it until Drain has passed, then for what cannot move.
func (n *Node) drain(ctx context.Context) {
	n.log.Info("leaving")
	n.view.Leave()
	n.gossip.Announce(ctx, announceTo)
	wait(ctx, n.settings.Announce)
	n.refusing.Store(true)
	patience, cancel := context.WithTimeout(ctx, n.settings.Drain)
	defer cancel()
	awaitEmpty(patience, n.table)
	for _, run := range n.table.Running() {
		if run.Repeatable() {
			n.scope.Counter("moved").Inc(1)
			run.Cancel(errMoved)
		}
	}
	// Those that are left cannot move, and end by their deadlines.
	awaitEmpty(ctx, n.table)
	n.awaitReaders(ctx)
	n.log.Info("drained")
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// awaitEmpty returns when nothing runs or ctx ends.
func awaitEmpty(ctx context.Context, t *table.Table) {
	for ctx.Err() == nil {
		running := t.Running()
		if len(running) == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-running[0].Done():
		}
	}
}

// awaitReaders lets callers read the end of their answers.
func (n *Node) awaitReaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readersFor)
	defer cancel()
	for ctx.Err() == nil && n.table.Readers() > 0 {
		wait(ctx, drainCheck)
	}
}
