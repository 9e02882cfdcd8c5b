// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package estimate predicts how long work takes from what was seen of its
// kind, and says so where nothing was seen.
package estimate

import (
	"math"
	"sync"
	"time"
)

const (
	gain = 0.1
	// lowFall and lowRise are the weights of a shorter and a longer time.
	lowFall = 0.2
	lowRise = 0.01
	// fewSamples is below which the plain mean is kept.
	fewSamples = 10
	maxKinds   = 4096
	// halfLife is how fast an estimate that nothing renews fades.
	halfLife = 2 * time.Second
	// forgetLife is how fast it is forgotten altogether: a node that has only
	// ever met a slow server knows nothing of the others.
	forgetLife = 10 * time.Second
)

// Estimate is a prediction.
type Estimate struct {
	// Mean is the expected time.
	Mean time.Duration
	// Spread is the mean deviation from Mean.
	Spread time.Duration
	// Low is what an undisturbed call takes: near the shortest seen lately.
	Low time.Duration
	// Typical is what most calls took when they were last seen. Unlike Mean and
	// Spread it does not fade.
	Typical time.Duration
	// Samples is how many times were seen; 0 means that Mean is a guess.
	Samples int
}

// Table keeps one estimate for each kind of work. It is safe for concurrent
// use and holds a bounded number of kinds.
type Table struct {
	mu    sync.Mutex
	kinds map[string]*series
}

type series struct {
	mean, spread, low float64
	samples           int
	// last is when the last time was seen.
	last time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{kinds: make(map[string]*series)}
}

// Add takes one time into account.
func (t *Table) Add(kind string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.kinds[kind]
	if s == nil {
		if len(t.kinds) >= maxKinds {
			return
		}
		s = &series{}
		t.kinds[kind] = s
	}
	x := d.Seconds()
	s.forget(x)
	s.samples++
	s.last = time.Now()
	if s.samples == 1 {
		s.mean, s.low = x, x
		return
	}
	s.lower(x)
	g := gain
	if s.samples < fewSamples {
		g = 1 / float64(s.samples)
	}
	s.spread += g * (math.Abs(x-s.mean) - s.spread)
	s.mean += g * (x - s.mean)
}

// forget moves the series towards x by as much as it no longer counts, so that
// what was forgotten does not come back with the next sample, neither as a time
// nor as a deviation from it.
func (s *series) forget(x float64) {
	if s.samples == 0 {
		return
	}
	forgotten := 1 - s.known()
	s.mean += forgotten * (x - s.mean)
	s.low += forgotten * (x - s.low)
	s.spread *= 1 - forgotten
}

// lower moves low towards shorter times quickly and towards longer ones
// slowly.
func (s *series) lower(x float64) {
	g := lowRise
	if x < s.low {
		g = lowFall
	}
	s.low += g * (x - s.low)
}

// known is how much of the series still counts, 1 right after a sample.
func (s *series) known() float64 {
	return math.Exp2(-float64(time.Since(s.last)) / float64(forgetLife))
}

// estimate returns the series as it counts now. What makes calls slow may have
// passed while none were made, so the mean falls back towards low with age:
// otherwise work that is refused for a high estimate could never lower it.
func (s *series) estimate() Estimate {
	age := float64(time.Since(s.last))
	fresh := math.Exp2(-age / float64(halfLife))
	mean := s.known() * (s.low + (s.mean-s.low)*fresh)
	return Estimate{
		Mean:    seconds(mean),
		Spread:  seconds(s.spread * fresh),
		Low:     seconds(s.low),
		Typical: seconds(s.mean + s.spread),
		Samples: s.samples,
	}
}

// Of returns the estimate of kind. With no sample its Mean is 0, which never
// refuses work that nothing is known about.
func (t *Table) Of(kind string) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.kinds[kind]
	if s == nil {
		return Estimate{}
	}
	return s.estimate()
}

// Age returns how long ago a time of kind was last seen; the zero time ago, that
// is very long, where none was.
func (t *Table) Age(kind string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.kinds[kind]
	if s == nil {
		return time.Since(time.Time{})
	}
	return time.Since(s.last)
}

// All returns a copy of the table, for the dump.
func (t *Table) All() map[string]Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]Estimate, len(t.kinds))
	for k, s := range t.kinds {
		all[k] = s.estimate()
	}
	return all
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
