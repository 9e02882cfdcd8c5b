// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package estimate predicts how long work takes from the measured times of work of its kind,
// and indicates when there are none.
package estimate

import (
	"math"
	"sync"
	"time"
)

const (
	sampleWeight = 0.1
	// lowFallWeight and lowRiseWeight are the weights with which a shorter and a longer time
	// change Low.
	lowFallWeight = 0.2
	lowRiseWeight = 0.01
	// minSamples is the number of samples below which the mean is a plain average.
	minSamples = 10
	maxKinds   = 4096
	// meanHalfLife is the half-life of an estimate without new samples. The mean decays
	// towards Low.
	meanHalfLife = 2 * time.Second
	// forgetHalfLife is the half-life with which the estimate is discarded altogether. A node
	// that has only ever called one slow server knows nothing of the others.
	forgetHalfLife = 10 * time.Second
)

// Estimate is a prediction.
type Estimate struct {
	// Mean is the expected time.
	Mean time.Duration
	// Spread is the mean deviation from Mean.
	Spread time.Duration
	// Low is the time of an undisturbed call, near the shortest recent one.
	Low time.Duration
	// Typical is the time of most calls when they were last measured. Unlike Mean and Spread
	// it does not decay.
	Typical time.Duration
	// Samples is the number of measured times. If it is 0, Mean is a guess.
	Samples int
}

// Table has one estimate for each kind of work. It is safe for concurrent use and holds a
// bounded number of kinds.
type Table struct {
	mu    sync.Mutex
	kinds map[string]*series
}

type series struct {
	mean, spread, low float64
	samples           int
	// lastSampleAt is the time of the last sample.
	lastSampleAt time.Time
}

// New returns an empty Table.
func New() *Table {
	return &Table{kinds: make(map[string]*series)}
}

// Add adds a measured time of a kind.
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
	s.lastSampleAt = time.Now()
	if s.samples == 1 {
		s.mean, s.low = x, x
		return
	}
	s.updateLow(x)
	g := sampleWeight
	if s.samples < minSamples {
		g = 1 / float64(s.samples)
	}
	s.spread += g * (math.Abs(x-s.mean) - s.spread)
	s.mean += g * (x - s.mean)
}

// forget moves the series towards x by the share that it has decayed, so that decayed values
// do not return with the next sample, neither as a time nor as a deviation from it.
func (s *series) forget(x float64) {
	if s.samples == 0 {
		return
	}
	forgotten := 1 - s.retained()
	s.mean += forgotten * (x - s.mean)
	s.low += forgotten * (x - s.low)
	s.spread *= 1 - forgotten
}

// updateLow moves low towards shorter times quickly and towards longer ones slowly.
func (s *series) updateLow(x float64) {
	g := lowRiseWeight
	if x < s.low {
		g = lowFallWeight
	}
	s.low += g * (x - s.low)
}

// retained returns the share of the series that still counts. It is 1 right after a sample.
func (s *series) retained() float64 {
	return math.Exp2(-float64(time.Since(s.lastSampleAt)) / float64(forgetHalfLife))
}

// estimate returns the current estimate of the series. The cause of slow calls may have passed
// while none were made, so the mean decays towards low with age. Otherwise work that is
// refused because of a high estimate could never lower it.
func (s *series) estimate() Estimate {
	age := float64(time.Since(s.lastSampleAt))
	fresh := math.Exp2(-age / float64(meanHalfLife))
	mean := s.retained() * (s.low + (s.mean-s.low)*fresh)
	return Estimate{
		Mean:    seconds(mean),
		Spread:  seconds(s.spread * fresh),
		Low:     seconds(s.low),
		Typical: seconds(s.mean + s.spread),
		Samples: s.samples,
	}
}

// Estimate returns the estimate of kind. Without samples its Mean is 0, so that unknown work
// is never refused.
func (t *Table) Estimate(kind string) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.kinds[kind]
	if s == nil {
		return Estimate{}
	}
	return s.estimate()
}

// Age returns the time since the last sample of kind. Without samples it is the time since the
// zero time, which is very long.
func (t *Table) Age(kind string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.kinds[kind]
	if s == nil {
		return time.Since(time.Time{})
	}
	return time.Since(s.lastSampleAt)
}

// All returns a copy of the estimates by kind, for the dump.
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
