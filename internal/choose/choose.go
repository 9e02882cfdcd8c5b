// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package choose selects the backend server for a call.
package choose

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is the caller's view of one backend server.
type Candidate struct {
	// InFlight is the number of this node's calls in flight and Limit their maximum.
	InFlight int
	Limit    int
	// Reported is the number of other nodes' calls in the server's last report.
	Reported int
	// Slots is how many calls the server runs at once; 0 means unknown.
	Slots int
	// Age is the age of the report.
	Age time.Duration
	// Slowdown is the ratio of the server's response time to that of similar servers; 1 is
	// average.
	Slowdown float64
	// SameZone says that the server is in the node's availability zone.
	SameZone bool
	// HasPrefix says that the server has likely cached the prompt's prefix.
	HasPrefix bool
	// Usable is false for a server that must not be chosen.
	Usable bool
}

// Costs expresses preferences as time.
type Costs struct {
	// Work is how long the call takes at an idle server.
	Work time.Duration
	// CrossZoneTime is the additional time of a call to another availability zone.
	CrossZoneTime time.Duration
	// CacheMissTime is the additional time of a call whose prefix is not cached.
	CacheMissTime time.Duration
}

// Policy selects one of the candidates and returns its index, or -1 if none is usable and
// below its limit.
type Policy func(candidates []Candidate, costs Costs, random *rand.Rand) int

// sampleSize is how many candidates LeastTime compares. With more of them, nodes would herd on
// the server that looks best in the same stale report; with fewer, good servers would stay
// idle.
const sampleSize = 4

// reportHalfLife is the half-life of the weight of a report.
const reportHalfLife = 500 * time.Millisecond

// LeastTime compares by expected response time a few random candidates and all that have likely
// cached the prompt's prefix. It does not allocate.
func LeastTime(candidates []Candidate, costs Costs, random *rand.Rand) int {
	best, bestTime := -1, math.Inf(1)
	consider := func(i int) {
		c := &candidates[i]
		if !c.available() {
			return
		}
		if t := c.expectedSeconds(costs); t < bestTime {
			best, bestTime = i, t
		}
	}
	for i := range candidates {
		if candidates[i].HasPrefix {
			consider(i)
		}
	}
	if len(candidates) <= sampleSize {
		start := randomStart(len(candidates), random)
		for i := range candidates {
			consider((start + i) % len(candidates))
		}
		return best
	}
	for range sampleSize {
		consider(random.IntN(len(candidates)))
	}
	if best >= 0 {
		return best
	}
	return firstAvailable(candidates, random)
}

// LeastInFlight selects the candidate with the fewest calls of this node in flight.
func LeastInFlight(candidates []Candidate, _ Costs, random *rand.Rand) int {
	best := -1
	start := randomStart(len(candidates), random)
	for n := range candidates {
		i := (start + n) % len(candidates)
		if !candidates[i].available() {
			continue
		}
		if best < 0 || candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// Random selects a random available candidate.
func Random(candidates []Candidate, _ Costs, random *rand.Rand) int {
	return firstAvailable(candidates, random)
}

func firstAvailable(candidates []Candidate, random *rand.Rand) int {
	start := randomStart(len(candidates), random)
	for n := range candidates {
		i := (start + n) % len(candidates)
		if candidates[i].available() {
			return i
		}
	}
	return -1
}

func randomStart(n int, random *rand.Rand) int {
	if n == 0 {
		return 0
	}
	return random.IntN(n)
}

func (c *Candidate) available() bool {
	return c.Usable && c.InFlight < c.Limit
}

// expectedSeconds returns the expected response time in seconds: the work, scaled up by the
// calls ahead of it, plus the costs of another zone and of a prefix that is not cached.
func (c *Candidate) expectedSeconds(costs Costs) float64 {
	reportWeight := math.Exp2(-float64(c.Age) / float64(reportHalfLife))
	ahead := float64(c.InFlight) + reportWeight*float64(c.Reported)
	slots := float64(max(c.Slots, 1))
	if c.Slots == 0 {
		slots = float64(max(c.Limit, 1))
	}
	t := costs.Work.Seconds() * max(c.Slowdown, 0.1) * (1 + ahead/slots)
	if !c.SameZone {
		t += costs.CrossZoneTime.Seconds()
	}
	if !c.HasPrefix {
		t += costs.CacheMissTime.Seconds()
	}
	return t
}
