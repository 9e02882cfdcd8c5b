// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package limit adapts how many calls one node keeps in flight at one backend
// server: additive increase while the server keeps up, multiplicative decrease
// when it shows a queue, refuses, or slows down.
package limit

import "time"

// Options bounds a Limit. Zero fields take the defaults.
type Options struct {
	// Initial is where the limit starts.
	Initial float64
	// Min is the least limit, at least 1.
	Min float64
	// Max is the greatest limit.
	Max float64
	// Fixed turns adaptation off; it is for baselines.
	Fixed bool
}

// Defaults of Options.
const (
	DefaultInitial = 4
	DefaultMin     = 1
	DefaultMax     = 256
)

const (
	decrease   = 0.8
	increase   = 1.0
	pauseAfter = 100 * time.Millisecond
	// slowFactor is how far above its long-run time a call may take before it
	// counts as a sign of a queue inside the server.
	slowFactor = 2.5
	quickGain  = 0.3
)

// Sample is what one finished call tells.
type Sample struct {
	// Now is when the call ended.
	Now time.Time
	// Work is how long it took.
	Work time.Duration
	// Expected is what calls of its kind take in the long run; 0 if unknown.
	Expected time.Duration
	// Waiting and Slots are what the server reported; Slots 0 is no report.
	Waiting int
	Slots   int
	// Refused says that the server was full.
	Refused bool
	// InFlight is how many calls the node had there when this one ended.
	InFlight int
}

// Limit is the limit for one server. It is not safe for concurrent use.
type Limit struct {
	options Options
	value   float64
	// cutAt is when the limit was last lowered.
	cutAt time.Time
	// ratio follows Work over Expected and is 1 at the start.
	ratio float64
}

// New returns a limit within options.
func New(options Options) *Limit {
	if options.Min < DefaultMin {
		options.Min = DefaultMin
	}
	if options.Max <= 0 {
		options.Max = DefaultMax
	}
	if options.Initial <= 0 {
		options.Initial = DefaultInitial
	}
	return &Limit{options: options, value: min(max(options.Initial, options.Min), options.Max), ratio: 1}
}

// Value returns how many calls may be in flight, at least 1.
func (l *Limit) Value() int {
	return int(l.value)
}

// Slowdown returns how much slower than expected the server answers lately;
// 1 is as expected.
func (l *Limit) Slowdown() float64 {
	return l.ratio
}

// Add takes a finished call into account.
func (l *Limit) Add(s Sample) {
	if s.Expected > 0 && !s.Refused {
		now := s.Work.Seconds() / s.Expected.Seconds()
		l.ratio += quickGain * (min(now, 10) - l.ratio)
	}
	if l.options.Fixed {
		return
	}
	if l.overloaded(s) {
		l.lower(s.Now)
		return
	}
	if float64(s.InFlight) >= l.value*0.75 {
		l.value = min(l.value+increase/l.value, l.options.Max)
	}
}

func (l *Limit) overloaded(s Sample) bool {
	if s.Refused {
		return true
	}
	if s.Slots > 0 {
		return s.Waiting > max(s.Slots/4, 1)
	}
	return l.ratio > slowFactor
}

func (l *Limit) lower(now time.Time) {
	if now.Sub(l.cutAt) < pauseAfter {
		return
	}
	l.cutAt = now
	l.value = max(l.value*decrease, l.options.Min)
}
