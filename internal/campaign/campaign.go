// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package campaign

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/internal/sites"
	"github.com/wingvale/wingvale/internal/standin"
	"github.com/wingvale/wingvale/request"
)

// Options describe one run.
type Options struct {
	Seed  uint64
	Nodes int
	// For is how long faults and requests go on.
	For time.Duration
	// Only, if set, is the one kind of fault that is made.
	Only string
}

const (
	callers = 5
	// settleFor is how long the site has to come to rest after the last fault.
	settleFor = 25 * time.Second
	callFor   = 45 * time.Second
	// everyCall is the mean time between two requests of one caller.
	everyCall = 300 * time.Millisecond
	work      = 10 * time.Millisecond
	token     = 15 * time.Millisecond
	longTimes = "12 times"
	// firstVersion is the one that the site publishes.
	firstVersion = 7
	// One request of doubledOf is sent twice under its id, to two nodes, the
	// second time up to doubledLate later.
	doubledOf   = 10
	doubledLate = 4 * time.Second
)

// Report says what happened in one run.
type Report struct {
	Seed uint64
	// Breaches name each broken promise.
	Breaches []string
	// Faults counts the faults made, Paths the recovery paths taken, and
	// Outcomes what callers were told.
	Faults   map[string]int
	Paths    map[string]int64
	Outcomes map[string]int
}

// run is one campaign under way.
type run struct {
	options Options
	network *memnet.Network
	site    *harness.Site
	scope   tally.TestScope
	random  *rand.Rand

	mu sync.Mutex
	// history has every call that has ended.
	history []record
	faults  map[string]int
	// busy marks nodes and servers that a fault has hold of.
	busy map[string]bool
	// doubles has the requests that were sent twice.
	doubles []doubled
	// listed has the servers that the host list called leaving, and when.
	listed  []leave
	checker *configurationChecker
	// disturbed is when the last fault that hides news ended.
	disturbed time.Time
	breaches  []string
	// version is the last one of the model that was published.
	version int
	// kept has what replaced servers saw.
	kept []arrival
}

type record struct {
	spec   request.Spec
	answer client.Answer
	err    error
	begin  time.Time
	took   time.Duration
}

type leave struct {
	server *harness.Server
	since  time.Time
	until  time.Time
}

// Site returns the small site that campaigns run on.
func Site() sites.Site {
	s := sites.Farbwerk()
	runners := map[string]int{"language-models": 4, "encoders": 2, "retrievers": 2, "rerankers": 2, "mixing-portal": 2, "invoicing": 2}
	for i := range s.Pools {
		s.Pools[i].Runners = max(runners[s.Pools[i].Name], 1)
		s.Pools[i].Slots = 16
	}
	return s
}

// Run runs one campaign. It must be called in a synctest bubble.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{
		options: o,
		network: memnet.New(latency),
		scope:   tally.NewTestScope("", nil),
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		faults:  make(map[string]int),
		busy:    make(map[string]bool),
		version: firstVersion,
	}
	site, err := harness.New(harness.Options{
		Site:       Site(),
		Nodes:      o.Nodes,
		Network:    harness.Memory{Network: r.network},
		Knobs:      func(sites.Pool) standin.Knobs { return standin.Knobs{Work: work, Jitter: 0.5} },
		Token:      token,
		WeightRate: 10 << 30,
		Seed:       o.Seed,
		Scope:      r.scope,
		Settings: func(s *settings.Settings) {
			s.Announce = time.Second
			s.Drain = 3 * time.Second
			s.Hold = 10 * time.Second
		},
	})
	if err != nil {
		return Report{}, err
	}
	defer site.Close()
	r.site = site
	if err := r.site.AwaitReady(ctx); err != nil {
		return Report{}, err
	}
	r.checker = newConfigurationChecker(r)
	r.play(ctx)
	r.settle(ctx)
	r.check()
	return r.report(), nil
}

// latency is half a millisecond between any two hosts.
func latency(netip.Addr, netip.Addr) time.Duration {
	return 500 * time.Microsecond
}

