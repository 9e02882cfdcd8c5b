// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/published"
)

const (
	tickEvery = 200 * time.Millisecond
	// pausedAfter is the gap between two ticks that means that the process
	// stood still, so that what it knows may be old.
	pausedAfter = 1500 * time.Millisecond
	pruneEvery  = time.Second
)

// upkeep notices pauses, closes old connections, and lets lapsed servers go.
func (n *Node) upkeep(ctx context.Context) {
	n.lastTick.Store(int64(n.options.Boot()))
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	pruned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		if n.paused() {
			n.log.WithField("gap_ms", n.gap().Milliseconds()).Warn("the process stood still; confirming the configuration")
			n.confirm.now(ctx)
		}
		n.lastTick.Store(int64(n.options.Boot()))
		if n.members.due(now) {
			n.refresh()
		}
		n.tellMembers()
		n.tellRejected(n.directives.TakeRejected())
		n.tellRejected(n.listed.TakeRejected())
		if now.Sub(pruned) >= pruneEvery {
			pruned = now
			n.backends.Prune(now)
			n.suspects.Forget()
			n.notices.Listed(n.members.lists)
			n.notices.Forget()
		}
		timer.Reset(n.members.dueIn(time.Now(), tickEvery))
	}
}

// tellMembers tells how many hosts the node holds for live, where that changed.
func (n *Node) tellMembers() {
	live := n.serving()
	n.options.Scope.Gauge("hosts_known").Update(float64(live))
	if live == n.toldHosts {
		return
	}
	n.log.WithFields(logrus.Fields{"hosts": live, "before": n.toldHosts}).Info("hosts known")
	n.toldHosts = live
}

// tellRejected logs published values that are wrong; the last good ones stay in
// force.
func (n *Node) tellRejected(rejected []published.Rejection) {
	for _, r := range rejected {
		n.log.WithFields(logrus.Fields{"key": r.Key, "revision": r.Revision, "reason": r.Reason}).Warn("published value refused")
	}
}

// gap is how long ago the process was last seen to run. Where only the steady clock
// was looked at, a host that had been suspended served callers whose keys had been
// taken away meanwhile.
func (n *Node) gap() time.Duration {
	return n.options.Boot() - time.Duration(n.lastTick.Load())
}

func (n *Node) paused() bool {
	return n.gap() > pausedAfter
}
