// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// silentGaps times the longest pause that is in time is how long a stream
	// that another server may go on with is waited for.
	silentGaps = 5
	// firstFactor times the expected time to the first event, and firstLeast,
	// are how long the first event is waited for where another may serve.
	firstFactor = 5
	firstLeast  = 900 * time.Millisecond
	// overdueFactor times the expected time to the first event, and overdueLeast,
	// are when an engine that has answered nothing is told of as silent.
	overdueFactor = 3
	overdueLeast  = 500 * time.Millisecond
	// silentLeast is the least silence that means something.
	silentLeast = 500 * time.Millisecond
)

// tellOverdue tells the engine's owner when the first event is overdue, unless the
// timer that it returns is stopped. On a connection that had rested the silence may
// be the connection's, and prompts sent on might meet further silent ones.
func (s *stream) tellOverdue(engine Server) *time.Timer {
	s.overdue.Store(false)
	j := s.job
	if !j.connectsAnew() {
		return nil
	}
	after := max(overdueLeast, overdueFactor*s.expected)
	return time.AfterFunc(after, func() {
		s.overdue.Store(true)
		j.core.scope.Counter("engines_silent").Inc(1)
		j.log.WithFields(logrus.Fields{"server": engine.Instance, "after_ms": after.Milliseconds(), "expected_ms": s.expected.Milliseconds()}).
			Info("the first event is overdue")
		j.core.options.Engines.Silent(j.service.Name, engine.Instance)
	})
}

// watchdog cancels a send whose server has fallen silent.
type watchdog struct {
	timer *time.Timer
	pause time.Duration
	// overdue tells of a server that has answered nothing yet.
	overdue *time.Timer
}

// watch returns a watchdog for a stream that another engine may go on with; for
// others it never strikes.
func (s *stream) watch(cancel context.CancelCauseFunc) *watchdog {
	j := s.job
	if !j.route.Resumable || j.ran()+1 >= j.route.MaxAttempts {
		return &watchdog{}
	}
	first := max(firstLeast, firstFactor*s.expected)
	return &watchdog{
		timer: time.AfterFunc(first, func() { cancel(errSilent) }),
		pause: max(silentGaps*j.route.MaxGap, silentLeast),
	}
}

func (w *watchdog) heard() {
	w.stopOverdue()
	if w.timer != nil {
		w.timer.Reset(w.pause)
	}
}

func (w *watchdog) stop() {
	w.stopOverdue()
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) stopOverdue() {
	if w.overdue != nil {
		w.overdue.Stop()
	}
}
