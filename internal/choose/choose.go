// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package choose picks the backend server for one call.
package choose

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is what is known of one backend server.
type Candidate struct {
	// InFlight and Limit are the node's own.
	InFlight int
	Limit    int
	// Reported is how many calls of others the server last reported.
	Reported int
	// Slots is how many calls the server works on at once; 0 is not known.
	Slots int
	// Age is how old the report is.
	Age time.Duration
	// Slowdown is how much slower than its like the server answers; 1 is even.
	Slowdown float64
	// Near says that the server is in the node's availability zone.
	Near bool
	// Warm says that the server likely holds the prompt's prefix.
	Warm bool
	// Usable is false for a server that must not be chosen.
	Usable bool
}

// Costs turn preferences into time.
type Costs struct {
	// Work is how long the call takes at an idle server.
	Work time.Duration
	// Far is what another availability zone adds.
	Far time.Duration
	// Cold is what a missing prefix adds.
	Cold time.Duration
}

// Policy picks one of the candidates and returns its index, or -1 where none
// is usable and below its limit.
type Policy func(candidates []Candidate, costs Costs, random *rand.Rand) int

// samples is how many candidates LeastTime compares. More of them would herd
// on the same stale report, fewer would leave good servers idle.
const samples = 4

// halfLife is how fast trust in a report fades.
const halfLife = 500 * time.Millisecond

// LeastTime compares a few random candidates, and the warm ones, by the time
// until they would answer. It allocates nothing.
func LeastTime(candidates []Candidate, costs Costs, random *rand.Rand) int {
	best, bestTime := -1, math.Inf(1)
	consider := func(i int) {
		c := &candidates[i]
		if !c.free() {
			return
		}
		if t := c.expected(costs); t < bestTime {
			best, bestTime = i, t
		}
	}
	for i := range candidates {
		if candidates[i].Warm {
			consider(i)
		}
	}
	if len(candidates) <= samples {
		start := offset(len(candidates), random)
		for i := range candidates {
			consider((start + i) % len(candidates))
		}
		return best
	}
	for range samples {
		consider(random.IntN(len(candidates)))
	}
	if best >= 0 {
		return best
	}
	return firstFree(candidates, random)
}

// LeastInFlight takes the candidate with the fewest calls of this node.
func LeastInFlight(candidates []Candidate, _ Costs, random *rand.Rand) int {
	best := -1
	start := offset(len(candidates), random)
	for n := range candidates {
		i := (start + n) % len(candidates)
		if !candidates[i].free() {
			continue
		}
		if best < 0 || candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// Random takes any candidate.
func Random(candidates []Candidate, _ Costs, random *rand.Rand) int {
	return firstFree(candidates, random)
}

func firstFree(candidates []Candidate, random *rand.Rand) int {
	start := offset(len(candidates), random)
	for n := range candidates {
		i := (start + n) % len(candidates)
		if candidates[i].free() {
			return i
		}
	}
	return -1
}

func offset(n int, random *rand.Rand) int {
	if n == 0 {
		return 0
	}
	return random.IntN(n)
}

func (c *Candidate) free() bool {
	return c.Usable && c.InFlight < c.Limit
}

// expected returns the seconds until the candidate would answer: its work,
// stretched by the calls ahead of it.
func (c *Candidate) expected(costs Costs) float64 {
	trust := math.Exp2(-float64(c.Age) / float64(halfLife))
	ahead := float64(c.InFlight) + trust*float64(c.Reported)
	slots := float64(max(c.Slots, 1))
	if c.Slots == 0 {
		slots = float64(max(c.Limit, 1))
	}
	t := costs.Work.Seconds() * max(c.Slowdown, 0.1) * (1 + ahead/slots)
	if !c.Near {
		t += costs.Far.Seconds()
	}
	if !c.Warm {
		t += costs.Cold.Seconds()
	}
	return t
}
