// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"time"

	"github.com/wingvale/wingvale/internal/table"
)

// errMoved ends a request that its caller can resume on another node.
var errMoved = errors.New("node: this host is leaving; resume at another host from the last checkpoint")

const (
	announceFanout = 8
	// readersTimeout is how long callers have to read the rest of ended answers.
	readersTimeout     = 2 * time.Second
	drainCheckInterval = 20 * time.Millisecond
)

// drain is the graceful stop. It announces the leave first, keeps serving callers with old
// addresses for a while, then admits nothing more and waits for the running requests: for all
// of them until DrainTimeout has passed, then for those that cannot move.
func (n *Node) drain(ctx context.Context) {
	n.log.Info("leaving")
	n.view.Leave()
	n.gossip.Announce(ctx, announceFanout)
	sleep(ctx, n.settings.AnnouncePeriod)
	n.refusingNew.Store(true)
	drainCtx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	awaitEmpty(drainCtx, n.table)
	for _, run := range n.table.Running() {
		if run.Repeatable() {
			n.scope.Counter("moved").Inc(1)
			run.Cancel(errMoved)
		}
	}
	// The remaining requests cannot move, and end by their deadlines.
	awaitEmpty(ctx, n.table)
	n.awaitReaders(ctx)
	n.log.Info("drained")
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// awaitEmpty returns when no requests run or ctx is cancelled.
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

// awaitReaders waits for callers to read the end of their answers.
func (n *Node) awaitReaders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readersTimeout)
	defer cancel()
	for ctx.Err() == nil && n.table.Readers() > 0 {
		sleep(ctx, drainCheckInterval)
	}
}
