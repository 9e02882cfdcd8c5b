// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"
)

// arrival is a request that comes.
type arrival struct {
	kind *kind
	at   time.Duration
}

// worth is what requests would be worth in time, and what was earned of it.
type worth struct{ owed, earned float64 }

// chainPlayed is what came of a load.
type chainPlayed struct {
	owed, earned       float64
	byKind             map[string]worth
	inTime, late, lost map[string]int
	windows            []float64
	wasted, worked     time.Duration
	noRoom             int
	// crossed is how many bytes of results were made away from their zone.
	crossed                  int64
	first                    map[string][]time.Duration
	windowOwed, windowEarned []float64
}

func (p *chainPlayed) share() float64 { return p.earned / p.owed }

// worst is the mean share of the two worst windows.
func (p *chainPlayed) worst() float64 {
	shares := slices.Clone(p.windows)
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}

// of is the share of a kind's worth that was earned.
func (p *chainPlayed) of(kind string) float64 {
	return p.byKind[kind].earned / p.byKind[kind].owed
}

func (p *chainPlayed) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "share %.3f, worst windows %.3f, thrown away %.1f of %.0f s, no room %d, crossed %.2f GB;", p.share(), p.worst(), p.wasted.Seconds(), p.worked.Seconds(), p.noRoom, float64(p.crossed)/1e9)
	names := make([]string, 0, len(p.byKind))
	for name := range p.byKind {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		first := p.first[name]
		slices.Sort(first)
		var half, most time.Duration
		if len(first) > 0 {
			half, most = first[len(first)/2], first[len(first)*9/10]
		}
		fmt.Fprintf(&b, " %s %.3f (%d in time, %d late, %d not; %d %d ms)", name, p.of(name), p.inTime[name], p.late[name], p.lost[name], half.Milliseconds(), most.Milliseconds())
	}
	return b.String()
}

// chainPlayer plays a load over the schedulers of its pools.
type chainPlayer struct {
	chainLoad
	// random draws what comes, chances who is refused.
	random   *rand.Rand
	chances  *rand.Rand
	byName   map[string]*chainPool
	coming   []arrival
	requests []*chainRequest
	asked    int
	played   chainPlayed
}

func playChain(load chainLoad, seed uint64) *chainPlayed {
	p := &chainPlayer{
		chainLoad: load, random: rand.New(rand.NewPCG(seed, 5)), chances: rand.New(rand.NewPCG(seed, 6)), byName: make(map[string]*chainPool),
		played: chainPlayed{
			byKind: make(map[string]worth), inTime: make(map[string]int), late: make(map[string]int), lost: make(map[string]int),
			first: make(map[string][]time.Duration),
		},
	}
	for i, l := range load.pools {
		p.byName[l.spec.Service] = newChainPool(l, byte(i+1))
	}
	for at := time.Duration(0); at < load.lasts+8*time.Second; at += chainStep {
		now := start.Add(at)
		p.change(at)
		p.lose(at)
		if at < load.lasts {
			p.arrive(at)
		}
		for _, l := range load.pools {
			pool := p.byName[l.spec.Service]
			pool.end(now)
			pool.scheduler.Overdue(now)
			p.send(pool, at)
		}
		p.advance(now)
	}
	for i, owed := range p.played.windowOwed {
		if owed > 0 && time.Duration(i)*worthWindow < load.lasts {
			p.played.windows = append(p.played.windows, p.played.windowEarned[i]/owed)
		}
	}
	return &p.played
}

// around draws a number about a mean.
func (p *chainPlayer) around(mean, spread float64) float64 {
	return mean * math.Exp(spread*p.random.NormFloat64()-spread*spread/2)
}

// arrive lets requests come, some together.
func (p *chainPlayer) arrive(at time.Duration) {
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
			p.coming = append(p.coming, arrival{kind: k, at: at + spread})
		}
	}
	p.coming = slices.DeleteFunc(p.coming, func(a arrival) bool {
		if a.at > at {
			return false
		}
		p.begin(a.kind, start.Add(at))
		return true
	})
}

func (p *chainPlayer) begin(k *kind, now time.Time) {
	p.asked++
	r := &chainRequest{
		kind: k, number: p.asked, at: now,
		pieces: make([]int, len(k.stages)), depth: make([]int, len(k.stages)), tasks: make([]*stageplan.Task, len(k.stages)),
		results: make([][]stageplan.Result, len(k.stages)), ended: make([]bool, len(k.stages)), freed: make([]bool, len(k.stages)),
		zone: string(rune('a' + p.random.IntN(3))),
		read: 15*time.Millisecond + time.Duration(p.around(float64(k.read), 1)),
	}
	for i := len(k.stages) - 1; i >= 0; i-- {
		s := k.stages[i]
		if p.random.Float64() < s.share {
			r.pieces[i] = max(1, int(math.Round(p.around(s.pieces, 0.5))))
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

// advance takes requests a step further.
func (p *chainPlayer) advance(now time.Time) {
	for _, r := range p.requests {
		if r.done {
			continue
		}
		if !r.back.IsZero() {
			if now.Before(r.back) {
				continue
			}
			p.admit(r, now)
			if !r.back.IsZero() || r.done {
				continue
			}
		}
		if now.After(r.at.Add(r.limit)) {
			p.free(r, true)
			p.settle(r, now, false)
			continue
		}
		p.collect(r, now)
		if r.done || !r.back.IsZero() {
			continue
		}
		p.startStages(r, now)
		if r.readyAt.IsZero() && !slices.Contains(r.ended, false) {
			r.readyAt = now.Add(r.read)
		}
		if !r.readyAt.IsZero() && !now.Before(r.readyAt) {
			p.free(r, true)
			p.settle(r, now, true)
		}
	}
	p.requests = slices.DeleteFunc(p.requests, func(r *chainRequest) bool { return r.done })
}
