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

// Options configure a campaign.
type Options struct {
	Seed  uint64
	Nodes int
	// Duration is how long faults are injected and requests are sent.
	Duration time.Duration
	// OnlyKind, if set, is the only kind of fault to inject.
	OnlyKind string
}

const (
	callerCount = 5
	// recoveryTime is how long the site has to recover after the last fault.
	recoveryTime = 25 * time.Second
	callTimeout  = 45 * time.Second
	// meanCallInterval is the mean time between two requests of one caller.
	meanCallInterval = 300 * time.Millisecond
	callTime         = 10 * time.Millisecond
	tokenInterval    = 15 * time.Millisecond
	longAnswerSuffix = "12 times"
	// firstVersion is the version of the model that the site publishes at the start.
	firstVersion = 7
	// One request in duplicateEvery is sent twice under one id, to two nodes. The second copy
	// is sent up to maxDuplicateDelay later.
	duplicateEvery    = 10
	maxDuplicateDelay = 4 * time.Second
)

// Report is the result of a campaign.
type Report struct {
	Seed uint64
	// Breaches describes each violated guarantee.
	Breaches []string
	// Faults counts the injected faults by kind, Paths the recovery paths by metric, and
	// Outcomes the outcomes of requests.
	Faults   map[string]int
	Paths    map[string]int64
	Outcomes map[string]int
}

// run is the state of a running campaign.
type run struct {
	options Options
	network *memnet.Network
	site    *harness.Site
	scope   tally.TestScope
	random  *rand.Rand

	mu sync.Mutex
	// endedCalls has all calls that have ended.
	endedCalls []callRecord
	faults     map[string]int
	// faulty marks the nodes, pools and services that a fault currently affects.
	faulty map[string]bool
	// duplicates has the requests that were sent twice.
	duplicates []duplicate
	// listedLeaving has the servers that the host list marked as leaving, and when.
	listedLeaving []listedServer
	checker       *configurationChecker
	// delaysEndAt is when the last fault ends that delays the spread of changes.
	delaysEndAt time.Time
	breaches    []string
	// version is the last published version of the model.
	version int
	// replacedArrivals has the calls that servers received before they were replaced.
	replacedArrivals []arrival
}

// callRecord is a call that has ended.
type callRecord struct {
	spec      request.Spec
	answer    client.Answer
	err       error
	startedAt time.Time
	duration  time.Duration
}

// listedServer is a server that the host list marked as leaving during a time.
type listedServer struct {
	server     *harness.Server
	listedAt   time.Time
	unlistedAt time.Time
}

// Site returns the small site on which campaigns run.
func Site() sites.Site {
	s := sites.Farbwerk()
	runners := map[string]int{"language-models": 4, "encoders": 2, "retrievers": 2, "rerankers": 2, "mixing-portal": 2, "invoicing": 2}
	for i := range s.Pools {
		s.Pools[i].Servers = max(runners[s.Pools[i].Name], 1)
		s.Pools[i].Slots = 16
	}
	return s
}

// Run runs a campaign and returns its report. It must be called in a synctest bubble.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{
		options: o,
		network: memnet.New(latency),
		scope:   tally.NewTestScope("", nil),
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		faults:  make(map[string]int),
		faulty:  make(map[string]bool),
		version: firstVersion,
	}
	site, err := harness.New(harness.Options{
		Site:          Site(),
		Nodes:         o.Nodes,
		Network:       harness.Memory{Network: r.network},
		Knobs:         func(sites.Pool) standin.Knobs { return standin.Knobs{CallTime: callTime, Jitter: 0.5} },
		TokenInterval: tokenInterval,
		WeightRate:    10 << 30,
		Seed:          o.Seed,
		Scope:         r.scope,
		Settings: func(s *settings.Settings) {
			s.AnnouncePeriod = time.Second
			s.DrainTimeout = 3 * time.Second
			s.AnswerTTL = 10 * time.Second
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
	r.runWorkload(ctx)
	r.checkRecovery(ctx)
	r.check()
	return r.report(), nil
}

// latency returns the one-way latency between two hosts, which is 0.5 ms for all of them.
func latency(netip.Addr, netip.Addr) time.Duration {
	return 500 * time.Microsecond
}

// runWorkload injects faults and sends requests for Options.Duration, and returns once all calls
// and faults have ended.
func (r *run) runWorkload(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watcher sync.WaitGroup
	watcher.Go(func() { r.checker.watch(ctx) })
	var tasks sync.WaitGroup
	end := time.Now().Add(r.options.Duration)
	for i := range callerCount {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+i)))
		tasks.Go(func() { r.runCaller(ctx, i, random, end) })
	}
	tasks.Go(func() { r.injectFaults(&tasks, end) })
	tasks.Wait()
	cancel()
	watcher.Wait()
}

// runCaller sends the requests of one caller at random intervals until end, without waiting for
// earlier ones, and returns once all have ended.
func (r *run) runCaller(ctx context.Context, caller int, random *rand.Rand, end time.Time) {
	c := r.site.Client(r.site.Nodes()[caller%len(r.site.Nodes())].Zone)
	var tasks sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		spec := r.randomSpec(random, fmt.Sprintf("c%dn%d", caller, n))
		if random.IntN(duplicateEvery) == 0 {
			delay := time.Duration(random.Int64N(int64(maxDuplicateDelay)))
			tasks.Go(func() { r.sendDuplicate(ctx, c, spec, delay) })
		} else {
			tasks.Go(func() { r.send(ctx, c, spec) })
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanCallInterval)))
	}
	tasks.Wait()
}

// randomSpec returns a random request with a unique input.
func (r *run) randomSpec(random *rand.Rand, name string) request.Spec {
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
		return request.Spec{Workspace: "head-office", Pipeline: "season-review", Input: q + " " + longAnswerSuffix}
	}
}

func (r *run) send(ctx context.Context, c *client.Client, spec request.Spec) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	startedAt := time.Now()
	answer, err := c.Do(ctx, spec)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedCalls = append(r.endedCalls, callRecord{spec: spec, answer: answer, err: err, startedAt: startedAt, duration: time.Since(startedAt)})
}

// checkRecovery waits for the site to recover after all faults, checks that all nodes agree, and
// sends some more requests, which must succeed.
func (r *run) checkRecovery(ctx context.Context) {
	time.Sleep(recoveryTime)
	r.checker.checkAgreement()
	c := r.site.Client("")
	random := rand.New(rand.NewPCG(r.options.Seed, 999))
	for n := range 10 {
		spec := r.randomSpec(random, fmt.Sprintf("last%d", n))
		r.send(ctx, c, spec)
		if last := r.endedCalls[len(r.endedCalls)-1]; last.err != nil {
			r.addBreach("after all faults ended, %s still fails: %v", spec.Pipeline, last.err)
		}
	}
	time.Sleep(5 * time.Second)
}

func (r *run) addBreach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}

func (r *run) report() Report {
	result := Report{
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
		result.Paths[name] += c.Value()
	}
	for _, h := range r.endedCalls {
		result.Outcomes[outcome(h)]++
	}
	return result
}

func outcome(h callRecord) string {
	kind := "repeatable"
	if h.spec.Unrepeatable {
		kind = "unrepeatable"
	}
	if h.err == nil {
		return kind + " answered"
	}
	failed := request.NewFailed(h.err)
	return strings.Join([]string{kind, failed.Verdict.String(), string(failed.Reason)}, " ")
}
