// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Knobs set how a backend server behaves. They may change at any time.
type Knobs struct {
	// Work is how long one call takes, and Jitter spreads it by up to that
	// share either way.
	Work   time.Duration
	Jitter float64
	// Slow multiplies Work; 0 is 1.
	Slow float64
	// Fail is the share of calls that end with status 500 after the work.
	Fail float64
	// Refuse is the share of calls that are refused as not started.
	Refuse float64
	// Hang is the share of calls that never answer.
	Hang float64
	// Mislabel is the share of answers that bear another request's name.
	Mislabel float64
	// Cut is the share of streams that break off in the middle.
	Cut float64
	// ReportLag is how old the load is that answers report.
	ReportLag time.Duration
	// EventLag is how late cache events are shown, and EventGap the share of
	// them that is lost.
	EventLag time.Duration
	EventGap float64
	// Silent leaves the load report out of answers.
	Silent bool
	// Leaving makes the server say that it is leaving and refuse new calls.
	Leaving bool
}

// dial holds the knobs of one server.
type dial struct {
	mu     sync.Mutex
	knobs  Knobs
	random *rand.Rand
}

func newDial(knobs Knobs, seed uint64) *dial {
	return &dial{knobs: knobs, random: rand.New(rand.NewPCG(seed, seed))}
}

func (d *dial) get() Knobs {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knobs
}

func (d *dial) set(change func(k *Knobs)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.knobs)
}

func (d *dial) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
}

// work returns how long the next call takes.
func (d *dial) work() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.knobs.Work.Seconds()
	if d.knobs.Slow > 0 {
		t *= d.knobs.Slow
	}
	t *= 1 + d.knobs.Jitter*(2*d.random.Float64()-1)
	return time.Duration(t * float64(time.Second))
}
