// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"time"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/standin"
)

// flow is a source of requests of a case.
type flow struct {
	name      string
	workspace string
	pipeline  string
	rate      func(at time.Duration) float64
}

// Case is one load scenario to measure.
type Case struct {
	Name string
	// Duration is how long requests are sent.
	Duration time.Duration
	size     siteSize
	flows    []flow
	// disturbedFrom and disturbedUntil are the start and end of the disturbance, counted from
	// the first request. If disturbedUntil is 0, the case has no disturbance.
	disturbedFrom, disturbedUntil time.Duration
	// capacityScale is the fraction of a stage's capacity that remains during the disturbance,
	// by stage. Stages that are not listed keep their full capacity.
	capacityScale map[string]float64
	// inject starts the disturbance and revert ends it. Either may be nil.
	inject func(s *harness.Site)
	revert func(s *harness.Site)
	// coldStart starts the engines without loaded models. reportLag is the delay of load
	// reports.
	coldStart bool
	reportLag time.Duration
	// withinShare names the flows that do not exceed their fair share.
	withinShare []string
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burstRate returns a rate that is multiplied by factor between from and to.
func burstRate(rate, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return rate * factor
		}
		return rate
	}
}

// fullPipelineFlows splits a rate of requests to the full pipeline evenly over all workspaces
// but the large one.
func fullPipelineFlows(rate func(time.Duration) float64) []flow {
	var flows []flow
	for _, w := range workspaces[:4] {
		flows = append(flows, flow{name: "full " + w, workspace: w, pipeline: "full",
			rate: func(at time.Duration) float64 { return rate(at) / 4 }})
	}
	return flows
}

const (
	calmDuration        = 10 * time.Second
	disturbanceDuration = 10 * time.Second
	warmupDuration      = 2 * time.Second
)

// Cases returns all cases. long is the duration of the 3x overload.
func Cases(long time.Duration) []Case {
	s := farbwerkSize()
	gen := s.capacity("generate")
	cases := []Case{
		{Name: "steady at 70%", Duration: 20 * time.Second, size: s, flows: fullPipelineFlows(constantRate(0.7 * gen))},
		{Name: "steady at 70%, arhiva", Duration: 15 * time.Second, size: arhivaSize(), flows: fullPipelineFlows(constantRate(0.7 * arhivaSize().capacity("generate")))},
	}
	for _, stage := range stages {
		base := 0.4 * s.capacity(stage)
		only := flow{name: "only-" + stage, workspace: "large", pipeline: "only-" + stage, rate: burstRate(base, 4, calmDuration, calmDuration+disturbanceDuration)}
		cases = append(cases, Case{
			Name: stage + " bursts to 4x", Duration: 3 * calmDuration, size: s, disturbedFrom: calmDuration, disturbedUntil: calmDuration + disturbanceDuration,
			flows: append(fullPipelineFlows(constantRate(0.4*gen)), only),
		})
	}
	return append(cases,
		Case{
			Name: "rerank slowed 5x", Duration: 3 * calmDuration, size: s, disturbedFrom: calmDuration, disturbedUntil: calmDuration + disturbanceDuration,
			flows: fullPipelineFlows(constantRate(0.7 * gen)), capacityScale: map[string]float64{"rerank": 0.2},
			inject: slowServers("rerank", -1, 5), revert: slowServers("rerank", -1, 1),
		},
		Case{
			Name: "one engine slowed 5x", Duration: 3 * calmDuration, size: s, disturbedFrom: calmDuration, disturbedUntil: calmDuration + disturbanceDuration,
			flows: fullPipelineFlows(constantRate(0.7 * gen)), capacityScale: map[string]float64{"generate": 0.92},
			inject: slowServers("generate", 0, 5), revert: slowServers("generate", 0, 1),
		},
		Case{
			Name: "one zone gone", Duration: 3 * calmDuration, size: s, disturbedFrom: calmDuration, disturbedUntil: 3 * calmDuration,
			flows: fullPipelineFlows(constantRate(0.55 * gen)), capacityScale: map[string]float64{"encode": 2. / 3, "retrieve": 2. / 3, "rerank": 2. / 3, "generate": 0.6},
			inject: killZone(s.zones[0]),
		},
		Case{Name: "reports late by 5 s", Duration: 20 * time.Second, size: s, flows: fullPipelineFlows(constantRate(0.85 * gen)), reportLag: 5 * time.Second},
		Case{
			Name: "one workspace floods", Duration: 3 * calmDuration, size: s, disturbedFrom: calmDuration, disturbedUntil: calmDuration + disturbanceDuration,
			flows: append(fullPipelineFlows(constantRate(0.4*gen)),
				flow{name: "flood", workspace: "large", pipeline: "full", rate: burstRate(0.1*gen, 25, calmDuration, calmDuration+disturbanceDuration)}),
			withinShare: []string{"full north", "full south", "full east", "full west"},
		},
		Case{
			Name: "cold engines", Duration: 4 * calmDuration, size: s, flows: fullPipelineFlows(constantRate(0.5 * gen)), coldStart: true,
			disturbedFrom: 0, disturbedUntil: s.modelLoadTime() / 2, capacityScale: map[string]float64{"generate": 0.25},
		},
		Case{
			Name: "3x overload", Duration: calmDuration + long + calmDuration, size: s, disturbedFrom: calmDuration, disturbedUntil: calmDuration + long,
			flows: fullPipelineFlows(burstRate(0.6*gen, 5, calmDuration, calmDuration+long)),
		},
	)
}

