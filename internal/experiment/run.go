// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"net/netip"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/choose"
	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/limit"
	"github.com/wingvale/wingvale/internal/load"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/node"
	"github.com/wingvale/wingvale/internal/queue"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
)

// Policy is a way to decide, by name.
type Policy struct {
	Name string
	node.Policy
}

// unlimited lets the calls queue at the servers, as they do without limits.
func unlimited() limit.Options {
	return limit.Options{Initial: 1000, Max: 1000, Fixed: true}
}

// Policies returns ours first, then the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "wingvale"},
		{Name: "least in flight", Policy: node.Policy{Choose: choose.LeastInFlight, Queue: queue.Arrival, Limit: unlimited(), AdmitAll: true}},
		{Name: "random", Policy: node.Policy{Choose: choose.Random, Queue: queue.Arrival, Limit: unlimited(), AdmitAll: true}},
	}
}

// Outcome is what one policy made of one case.
type Outcome struct {
	Case   string
	Policy string
	// Offered and Attained count requests, Bound is the most that could be
	// attained.
	Offered  int
	Attained int
	Bound    float64
	// During is what was attained of what capacity allowed while the situation
	// lasted, 0 to 1.
	During float64
	// Waste is the share of stage work spent on requests that then missed.
	Waste float64
	// Cost is the stage work per attained request, by stage.
	Cost map[string]time.Duration
	// Within is the attainment of the flows within their share.
	Within float64
	// Recovered is how long after the situation 95% were attained again; a
	// negative value says never.
	Recovered time.Duration
	Report    *load.Report
}

const (
	entryHosts = 9
	callers    = 9
	readyFor   = 20 * time.Second
)

// Run runs one case under one policy. It must be called in a synctest bubble.
func Run(ctx context.Context, c Case, p Policy, seed uint64) (Outcome, error) {
	o := harness.Options{
		Site:    c.size.site(),
		Nodes:   entryHosts,
		Network: harness.Memory{Network: memnet.New(latency)},
		Knobs:   func(pool sites.Pool) standin.Knobs { return knobs(c, pool) },
		Token:   tokenTime,
		Cold:    c.cold,
		Policy:  p.Policy,
		Seed:    seed,
	}
	if c.cold {
		o.WeightRate = weightRate
	}
	s, err := harness.New(o)
	if err != nil {
		return Outcome{}, err
	}
	defer s.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyFor)
	defer cancel()
	if err := s.AwaitReady(readyCtx); err != nil {
		return Outcome{}, err
	}
	if c.begin != nil {
		time.AfterFunc(c.from, func() { c.begin(s) })
	}
	if c.end != nil {
		time.AfterFunc(c.to, func() { c.end(s) })
	}
	report := load.Run(ctx, load.Options{
		Caller:  newCallers(s),
		Sources: c.sources(),
		For:     c.For,
		Random:  rand.New(rand.NewPCG(seed, 7)),
	})
	return c.outcome(p, report), nil
}

func latency(netip.Addr, netip.Addr) time.Duration {
	return 500 * time.Microsecond
}

func knobs(c Case, pool sites.Pool) standin.Knobs {
	k := standin.Knobs{Work: work(pool.Name), Jitter: jitter, ReportLag: c.lag}
	if pool.Name == "generate" {
		k.Work = prefillWork
	}
	return k
}

func (c Case) sources() []load.Source {
	var sources []load.Source
	for _, f := range c.flows {
		spec := request.Spec{Workspace: f.workspace, Pipeline: f.pipeline, Input: question, Deadline: pipeline.Duration(deadline)}
		if f.pipeline == "only-generate" {
			// Without documents the engine answers with the question.
			spec.Input = strings.Repeat("grey ", tokens-1)
		}
		sources = append(sources, load.Source{
			Name:     f.name,
			Spec:     func(int) request.Spec { return spec },
			Rate:     f.rate,
			Deadline: deadline,
		})
	}
	return sources
}

// roundRobin takes each caller in turn.
type roundRobin struct {
	callers []*client.Client
	turn    chan int
}

func newCallers(s *harness.Site) *roundRobin {
	r := &roundRobin{turn: make(chan int, 1)}
	for i := range callers {
		r.callers = append(r.callers, s.Client(s.Nodes()[i%len(s.Nodes())].Zone))
	}
	r.turn <- 0
	return r
}

// Do runs spec.
func (r *roundRobin) Do(ctx context.Context, spec request.Spec) (client.Answer, error) {
	i := <-r.turn
	r.turn <- (i + 1) % len(r.callers)
	return r.callers[i].Do(ctx, spec)
}

func (c Case) outcome(p Policy, r *load.Report) Outcome {
	o := Outcome{Case: c.Name, Policy: p.Name, Waste: r.Waste(), Cost: make(map[string]time.Duration), Report: r}
	o.Offered, o.Attained = r.Totals()
	offered := make(map[string][]int)
	for name, s := range r.Sources {
		for _, second := range s.Seconds {
			offered[name] = append(offered[name], second.Offered)
		}
	}
	o.Bound = c.Bound(offered)
	for name, s := range r.Stages {
		o.Cost[name] = s.Work / time.Duration(max(o.Attained, 1))
	}
	o.within(c, r)
	if c.to > 0 {
		o.During = c.during(r, offered)
		o.Recovered = c.recovered(r)
	}
	return o
}

func (o *Outcome) within(c Case, r *load.Report) {
	offered, attained := 0, 0
	for _, name := range c.within {
		offered += r.Sources[name].Offered
		attained += r.Sources[name].Attained
	}
	if offered > 0 {
		o.Within = float64(attained) / float64(offered)
	}
}

// during compares what was attained in the situation with its bound.
func (c Case) during(r *load.Report, offered map[string][]int) float64 {
	attained := 0
	for _, s := range r.Sources {
		for i := int(c.from / time.Second); i < min(int(c.to/time.Second), len(s.Seconds)); i++ {
			attained += s.Seconds[i].Attained
		}
	}
	return float64(attained) / c.boundOf(offered, c.from, c.to, 0)
}

const steadyShare = 0.95

func (c Case) recovered(r *load.Report) time.Duration {
	first := int(c.to / time.Second)
	for second := first; second < int(c.For/time.Second); second++ {
		offered, attained := 0, 0
		for _, s := range r.Sources {
			if second < len(s.Seconds) {
				offered += s.Seconds[second].Offered
				attained += s.Seconds[second].Attained
			}
		}
		if float64(attained) >= steadyShare*float64(offered) {
			return time.Duration(second-first) * time.Second
		}
	}
	return -time.Second
}
