// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"sync"
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
	// lookTime is how long before the end of a timeout a silent engine is looked at, and how often
	// after it.
	lookTime = 200 * time.Millisecond
)

// reportOverdue notifies the engine's owner when the first event is overdue, unless the
// returned timer is stopped. It does so only for sends on a new connection: on a reused
// one, the silence may be the connection's fault, and prompts that are moved to other
// engines could use further silent connections.
func (s *stream) reportOverdue(a *attempt) *time.Timer {
	j := s.job
	if !j.needsNewConnection() {
		return nil
	}
	after := max(minOverdueDelay, overdueFactor*a.expected)
	return time.AfterFunc(after, func() { s.reportSilent(a, after) })
}

// reportSilent notifies the engine's owner once that the first event of an attempt is overdue.
func (s *stream) reportSilent(a *attempt, after time.Duration) {
	if a.reportedOverdue.Swap(true) {
		return
	}
	j := s.job
	j.core.scope.Counter("engines_silent").Inc(1)
	j.log.WithFields(logrus.Fields{"server": a.engine.Instance, "after_ms": after.Milliseconds(), "expected_ms": a.expected.Milliseconds()}).
		Info("the first event is overdue")
	j.core.options.Engines.ReportSilent(j.service.Name, a.engine.Instance)
}

// watchdog measures the silence of an attempt's engine while this host waits for it. It is safe for
// concurrent use.
type watchdog struct {
	activity *streamActivity
	// gapTimeout is the timeout of each event after the first.
	gapTimeout time.Duration

	mu sync.Mutex
	// timer calls the function that looks at a silent engine; nil if the stream can't go on at
	// another one.
	timer *time.Timer
	// overdueTimer reports an engine that has sent nothing yet.
	overdueTimer *time.Timer
	// waitingSince is when this host began to wait for data, and timeout how long it may take.
	// waitingSince is zero while it does not wait.
	waitingSince time.Time
	timeout      time.Duration
}

// startWatchdog starts to watch an attempt before it is sent.
func (s *stream) startWatchdog(parent context.Context, a *attempt) {
	j := s.job
	w := &watchdog{
		activity: j.core.servers.activity(a.engine.Instance).begin(a.sentAt), gapTimeout: max(silenceGapFactor*j.route.MaxGap, minSilence),
		waitingSince: time.Now(), timeout: max(minFirstEventTimeout, firstEventFactor*a.expected),
	}
	s.mu.Lock()
	a.watch = w
	s.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overdueTimer = s.reportOverdue(a)
	if j.route.Resumable && j.route.MaxAttempts > 1 {
		w.timer = time.AfterFunc(w.timeout-lookTime, func() { s.checkSilence(parent, a) })
	}
}

// pause records that this host does not wait until wait is called.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = time.Time{}
	w.stopTimers()
}

// wait records that this host waits for more data.
func (w *watchdog) wait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waitingSince.IsZero() {
		return
	}
	w.waitingSince, w.timeout = time.Now(), w.gapTimeout
	if w.timer != nil {
		w.timer.Reset(w.timeout - lookTime)
	}
}

// again makes the timer look at a silent engine once more.
func (w *watchdog) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.waitingSince.IsZero() {
		w.timer.Reset(lookTime)
	}
}

// silence returns for how long this host has been waiting for data, and how long that may take. It reports
// false if it does not wait.
func (w *watchdog) silence() (waited, timeout time.Duration, waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.waitingSince), w.timeout, !w.waitingSince.IsZero()
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.activity.end()
	w.pause()
}

// stopTimers stops the timers. The mutex must be held.
func (w *watchdog) stopTimers() {
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.overdueTimer != nil {
		w.overdueTimer.Stop()
		w.overdueTimer = nil
	}
}
