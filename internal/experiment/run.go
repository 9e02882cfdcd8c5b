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

// Policy is a named set of routing and admission policies.
type Policy struct {
	Name string
	node.Policy
}

// unlimited returns options under which calls queue at the servers, as without a concurrency
// limit.
func unlimited() limit.Options {
	return limit.Options{Initial: 1000, Max: 1000, Fixed: true}
}

// Policies returns wingvale's policy, followed by the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "wingvale"},
		{Name: "least in flight", Policy: node.Policy{Choose: choose.LeastInFlight, Queue: queue.Arrival, Limit: unlimited(), AdmitAll: true}},
		{Name: "random", Policy: node.Policy{Choose: choose.Random, Queue: queue.Arrival, Limit: unlimited(), AdmitAll: true}},
	}
}

// Outcome is the result of one policy in one case.
type Outcome struct {
	Case   string
	Policy string
	// Offered and Attained count the requests sent and those answered in time.
	// MaxAttainable is an upper bound on the number that can be answered in time.
	Offered       int
	Attained      int
	MaxAttainable float64
	// DisturbedAttainment is the fraction of the bound that was attained during the disturbance,
	// 0 to 1.
	DisturbedAttainment float64
	// Waste is the share of stage work spent on requests that then missed their deadline.
	Waste float64
	// WorkPerAttained is the stage work per attained request, by stage.
	WorkPerAttained map[string]time.Duration
	// WithinShareAttainment is the share of attained requests of the flows within their fair
	// share.
	WithinShareAttainment float64
	// RecoveryTime is the time from the end of the disturbance until 95% of requests were
	// attained again. It is negative if that did not happen.
	RecoveryTime time.Duration
	Report       *load.Report
}

const (
	entryHostCount = 9
	callerCount    = 9
	readyTimeout   = 20 * time.Second
)

// Run runs one case under one policy. It must be called in a synctest bubble.
func Run(ctx context.Context, c Case, p Policy, seed uint64) (Outcome, error) {
	o := harness.Options{
		Site:          c.size.site(),
		Nodes:         entryHostCount,
		Network:       harness.Memory{Network: memnet.New(latency)},
		Knobs:         func(pool sites.Pool) standin.Knobs { return knobs(c, pool) },
		TokenInterval: tokenTime,
		Cold:          c.coldStart,
		Policy:        p.Policy,
		Seed:          seed,
	}
	if c.coldStart {
		o.WeightRate = weightRate
	}
	s, err := harness.New(o)
	if err != nil {
		return Outcome{}, err
	}
	defer s.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.AwaitReady(readyCtx); err != nil {
		return Outcome{}, err
	}
	if c.inject != nil {
		time.AfterFunc(c.disturbedFrom, func() { c.inject(s) })
	}
	if c.revert != nil {
		time.AfterFunc(c.disturbedUntil, func() { c.revert(s) })
	}
	report := load.Run(ctx, load.Options{
		Caller:   newRoundRobin(s),
		Sources:  c.sources(),
		Duration: c.Duration,
		Random:   rand.New(rand.NewPCG(seed, 7)),
	})
	return c.outcome(p, report), nil
}

func latency(netip.Addr, netip.Addr) time.Duration {
	return 500 * time.Microsecond
}

func knobs(c Case, pool sites.Pool) standin.Knobs {
	k := standin.Knobs{CallTime: stageWork(pool.Name), Jitter: jitter, ReportLag: c.reportLag}
	if pool.Name == "generate" {
		k.CallTime = prefillWork
	}
	return k
}

func (c Case) sources() []load.Source {
	var sources []load.Source
	for _, f := range c.flows {
		spec := request.Spec{Workspace: f.workspace, Pipeline: f.pipeline, Input: question, Deadline: pipeline.Duration(deadline)}
		if f.pipeline == "only-generate" {
			// Without documents the engine answers with the question, so its length sets the
			// number of tokens.
			spec.Input = strings.Repeat("grey ", answerTokens-1)
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

// roundRobin sends requests through several callers in rotation.
type roundRobin struct {
	callers []*client.Client
	next    chan int
}

func newRoundRobin(s *harness.Site) *roundRobin {
	r := &roundRobin{next: make(chan int, 1)}
	for i := range callerCount {
		r.callers = append(r.callers, s.Client(s.Nodes()[i%len(s.Nodes())].Zone))
	}
	r.next <- 0
	return r
}

// Do sends spec through the next caller.
func (r *roundRobin) Do(ctx context.Context, spec request.Spec) (client.Answer, error) {
	i := <-r.next
	r.next <- (i + 1) % len(r.callers)
	return r.callers[i].Do(ctx, spec)
}

func (c Case) outcome(p Policy, r *load.Report) Outcome {
	o := Outcome{Case: c.Name, Policy: p.Name, Waste: r.Waste(), WorkPerAttained: make(map[string]time.Duration), Report: r}
	o.Offered, o.Attained = r.Totals()
	offered := make(map[string][]int)
	for name, s := range r.Sources {
		for _, second := range s.Seconds {
			offered[name] = append(offered[name], second.Offered)
		}
	}
	o.MaxAttainable = c.MaxAttainable(offered)
	for name, s := range r.Stages {
		o.WorkPerAttained[name] = s.Work / time.Duration(max(o.Attained, 1))
	}
	o.setWithin(c, r)
	if c.disturbedUntil > 0 {
		o.DisturbedAttainment = c.disturbedAttainment(r, offered)
		o.RecoveryTime = c.recoveryTime(r)
	}
	return o
}

func (o *Outcome) setWithin(c Case, r *load.Report) {
	offered, attained := 0, 0
	for _, name := range c.withinShare {
		offered += r.Sources[name].Offered
		attained += r.Sources[name].Attained
	}
	if offered > 0 {
		o.WithinShareAttainment = float64(attained) / float64(offered)
	}
}

// disturbedAttainment returns the requests attained during the disturbance as a fraction of its
// bound.
func (c Case) disturbedAttainment(r *load.Report, offered map[string][]int) float64 {
	attained := 0
	for _, s := range r.Sources {
		for i := int(c.disturbedFrom / time.Second); i < min(int(c.disturbedUntil/time.Second), len(s.Seconds)); i++ {
			attained += s.Seconds[i].Attained
		}
	}
	return float64(attained) / c.boundBetween(offered, c.disturbedFrom, c.disturbedUntil, 0)
}

const recoveredShare = 0.95

func (c Case) recoveryTime(r *load.Report) time.Duration {
	first := int(c.disturbedUntil / time.Second)
	for second := first; second < int(c.Duration/time.Second); second++ {
		offered, attained := 0, 0
		for _, s := range r.Sources {
			if second < len(s.Seconds) {
				offered += s.Seconds[second].Offered
				attained += s.Seconds[second].Attained
			}
		}
		if float64(attained) >= recoveredShare*float64(offered) {
			return time.Duration(second-first) * time.Second
		}
	}
	return -time.Second
}
