// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package limit adapts how many calls one node keeps in flight at one backend
// server: additive increase while the server keeps up, multiplicative decrease
// when it shows a queue, refuses, or slows down.
//
// A limit may be a fraction: where nodes outnumber a server's slots, each has
// less than one of them, and uses the server part of the time.
package limit

import (
	"cmp"
	"time"
)

// Options bounds a Limit. Zero fields take the defaults.
type Options struct {
	// Initial is where the limit starts.
	Initial float64
	// Min is the least limit, above 0.
	Min float64
	// Max is the greatest limit.
	Max float64
	// Fixed turns adaptation off; it is for baselines.
	Fixed bool
}

// Defaults of Options.
const (
	DefaultInitial = 1
	DefaultMin     = 0.1
	DefaultMax     = 256
)

const (
	decrease = 0.85
	increase = 0.3
	// idleIncrease is added to increase for a server that is all idle.
	idleIncrease = 8.0
	// startShare times its even share is where a node starts.
	startShare = 1.5
	pauseAfter = 100 * time.Millisecond
	// queued is how far above its undisturbed time a call must take before a
	// reported queue counts: a report may be old.
	queued = 1.25
	// slow is the same where the server reports nothing.
	slow = 2.5
	// pressed is the pressure from which limits are lowered.
	pressed = 0.5
	// quickGain is the weight of one call in the slowdown.
	quickGain = 0.2
	mostRatio = 10
)

// Sample is what one finished call tells.
type Sample struct {
	// Now is when the call ended.
	Now time.Time
	// Work is how long it took.
	Work time.Duration
	// Low is how long calls of its kind take undisturbed, and Mean how long
	// they take in the middle; 0 if unknown.
	Low  time.Duration
	Mean time.Duration
	// Running, Waiting and Slots are what the server reported; Slots 0 is no
	// report.
	Running int
	Waiting int
	Slots   int
	// Refused says that the server was full.
	Refused bool
	// Busy says that the node could have used more.
	Busy bool
	// Pressure is the share of the pool's late calls that were overloaded. Where
	// it is low, a queue at one server is chance, and others have room.
	Pressure float64
	// Total is the sum of the node's limits over the pool.
	Total float64
}

// Limit is the limit for one server. It is not safe for concurrent use.
type Limit struct {
	options Options
	value   float64
	// cutAt is when the limit was last lowered.
	cutAt time.Time
	// ratio follows Work over Mean and is 1 at the start.
	ratio float64
}

// New returns a limit within options.
func New(options Options) *Limit {
	options.Min = cmp.Or(options.Min, DefaultMin)
	options.Max = cmp.Or(options.Max, DefaultMax)
	options.Initial = cmp.Or(options.Initial, DefaultInitial)
	return &Limit{options: options, value: min(max(options.Initial, options.Min), options.Max), ratio: 1}
}

// Value returns how many calls may be in flight in the mean. It is above 0.
func (l *Limit) Value() float64 {
	return l.value
}

// Slowdown returns how much slower than its like the server answers lately; 1
// is even.
func (l *Limit) Slowdown() float64 {
	return l.ratio
}

// Resize starts the limit anew at the share of a server with that many slots
// that each of some nodes has, unless it is fixed.
func (l *Limit) Resize(slots, nodes int) {
	if l.options.Fixed {
		return
	}
	l.options.Max = float64(max(slots, 1))
	l.value = min(max(startShare*float64(slots)/float64(max(nodes, 1)), l.options.Min), l.options.Max)
}

// Add takes a finished call into account.
func (l *Limit) Add(s Sample) {
	if s.Mean > 0 && !s.Refused {
		now := s.Work.Seconds() / s.Mean.Seconds()
		l.ratio += quickGain * (min(now, mostRatio) - l.ratio)
	}
	if l.options.Fixed {
		return
	}
	if s.Overloaded() {
		if s.Refused || s.Pressure > pressed || l.ratio > slow {
			l.lower(s)
		}
		return
	}
	if s.Busy {
		l.value = min(l.value+s.growth()/max(s.Total, 1), l.options.Max)
	}
}

// growth is how much the limits of the pool may grow in the time of one call:
// the more of the server is idle, the faster.
func (s Sample) growth() float64 {
	if s.Slots == 0 || s.Waiting > 0 {
		return increase
	}
	idle := 1 - float64(min(s.Running, s.Slots))/float64(s.Slots)
	return increase + idleIncrease*idle
}

// Overloaded reports whether the call met a queue inside the server.
func (s Sample) Overloaded() bool {
	if s.Refused {
		return true
	}
	if s.Low == 0 {
		return s.Waiting > 0
	}
	took := s.Work.Seconds() / s.Low.Seconds()
	if s.Slots > 0 {
		return s.Waiting > 0 && took > queued
	}
	return took > slow
}

// lower cuts the limit, once for each time that a call takes: the calls that
// were under way then show the same queue.
func (l *Limit) lower(s Sample) {
	if s.Now.Sub(l.cutAt) < max(pauseAfter, s.Mean) {
		return
	}
	l.cutAt = s.Now
	l.value = max(l.value*decrease, l.options.Min)
}
