// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package limit adapts how many calls one node keeps in flight at one backend server: additive
// increase while the server keeps up, multiplicative decrease when it has a queue, refuses
// calls or slows down.
//
// A limit may be fractional: if there are more nodes than slots at a server, each node gets
// less than one slot and uses the server part of the time.
package limit

import (
	"cmp"
	"time"
)

// Options configures a Limit. Zero fields take the defaults.
type Options struct {
	// Initial is the initial limit.
	Initial float64
	// Min is the smallest limit, above 0.
	Min float64
	// Max is the largest limit.
	Max float64
	// Fixed disables adaptation, for baselines.
	Fixed bool
}

// Defaults of Options.
const (
	DefaultInitial = 1
	DefaultMin     = 0.1
	DefaultMax     = 256
)

const (
	decreaseFactor = 0.85
	baseIncrease   = 0.3
	// idleIncrease is the additional increase for a completely idle server.
	idleIncrease = 8.0
	// initialShare is the multiple of a node's even share of slots at which its limit starts.
	initialShare        = 1.5
	minDecreaseInterval = 100 * time.Millisecond
	// queuedRatio is the ratio of a call's time to its undisturbed time from which a reported
	// queue counts, since the report may be stale.
	queuedRatio = 1.25
	// slowRatio is the corresponding ratio if the server reports nothing.
	slowRatio = 2.5
	// pressureThreshold is the pressure from which limits are decreased.
	pressureThreshold = 0.5
	// slowdownGain is the weight of one call in the slowdown.
	slowdownGain = 0.2
	maxRatio     = 10
)

// Sample has the measurements of one finished call.
type Sample struct {
	// Now is when the call ended.
	Now time.Time
	// Work is how long the call took.
	Work time.Duration
	// Low is how long calls of its kind take undisturbed, and Mean their average time; 0 means
	// unknown.
	Low  time.Duration
	Mean time.Duration
	// Running, Waiting and Slots are from the server's report; Slots is 0 if there is none.
	Running int
	Waiting int
	Slots   int
	// Refused says that the server refused the call because it was full.
	Refused bool
	// Busy says that the node could have used a higher limit.
	Busy bool
	// Pressure is the share of the pool's recent calls that were overloaded. If it is low, a
	// queue at one server is chance and other servers have capacity.
	Pressure float64
	// Total is the sum of the node's limits over the pool.
	Total float64
}

// Limit is the concurrency limit of one node for one server. It is not safe for concurrent
// use.
type Limit struct {
	options Options
	value   float64
	// decreasedAt is when the limit was last decreased.
	decreasedAt time.Time
	// slowdown is the moving average of Work over Mean, initially 1.
	slowdown float64
}

// New returns a Limit with the given options.
func New(options Options) *Limit {
	options.Min = cmp.Or(options.Min, DefaultMin)
	options.Max = cmp.Or(options.Max, DefaultMax)
	options.Initial = cmp.Or(options.Initial, DefaultInitial)
	return &Limit{options: options, value: min(max(options.Initial, options.Min), options.Max), slowdown: 1}
}

// Value returns how many calls may be in flight on average. It is above 0.
func (l *Limit) Value() float64 {
	return l.value
}

// Slowdown returns the ratio of the server's recent response time to that of similar servers;
// 1 is average.
func (l *Limit) Slowdown() float64 {
	return l.slowdown
}

// Resize restarts the limit at a node's share of the given number of slots, for a server that
// is shared by the given number of nodes. It has no effect on a fixed limit.
func (l *Limit) Resize(slots, nodes int) {
	if l.options.Fixed {
		return
	}
	l.options.Max = float64(max(slots, 1))
	l.value = min(max(initialShare*float64(slots)/float64(max(nodes, 1)), l.options.Min), l.options.Max)
}

// Add updates the limit with a finished call.
func (l *Limit) Add(s Sample) {
	if s.Mean > 0 && !s.Refused {
		callSlowdown := s.Work.Seconds() / s.Mean.Seconds()
		l.slowdown += slowdownGain * (min(callSlowdown, maxRatio) - l.slowdown)
	}
	if l.options.Fixed {
		return
	}
	if s.Overloaded() {
		if s.Refused || s.Pressure > pressureThreshold || l.slowdown > slowRatio {
			l.lower(s)
		}
		return
	}
	if s.Busy {
		l.value = min(l.value+s.growth()/max(s.Total, 1), l.options.Max)
	}
}

// growth returns how much the limits of the pool may grow in the time of one call. The more of
// the server is idle, the faster they grow.
func (s Sample) growth() float64 {
	if s.Slots == 0 || s.Waiting > 0 {
		return baseIncrease
	}
	idle := 1 - float64(min(s.Running, s.Slots))/float64(s.Slots)
	return baseIncrease + idleIncrease*idle
}

// Overloaded reports whether the call was queued or refused by the server.
func (s Sample) Overloaded() bool {
	if s.Refused {
		return true
	}
	if s.Low == 0 {
		return s.Waiting > 0
	}
	timeRatio := s.Work.Seconds() / s.Low.Seconds()
	if s.Slots > 0 {
		return s.Waiting > 0 && timeRatio > queuedRatio
	}
	return timeRatio > slowRatio
}

// lower decreases the limit, at most once in the time of a call, since calls that were in
// flight together show the same queue.
func (l *Limit) lower(s Sample) {
	if s.Now.Sub(l.decreasedAt) < max(minDecreaseInterval, s.Mean) {
		return
	}
	l.decreasedAt = s.Now
	l.value = max(l.value*decreaseFactor, l.options.Min)
}
