// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"time"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/standin"
)

// flow is one stream of requests of a case.
type flow struct {
	name      string
	workspace string
	pipeline  string
	rate      func(at time.Duration) float64
}

// Case is one situation that is measured.
type Case struct {
	Name string
	// For is how long requests are offered.
	For   time.Duration
	size  size
	flows []flow
	// from and to is when the situation lasts.
	from, to time.Duration
	// scale is what is left of a stage's capacity meanwhile.
	scale map[string]float64
	// begin and end make and undo the situation.
	begin func(s *harness.Site)
	end   func(s *harness.Site)
	// cold starts the engines without models, lag is that of load reports.
	cold bool
	lag  time.Duration
	// within names the flows that stay within their share.
	within []string
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is rate, times factor between from and to.
func burst(rate, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return rate * factor
		}
		return rate
	}
}

// spread splits a rate of full pipelines over all workspaces but the large one.
func spread(rate func(time.Duration) float64) []flow {
	var flows []flow
	for _, w := range workspaces[:4] {
		flows = append(flows, flow{name: "full " + w, workspace: w, pipeline: "full",
			rate: func(at time.Duration) float64 { return rate(at) / 4 }})
	}
	return flows
}

const (
	calm   = 10 * time.Second
	lasts  = 10 * time.Second
	warmed = 2 * time.Second
)

// Cases returns all cases at a size; long is for the 3x overload.
func Cases(long time.Duration) []Case {
	s := farbwerk()
	gen := s.capacity("generate")
	cases := []Case{
		{Name: "steady at 70%", For: 20 * time.Second, size: s, flows: spread(steady(0.7 * gen))},
		{Name: "steady at 70%, arhiva", For: 15 * time.Second, size: arhiva(), flows: spread(steady(0.7 * arhiva().capacity("generate")))},
	}
	for _, stage := range stages {
		base := 0.4 * s.capacity(stage)
		only := flow{name: "only-" + stage, workspace: "large", pipeline: "only-" + stage, rate: burst(base, 4, calm, calm+lasts)}
		cases = append(cases, Case{
			Name: stage + " bursts to 4x", For: 3 * calm, size: s, from: calm, to: calm + lasts,
			flows: append(spread(steady(0.4*gen)), only),
		})
	}
	return append(cases,
		Case{
			Name: "rerank slowed 5x", For: 3 * calm, size: s, from: calm, to: calm + lasts,
			flows: spread(steady(0.7 * gen)), scale: map[string]float64{"rerank": 0.2},
			begin: setSlow("rerank", -1, 5), end: setSlow("rerank", -1, 1),
		},
		Case{
			Name: "one engine slowed 5x", For: 3 * calm, size: s, from: calm, to: calm + lasts,
			flows: spread(steady(0.7 * gen)), scale: map[string]float64{"generate": 0.92},
			begin: setSlow("generate", 0, 5), end: setSlow("generate", 0, 1),
		},
		Case{
			Name: "one zone gone", For: 3 * calm, size: s, from: calm, to: 3 * calm,
			flows: spread(steady(0.55 * gen)), scale: map[string]float64{"encode": 2. / 3, "retrieve": 2. / 3, "rerank": 2. / 3, "generate": 0.6},
			begin: killZone(s.zones[0]),
		},
		Case{Name: "reports late by 5 s", For: 20 * time.Second, size: s, flows: spread(steady(0.85 * gen)), lag: 5 * time.Second},
		Case{
			Name: "one workspace floods", For: 3 * calm, size: s, from: calm, to: calm + lasts,
			flows: append(spread(steady(0.4*gen)),
				flow{name: "flood", workspace: "large", pipeline: "full", rate: burst(0.1*gen, 25, calm, calm+lasts)}),
			within: []string{"full north", "full south", "full east", "full west"},
		},
		Case{
			Name: "cold engines", For: 4 * calm, size: s, flows: spread(steady(0.5 * gen)), cold: true,
			from: 0, to: s.loaded() / 2, scale: map[string]float64{"generate": 0.25},
		},
		Case{
			Name: "3x overload", For: calm + long + calm, size: s, from: calm, to: calm + long,
			flows: spread(burst(0.6*gen, 5, calm, calm+long)),
		},
	)
}

// loaded is how long the weight store takes to fill all engines. Until half of
// that has passed, the mean capacity is a quarter of the whole.
func (s size) loaded() time.Duration {
	return time.Duration(s.runners["generate"]) * modelBytes / weightRate * time.Second
}

// setSlow slows the server at an index of a pool, or all for -1.
func setSlow(pool string, index int, factor float64) func(*harness.Site) {
	return func(s *harness.Site) {
		for i, server := range s.Servers(pool) {
			if index < 0 || i == index {
				server.Set(func(k *standin.Knobs) { k.Slow = factor })
			}
		}
	}
}

// killZone ends all hosts of a zone at once.
func killZone(zone string) func(*harness.Site) {
	return func(s *harness.Site) {
		for i, n := range s.Nodes() {
			if n.Zone == zone {
				s.KillNode(i)
			}
		}
		for _, server := range s.Servers("") {
			if server.Host.Zone == zone {
				s.KillServer(server)
			}
		}
	}
}

// Bound returns the most requests that could be answered in time: for each
// stage, no more than its capacity between the first offer and the last
// deadline, during the situation and outside it.
func (c Case) Bound(offered map[string][]int) float64 {
	if c.to == 0 {
		return c.boundOf(offered, 0, c.For, 1)
	}
	total := c.boundOf(offered, 0, c.from, 1) + c.boundOf(offered, c.from, c.to, 0)
	return total + c.boundOf(offered, c.to, c.For, 1)
}

// boundOf bounds the requests offered from one time to another. scaled 0 takes
// what the situation leaves of each stage.
func (c Case) boundOf(offered map[string][]int, from, to time.Duration, scaled float64) float64 {
	all, least := 0.0, -1.0
	using := make(map[string]float64)
	for _, f := range c.flows {
		n := 0.0
		for second := int(from / time.Second); second < int(to/time.Second) && second < len(offered[f.name]); second++ {
			n += float64(offered[f.name][second])
		}
		all += n
		for _, stage := range stages {
			if f.pipeline == "full" || f.pipeline == "only-"+stage {
				using[stage] += n
			}
		}
	}
	for _, stage := range stages {
		scale := 1.0
		if x, ok := c.scale[stage]; ok && scaled == 0 {
			scale = x
		}
		capacity := c.size.capacity(stage) * scale * (to - from + deadline).Seconds()
		possible := all - using[stage] + min(using[stage], capacity)
		if least < 0 || possible < least {
			least = possible
		}
	}
	return least
}
