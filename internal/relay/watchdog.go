// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// silenceGapFactor times the longest pause that is in time is how long a stream that
	// another server can resume may be silent.
	silenceGapFactor = 5
	// firstEventFactor times the expected time to the first event, but at least
	// minFirstEventTimeout, is the timeout of the first event if another engine can serve
	// the request.
	firstEventFactor     = 5
	minFirstEventTimeout = 900 * time.Millisecond
	// overdueFactor times the expected time to the first event, but at least
	// minOverdueDelay, is the delay after which an engine that has sent nothing is
	// reported as silent.
	overdueFactor   = 3
	minOverdueDelay = 500 * time.Millisecond
	// minSilence is the shortest silence that counts as a failure.
	minSilence = 500 * time.Millisecond
)

// reportOverdue notifies the engine's owner when the first event is overdue, unless the
// returned timer is stopped. It does so only for sends on a new connection: on a reused
// one, the silence may be the connection's fault, and prompts that are moved to other
// engines could use further silent connections.
func (s *stream) reportOverdue(engine Server) *time.Timer {
	s.reportedOverdue.Store(false)
	j := s.job
	if !j.needsNewConnection() {
		return nil
	}
	after := max(minOverdueDelay, overdueFactor*s.expectedFirstEvent)
	return time.AfterFunc(after, func() {
		s.reportedOverdue.Store(true)
		j.core.scope.Counter("engines_silent").Inc(1)
		j.log.WithFields(logrus.Fields{"server": engine.Instance, "after_ms": after.Milliseconds(), "expected_ms": s.expectedFirstEvent.Milliseconds()}).
			Info("the first event is overdue")
		j.core.options.Engines.ReportSilent(j.service.Name, engine.Instance)
	})
}

// watchdog cancels a send whose server has fallen silent.
type watchdog struct {
	activity *serverActivity
	// receivedAt is when the server last sent something for this send; zero if it never has.
	receivedAt  time.Time
	timer       *time.Timer
	idleTimeout time.Duration
	// overdueTimer reports a server that has sent nothing yet.
	overdueTimer *time.Timer
}

// newWatchdog returns a watchdog for a stream that another engine can resume; for other
// streams it never fires.
func (s *stream) newWatchdog(cancel context.CancelCauseFunc) *watchdog {
	j := s.job
	activity := j.core.servers.activity(s.engine.Instance)
	if !j.route.Resumable || j.possibleRuns()+1 >= j.route.MaxAttempts {
		return &watchdog{activity: activity}
	}
	first := max(minFirstEventTimeout, firstEventFactor*s.expectedFirstEvent)
	return &watchdog{
		activity:    activity,
		timer:       time.AfterFunc(first, func() { cancel(errStreamSilent) }),
		idleTimeout: max(silenceGapFactor*j.route.MaxGap, minSilence),
	}
}

func (w *watchdog) extend() {
	w.receivedAt = time.Now()
	w.activity.received(w.receivedAt)
	w.stopOverdue()
	if w.timer != nil {
		w.timer.Reset(w.idleTimeout)
	}
}

func (w *watchdog) stop() {
	w.stopOverdue()
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) stopOverdue() {
	if w.overdueTimer != nil {
		w.overdueTimer.Stop()
	}
}
