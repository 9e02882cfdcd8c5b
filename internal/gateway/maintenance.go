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
	tickInterval = 200 * time.Millisecond
	// pauseThreshold is the gap between two ticks above which the process counts as paused, so
	// that its state may be stale.
	pauseThreshold = 1500 * time.Millisecond
	pruneInterval  = time.Second
)

// maintain detects pauses, closes idle connections, and drops expired servers.
func (n *Node) maintain(ctx context.Context) {
	n.lastTick.Store(int64(n.options.SinceBoot()))
	timer := time.NewTimer(tickInterval)
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
			n.log.WithField("gap_ms", n.sinceLastTick().Milliseconds()).Warn("the process stood still; confirming the configuration")
			n.versions.Interrupt()
			n.confirmer.confirm(ctx)
		}
		n.checkVersionRecord(now)
		n.lastTick.Store(int64(n.options.SinceBoot()))
		if n.serverTable.hasExpired(now) || n.evacuation.graceEnded(now) {
			n.refresh()
		}
		n.reportHosts()
		n.engines.UpdateMetrics(now)
		n.logRejected(n.directives.TakeRejected())
		n.logRejected(n.listed.TakeRejected())
		if now.Sub(pruned) >= pruneInterval {
			pruned = now
			n.backends.CloseExpired(now)
			n.suspects.RemoveExpired()
			n.notices.MarkListed(n.serverTable.contains)
			n.notices.RemoveExpired()
			n.limits.RemoveExpired(n.serverTable.contains)
		}
		timer.Reset(n.serverTable.nextExpiry(time.Now(), tickInterval))
	}
}

// reportHosts updates the metric of live hosts and logs their number if it changed.
func (n *Node) reportHosts() {
	live := n.serving()
	n.options.Scope.Gauge("hosts_known").Update(float64(live))
	if live == n.loggedHosts {
		return
	}
	n.log.WithFields(logrus.Fields{"hosts": live, "before": n.loggedHosts}).Info("hosts known")
	n.loggedHosts = live
}

// logRejected logs rejected values; the last valid ones stay in force.
func (n *Node) logRejected(rejected []published.Rejection) {
	for _, r := range rejected {
		n.options.Scope.Counter("values_rejected").Inc(1)
		n.log.WithFields(logrus.Fields{"key": r.Key, "era": r.Era, "revision": r.Revision, "reason": r.Reason}).Warn("published value rejected")
	}
}

// sinceLastTick returns how long ago the process was last seen running. With the monotonic
// clock alone, a host that had been suspended served callers whose keys had been revoked in
// the meantime.
func (n *Node) sinceLastTick() time.Duration {
	return n.options.SinceBoot() - time.Duration(n.lastTick.Load())
}

func (n *Node) paused() bool {
	return n.sinceLastTick() > pauseThreshold
}
