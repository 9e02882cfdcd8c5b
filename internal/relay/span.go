// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"
)

const (
	// spanWindow is how long the longest time of a route counts at least.
	spanWindow = 30 * time.Second
	// spanFactor and spanMargin are what a request may take beyond the longest
	// that was seen. The fewer were seen, the less the longest says: spanDoubt
	// over their number is added to the factor.
	spanFactor = 1.2
	spanDoubt  = 3.0
	spanMargin = 450 * time.Millisecond
	// spanGaps times the average time of an event is what those of one stream may
	// take on average, beside other prompts that are read.
	spanGaps = 1.4
	// spanWeight is how many requests that average comes from.
	spanWeight = 16
)

// peak is the longest time of a window that runs and of the one before.
type peak struct {
	before time.Duration
	now    time.Duration
	since  time.Time
}

func (p *peak) add(now time.Time, d time.Duration) {
	if now.Sub(p.since) >= spanWindow {
		p.before, p.now, p.since = p.now, 0, now
	}
	p.now = max(p.now, d)
}

func (p *peak) longest() time.Duration {
	return max(p.before, p.now)
}

// span is how long the requests of a route took lately.
type span struct {
	samples int
	// first is the longest time from arrival to the first byte, served that from
	// the last send to it, and whole that from there to the end.
	first  peak
	served peak
	whole  peak
	// rest and events are what streams took from their first event on, and how
	// many they had, on average: their ratio is what an event takes.
	rest   time.Duration
	events float64
}

// spans has the spans of routes, by name. It is safe for concurrent use.
type spans struct {
	mu     sync.Mutex
	routes map[string]*span
}

func newSpans() *spans {
	return &spans{routes: make(map[string]*span)}
}

// took is how long a request took that was answered.
type took struct {
	// first is the time from arrival to the first byte, served that from the
	// last send to it, and rest what came after it, of so many events.
	first, served, rest time.Duration
	events              int
}

func (s *spans) add(route string, t took) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[route]
	if r == nil {
		if len(s.routes) >= routesMost {
			clear(s.routes)
		}
		r = &span{rest: t.rest, events: float64(t.events)}
		s.routes[route] = r
	}
	now := time.Now()
	r.samples++
	r.first.add(now, t.first)
	r.served.add(now, t.served)
	r.whole.add(now, t.rest)
	r.rest += (t.rest - r.rest) / spanWeight
	r.events += (float64(t.events) - r.events) / spanWeight
}

// longest returns the most that a request may take from its arrival and from its
// send, whose answer has at most so many events, or a number that is not known
// where that is 0. It reports false where none of its route was seen. The longest
// stream seen says little of the next.
func (s *spans) longest(route string, events int) (arrived, sent time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[route]
	if r == nil {
		return 0, 0, false
	}
	rest := r.whole.longest()
	if events > 0 && r.events > 0 {
		rest = max(rest, time.Duration(spanGaps*float64(r.rest)*float64(events)/r.events))
	}
	return r.atMost(r.first.longest()) + rest, r.atMost(r.served.longest()) + rest, true
}

// atMost adds to a time what another request may take beyond it.
func (r *span) atMost(d time.Duration) time.Duration {
	factor := spanFactor + spanDoubt/float64(r.samples)
	return time.Duration(factor*float64(d)) + spanMargin
}

// eventsMost is how many events the answer may have: 0 where that is not told, or
// where it is no stream.
func (j *job) eventsMost() int {
	if j.service.Engine == nil || j.service.Engine.EventTokens == 0 {
		return 0
	}
	return (j.TokensOut + j.service.Engine.EventTokens - 1) / j.service.Engine.EventTokens
}