// modelLoadTime is how long the weight store takes to send the model to all engines. Over the
// first half of that time, a quarter of the full capacity is available on average.
func (s siteSize) modelLoadTime() time.Duration {
	return time.Duration(s.runners["generate"]) * modelBytes / weightRate * time.Second
}

// slowServers slows down the server at index in a pool, or all its servers if index is -1.
func slowServers(pool string, index int, factor float64) func(*harness.Site) {
	return func(s *harness.Site) {
		for i, server := range s.Servers(pool) {
			if index < 0 || i == index {
				server.SetKnobs(func(k *standin.Knobs) { k.SlowFactor = factor })
			}
		}
	}
}

// killZone kills all hosts of a zone at once.
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

// MaxAttainable returns an upper bound on the number of requests that can be answered in time. No
// stage can serve more than its capacity between the first request and the last deadline. The
// capacity during the disturbance is counted separately.
func (c Case) MaxAttainable(offered map[string][]int) float64 {
	if c.disturbedUntil == 0 {
		return c.boundBetween(offered, 0, c.Duration, 1)
	}
	total := c.boundBetween(offered, 0, c.disturbedFrom, 1) + c.boundBetween(offered, c.disturbedFrom, c.disturbedUntil, 0)
	return total + c.boundBetween(offered, c.disturbedUntil, c.Duration, 1)
}

// boundBetween returns the bound for the requests sent between two times. If fullCapacity is 0,
// the capacity of the stages is that during the disturbance.
func (c Case) boundBetween(offered map[string][]int, from, to time.Duration, fullCapacity float64) float64 {
	total, lowest := 0.0, -1.0
	requests := make(map[string]float64)
	for _, f := range c.flows {
		n := 0.0
		for second := int(from / time.Second); second < int(to/time.Second) && second < len(offered[f.name]); second++ {
			n += float64(offered[f.name][second])
		}
		total += n
		for _, stage := range stages {
			if f.pipeline == "full" || f.pipeline == "only-"+stage {
				requests[stage] += n
			}
		}
	}
	for _, stage := range stages {
		scale := 1.0
		if remaining, ok := c.capacityScale[stage]; ok && fullCapacity == 0 {
			scale = remaining
		}
		capacity := c.size.capacity(stage) * scale * (to - from + deadline).Seconds()
		possible := total - requests[stage] + min(requests[stage], capacity)
		if lowest < 0 || possible < lowest {
			lowest = possible
		}
	}
	return lowest
}