// play makes faults and requests until the time is up and all calls have
// ended.
func (r *run) play(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watching sync.WaitGroup
	watching.Go(func() { r.checker.watch(ctx) })
	var all sync.WaitGroup
	end := time.Now().Add(r.options.For)
	for i := range callers {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+i)))
		all.Go(func() { r.call(ctx, i, random, end) })
	}
	all.Go(func() { r.makeFaults(&all, end) })
	all.Wait()
	cancel()
	watching.Wait()
}

// call is one caller, who sends one request after the other and some at once.
func (r *run) call(ctx context.Context, caller int, random *rand.Rand, end time.Time) {
	c := r.site.Client(r.site.Nodes()[caller%len(r.site.Nodes())].Zone)
	var all sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		spec := r.spec(random, fmt.Sprintf("c%dn%d", caller, n))
		if random.IntN(doubledOf) == 0 {
			late := time.Duration(random.Int64N(int64(doubledLate)))
			all.Go(func() { r.double(ctx, c, spec, late) })
		} else {
			all.Go(func() { r.do(ctx, c, spec) })
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(everyCall)))
	}
	all.Wait()
}

// spec returns a random request. Its input is used for no other.
func (r *run) spec(random *rand.Rand, name string) request.Spec {
	questions := Site().Questions
	q := questions[random.IntN(len(questions))] + " " + name
	switch random.IntN(10) {
	case 0, 1, 2:
		return request.Spec{Workspace: "paint-shops-north", Pipeline: "recipe-explanation", Input: q}
	case 3:
		return request.Spec{Workspace: "paint-shops-south", Pipeline: "recipe-explanation", Input: q, Unrepeatable: true}
	case 4, 5:
		return request.Spec{Workspace: "paint-shops-south", Pipeline: "formula-check", Input: q, Unrepeatable: true}
	case 6, 7:
		return request.Spec{Workspace: "paint-shops-north", Pipeline: "invoice", Input: q, Unrepeatable: true}
	case 8:
		return request.Spec{Workspace: "paint-shops-south", Pipeline: "catalogue-lookup", Input: q}
	default:
		return request.Spec{Workspace: "head-office", Pipeline: "season-review", Input: q + " " + longTimes}
	}
}

func (r *run) do(ctx context.Context, c *client.Client, spec request.Spec) {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	begin := time.Now()
	answer, err := c.Do(ctx, spec)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, record{spec: spec, answer: answer, err: err, begin: begin, took: time.Since(begin)})
}

// settle ends all faults, waits, and then asks for one of each once more.
func (r *run) settle(ctx context.Context) {
	time.Sleep(settleFor)
	r.checker.final()
	c := r.site.Client("")
	random := rand.New(rand.NewPCG(r.options.Seed, 999))
	for n := range 10 {
		spec := r.spec(random, fmt.Sprintf("last%d", n))
		r.do(ctx, c, spec)
		if last := r.history[len(r.history)-1]; last.err != nil {
			r.breach("after all faults ended, %s still fails: %v", spec.Pipeline, last.err)
		}
	}
	time.Sleep(5 * time.Second)
}

func (r *run) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}

func (r *run) report() Report {
	rep := Report{
		Seed:     r.options.Seed,
		Breaches: r.breaches,
		Faults:   r.faults,
		Paths:    make(map[string]int64),
		Outcomes: make(map[string]int),
	}
	for _, c := range r.scope.Snapshot().Counters() {
		name := c.Name()
		if reason := c.Tags()["reason"]; reason != "" {
			name += "/" + c.Tags()["verdict"] + "/" + reason
		}
		rep.Paths[name] += c.Value()
	}
	for _, h := range r.history {
		rep.Outcomes[outcome(h)]++
	}
	return rep
}

func outcome(h record) string {
	kind := "repeatable"
	if h.spec.Unrepeatable {
		kind = "unrepeatable"
	}
	if h.err == nil {
		return kind + " answered"
	}
	failed := request.FailedOf(h.err)
	return strings.Join([]string{kind, failed.Verdict.String(), string(failed.Reason)}, " ")
}
