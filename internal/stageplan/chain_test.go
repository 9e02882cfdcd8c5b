// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"
)

// arrival is a request that arrives.
type arrival struct {
	kind *kind
	at   time.Duration
}

// value is what requests would be worth in time, and how much of it was earned.
type value struct{ possible, earned float64 }

// chainSummary is the summary of a simulated load.
type chainSummary struct {
	possible, earned   float64
	byKind             map[string]value
	inTime, late, lost map[string]int
	windows            []float64
	wasted, worked     time.Duration
	noRoom             int
	// crossedZones is how many bytes of results were made outside their zone.
	crossedZones                 int64
	first                        map[string][]time.Duration
	windowPossible, windowEarned []float64
}

func (p *chainSummary) share() float64 { return p.earned / p.possible }

// worst returns the mean share of the two worst windows.
func (p *chainSummary) worst() float64 {
	shares := slices.Clone(p.windows)
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}

// shareOf returns the share of a kind's value that was earned.
func (p *chainSummary) shareOf(kind string) float64 {
	return p.byKind[kind].earned / p.byKind[kind].possible
}

func (p *chainSummary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "share %.3f, worst windows %.3f, wasted %.1f of %.0f s, no room %d, crossed %.2f GB;", p.share(), p.worst(), p.wasted.Seconds(), p.worked.Seconds(), p.noRoom, float64(p.crossedZones)/1e9)
	names := make([]string, 0, len(p.byKind))
	for name := range p.byKind {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		first := p.first[name]
		slices.Sort(first)
		var median, p90 time.Duration
		if len(first) > 0 {
			median, p90 = first[len(first)/2], first[len(first)*9/10]
		}
		fmt.Fprintf(&b, " %s %.3f (%d in time, %d late, %d not; %d %d ms)", name, p.shareOf(name), p.inTime[name], p.late[name], p.lost[name], median.Milliseconds(), p90.Milliseconds())
	}
	return b.String()
}

// chainSimulator runs a load on the schedulers of its pools.
type chainSimulator struct {
	chainLoad
	// random draws the arrivals, chances which of them are refused.
	random          *rand.Rand
	chances         *rand.Rand
	byName          map[string]*chainPool
	pendingArrivals []arrival
	requests        []*chainRequest
	submitted       int
	summary         chainSummary
}

func simulateChain(load chainLoad, seed uint64) *chainSummary {
	p := &chainSimulator{
		chainLoad: load, random: rand.New(rand.NewPCG(seed, 5)), chances: rand.New(rand.NewPCG(seed, 6)), byName: make(map[string]*chainPool),
		summary: chainSummary{
			byKind: make(map[string]value), inTime: make(map[string]int), late: make(map[string]int), lost: make(map[string]int),
			first: make(map[string][]time.Duration),
		},
	}
	for i, l := range load.pools {
		p.byName[l.spec.Service] = newChainPool(l, byte(i+1), cmp.Or(load.zones, 3))
	}
	for at := time.Duration(0); at < load.duration+8*time.Second; at += chainStep {
		now := start.Add(at)
		p.applyOutages(at)
		p.loseHosts(at)
		if at < load.duration {
			p.arrive(at)
		}
		for _, l := range load.pools {
			pool := p.byName[l.spec.Service]
			pool.deliver(now)
			pool.scheduler.ResendOverdue(now)
			p.send(pool, at)
		}
		p.advance(now)
	}
	for i, possible := range p.summary.windowPossible {
		if possible > 0 && time.Duration(i)*valueWindow < load.duration {
			p.summary.windows = append(p.summary.windows, p.summary.windowEarned[i]/possible)
		}
	}
	return &p.summary
}

// logNormal draws a number from a log-normal distribution about a mean.
func (p *chainSimulator) logNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*p.random.NormFloat64()-spread*spread/2)
}

// arrive generates arriving requests, some of them in clumps.
func (p *chainSimulator) arrive(at time.Duration) {
	for i := range p.kinds {
		k := &p.kinds[i]
		rate := k.perSecond
		for _, b := range p.bursts {
			if (b.kind == "" || b.kind == k.name) && within(at, b.at, b.ends) {
				rate *= b.times
			}
		}
		if p.random.Float64() >= rate/2*chainStep.Seconds() {
			continue
		}
		for range 1 + p.random.IntN(3) {
			spread := time.Duration(p.random.Float64() * float64(clumpSpread))
			p.pendingArrivals = append(p.pendingArrivals, arrival{kind: k, at: at + spread})
		}
	}
	p.pendingArrivals = slices.DeleteFunc(p.pendingArrivals, func(a arrival) bool {
		if a.at > at {
			return false
		}
		p.startRequest(a.kind, start.Add(at))
		return true
	})
}

func (p *chainSimulator) startRequest(k *kind, now time.Time) {
	p.submitted++
	r := &chainRequest{
		kind: k, number: p.submitted, at: now,
		pieces: make([]int, len(k.stages)), depth: make([]int, len(k.stages)), tasks: make([]*stageplan.Task, len(k.stages)),
		results: make([][]stageplan.Result, len(k.stages)), ended: make([]bool, len(k.stages)), freed: make([]bool, len(k.stages)),
		zone: string(rune('a' + p.random.IntN(cmp.Or(p.zones, 3)))),
		read: 15*time.Millisecond + time.Duration(p.logNormal(float64(k.read), 1)),
	}
	for i := len(k.stages) - 1; i >= 0; i-- {
		s := k.stages[i]
		if p.random.Float64() < s.share {
			r.pieces[i] = max(1, int(math.Round(p.logNormal(s.pieces, 0.5))))
		}
		r.ended[i] = r.pieces[i] == 0
		r.depth[i] = max(r.depth[i], 1)
		for _, before := range s.after {
			r.depth[before] = max(r.depth[before], r.depth[i]+1)
		}
	}
	p.requests = append(p.requests, r)
	p.admit(r, now)
}

// advance moves requests to their next step.
func (p *chainSimulator) advance(now time.Time) {
	for _, r := range p.requests {
		if r.done {
			continue
		}
		if !r.retryAt.IsZero() {
			if now.Before(r.retryAt) {
				continue
			}
			p.admit(r, now)
			if !r.retryAt.IsZero() || r.done {
				continue
			}
		}
		if now.After(r.at.Add(r.limit)) {
			p.release(r, true)
			p.count(r, now, false)
			continue
		}
		p.collect(r, now)
		if r.done || !r.retryAt.IsZero() {
			continue
		}
		p.startStages(r, now)
		if r.readyAt.IsZero() && !slices.Contains(r.ended, false) {
			r.readyAt = now.Add(r.read)
		}
		if !r.readyAt.IsZero() && !now.Before(r.readyAt) {
			p.release(r, true)
			p.count(r, now, true)
		}
	}
	p.requests = slices.DeleteFunc(p.requests, func(r *chainRequest) bool { return r.done })
}
