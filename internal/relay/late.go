// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/exchange"
)

// lateEventDelay is how long the late events of a silent engine are held while a second engine works on the
// stream. What an engine sent before it crashed arrives together with the end of its connection.
const lateEventDelay = 100 * time.Millisecond

// hold keeps events of an engine that was silent until it sends more after lateEventDelay, which shows that it
// still works on the stream, so that a second engine isn't ended for bytes that were on their way. The second
// engine's events are those of another run: they can't follow these. broken means that the answer broke off right
// behind the events, so that nothing can show that the engine still works. It reports whether the events are held.
func (s *stream) hold(a *attempt, now time.Time, events []byte, broken bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.hedged || a.superseded || !s.secondWorks(a) {
		return false
	}
	if broken {
		a.held = append(a.held, events...)
		return true
	}
	if len(a.held)+len(events) > maxBufferedBody {
		return false
	}
	if a.heldAt.IsZero() {
		a.heldAt = now
	}
	if now.Sub(a.heldAt) >= lateEventDelay {
		return false
	}
	a.held = append(a.held, events...)
	return true
}

// awaitHeld waits while another attempt holds late events and may still show that its engine works on the
// stream. The mutex must be held; it is released meanwhile.
func (s *stream) awaitHeld(a *attempt) {
	for !a.superseded {
		left := time.Duration(0)
		for _, other := range s.attempts {
			if other != a && !other.superseded && !other.heldAt.IsZero() {
				left = max(left, lateEventDelay-time.Since(other.heldAt))
			}
		}
		if left <= 0 {
			return
		}
		timer := time.AfterFunc(left, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ended.Broadcast()
		})
		s.ended.Wait()
		timer.Stop()
	}
}

// dropsHeld reports whether the late events of an attempt, whose connection has ended without a sign that the
// answer is whole, are left to the second engine.
func (s *stream) dropsHeld(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(a.held) > 0 && s.secondWorks(a)
}

// secondWorks reports whether another attempt was sent and may still send the next event. The mutex must be
// held.
func (s *stream) secondWorks(a *attempt) bool {
	return slices.ContainsFunc(s.attempts, func(other *attempt) bool { return other != a && other.begun && !other.superseded })
}

// logHeld logs that an attempt has ended with err before its late events were forwarded.
func (s *stream) logHeld(a *attempt, framing exchange.Framing, err error) {
	if len(a.held) == 0 {
		return
	}
	s.mu.Lock()
	fields := logrus.Fields{"server": a.engine.Instance, "after_event": s.splitter.lastID, "last_event": a.splitter.lastID, "second_works": s.secondWorks(a), "framing": framing.String()}
	s.mu.Unlock()
	s.job.core.scope.Counter("late_events_dropped").Inc(1)
	s.job.log.WithFields(fields).WithError(err).Info("late events of a silent backend server dropped")
}
