// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Knobs configure the behaviour and the faults of a backend server. They may change at any time.
type Knobs struct {
	// CallTime is the duration of a call. It varies at random by up to the share Jitter in either
	// direction.
	CallTime time.Duration
	Jitter   float64
	// SlowFactor is a factor for CallTime and for the time between tokens. 0 means 1.
	SlowFactor float64
	// FailShare is the share of calls that fail with status 500 after the work is done.
	FailShare float64
	// RefuseShare is the share of calls that are refused before they start.
	RefuseShare float64
	// HangShare is the share of calls that are never answered.
	HangShare float64
	// MislabelShare is the share of answers that have the name and the result of another request.
	MislabelShare float64
	// CutShare is the share of streams whose connection is closed in the middle.
	CutShare float64
	// ReportLag is the age of the load that answers report.
	ReportLag time.Duration
	// EventLag is the delay of cache events, and EventGap the share of calls whose cache events
	// are lost.
	EventLag time.Duration
	EventGap float64
	// Silent omits the load report from answers.
	Silent bool
	// Leaving makes the server report that it is leaving and refuse new calls.
	Leaving bool
}

// behaviour has the knobs of one server and its source of random numbers.
type behaviour struct {
	mu     sync.Mutex
	knobs  Knobs
	random *rand.Rand
}

func newBehaviour(knobs Knobs, seed uint64) *behaviour {
	return &behaviour{knobs: knobs, random: rand.New(rand.NewPCG(seed, seed))}
}

func (b *behaviour) currentKnobs() Knobs {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knobs
}

func (b *behaviour) updateKnobs(change func(k *Knobs)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.knobs)
}

func (b *behaviour) withProbability(probability float64) bool {
	if probability <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Float64() < probability
}

// callTime returns the duration of the next call.
func (b *behaviour) callTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	seconds := b.knobs.CallTime.Seconds()
	if b.knobs.SlowFactor > 0 {
		seconds *= b.knobs.SlowFactor
	}
	seconds *= 1 + b.knobs.Jitter*(2*b.random.Float64()-1)
	return time.Duration(seconds * float64(time.Second))
}
