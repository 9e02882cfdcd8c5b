// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"
)

const (
	// durationWindow is the minimum time for which the longest duration of a route counts.
	durationWindow = 30 * time.Second
	// durationFactor and durationMargin are how much longer a request may take than the
	// longest one recorded. The fewer were recorded, the less reliable the maximum is:
	// sparseFactor divided by their number is added to the factor.
	durationFactor = 1.2
	sparseFactor   = 3.0
	durationMargin = 450 * time.Millisecond
	// eventGapFactor times the average time per event is what the events of a single
	// stream may take on average while the engine also reads other prompts.
	eventGapFactor = 1.4
	// meanWeight is the number of requests over which that average is taken.
	meanWeight = 16
)

// windowedMax is the maximum duration of the current window and of the previous one.
type windowedMax struct {
	previous    time.Duration
	current     time.Duration
	windowStart time.Time
}

func (p *windowedMax) add(now time.Time, d time.Duration) {
	if now.Sub(p.windowStart) >= durationWindow {
		p.previous, p.current, p.windowStart = p.current, 0, now
	}
	p.current = max(p.current, d)
}

func (p *windowedMax) value() time.Duration {
	return max(p.previous, p.current)
}

// routeDurations is how long the requests of a route took recently.
type routeDurations struct {
	samples int
	// maxToFirstByte is the longest time from arrival to the first byte, maxSendToFirstByte
	// from the last send to the first byte, and maxAfterFirstByte from the first byte to
	// the end.
	maxToFirstByte     windowedMax
	maxSendToFirstByte windowedMax
	maxAfterFirstByte  windowedMax
	// meanAfterFirstByte and meanEvents are the average time from the first event to the
	// end of a stream, and its average number of events. Their ratio is the time per
	// event.
	meanAfterFirstByte time.Duration
	meanEvents         float64
}

// durationTracker records durations by route. It is safe for concurrent use.
type durationTracker struct {
	mu     sync.Mutex
	routes map[string]*routeDurations
}

func newDurationTracker() *durationTracker {
	return &durationTracker{routes: make(map[string]*routeDurations)}
}

// requestDurations is how long an answered request took.
type requestDurations struct {
	// toFirstByte is the time from arrival to the first byte, sendToFirstByte from the last
	// send to the first byte, and afterFirstByte from the first byte to the end; events is
	// the number of events in that time.
	toFirstByte, sendToFirstByte, afterFirstByte time.Duration
	events                                       int
}

func (s *durationTracker) add(route string, t requestDurations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[route]
	if r == nil {
		if len(s.routes) >= maxRoutes {
			clear(s.routes)
		}
		r = &routeDurations{meanAfterFirstByte: t.afterFirstByte, meanEvents: float64(t.events)}
		s.routes[route] = r
	}
	now := time.Now()
	r.samples++
	r.maxToFirstByte.add(now, t.toFirstByte)
	r.maxSendToFirstByte.add(now, t.sendToFirstByte)
	r.maxAfterFirstByte.add(now, t.afterFirstByte)
	r.meanAfterFirstByte += (t.afterFirstByte - r.meanAfterFirstByte) / meanWeight
	r.meanEvents += (float64(t.events) - r.meanEvents) / meanWeight
}

// upperBounds returns the maximum time that a request may take from its arrival and from
// its send. events is the maximum number of events of its answer, 0 if unknown: the
// longest stream recorded says little about the next one. It reports false if no request
// of the route was recorded.
func (s *durationTracker) upperBounds(route string, events int) (arrived, sent time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[route]
	if r == nil {
		return 0, 0, false
	}
	rest := r.maxAfterFirstByte.value()
	if events > 0 && r.meanEvents > 0 {
		rest = max(rest, time.Duration(eventGapFactor*float64(r.meanAfterFirstByte)*float64(events)/r.meanEvents))
	}
	return r.withMargin(r.maxToFirstByte.value()) + rest, r.withMargin(r.maxSendToFirstByte.value()) + rest, true
}

// withMargin adds to a duration how much longer another request may take.
func (r *routeDurations) withMargin(d time.Duration) time.Duration {
	factor := durationFactor + sparseFactor/float64(r.samples)
	return time.Duration(factor*float64(d)) + durationMargin
}

// maxEvents returns the maximum number of events of the answer; 0 if it is unknown or the
// answer is not a stream.
func (j *job) maxEvents() int {
	if j.service.Engine == nil || j.service.Engine.EventTokens == 0 {
		return 0
	}
	return (j.TokensOut + j.service.Engine.EventTokens - 1) / j.service.Engine.EventTokens
}
