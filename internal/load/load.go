// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package load offers requests at a given rate, whether or not the system
// keeps up, and reports how many were answered whole and in time and what each
// stage cost.
package load

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// Caller runs one request; client.Client is one.
type Caller interface {
	Do(ctx context.Context, spec request.Spec) (client.Answer, error)
}

// Source is one stream of like requests.
type Source struct {
	// Name stands in the report.
	Name string
	// Spec returns the n-th request.
	Spec func(n int) request.Spec
	// Expect returns the text that must be answered; nil checks nothing.
	Expect func(spec request.Spec) string
	// Rate returns the requests a second at a time after the start.
	Rate func(at time.Duration) float64
	// Deadline is what counts as in time.
	Deadline time.Duration
}

// Options describe a run.
type Options struct {
	Caller  Caller
	Sources []Source
	For     time.Duration
	Random  *rand.Rand
	// Progress is told once a second, if set.
	Progress func(at time.Duration, r *Report)
}

// Steady returns a constant rate.
func Steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Stage is what one stage cost.
type Stage struct {
	Calls int `json:"calls"`
	// Work is all time that backend servers worked, and Wasted the part spent
	// on requests that were not answered in time.
	Work   time.Duration `json:"work_ns"`
	Wasted time.Duration `json:"wasted_ns"`
}

// Result is what one source got.
type Result struct {
	Offered int `json:"offered"`
	// Attained were answered whole and in time, Late whole but late.
	Attained int `json:"attained"`
	Late     int `json:"late"`
	// Wrong answers differ from what was expected.
	Wrong    int            `json:"wrong"`
	Resumed  int            `json:"resumed"`
	Failures map[string]int `json:"failures"`
	latency  *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
	// Seconds counts offered and attained by the second of the offer.
	Seconds []Second `json:"-"`
}

// Second counts the requests offered in one second.
type Second struct {
	Offered  int
	Attained int
}

// Report is the outcome of a run. It is safe for concurrent use while the run
// goes on.
type Report struct {
	mu sync.Mutex
	// Sources and Stages are by name.
	Sources map[string]*Result `json:"sources"`
	Stages  map[string]*Stage  `json:"stages"`
}

const (
	maxLatency = int64(time.Hour / time.Microsecond)
	digits     = 3
)

// Run offers the sources' requests and returns when all have ended.
func Run(ctx context.Context, o Options) *Report {
	report := &Report{Sources: make(map[string]*Result), Stages: make(map[string]*Stage)}
	var all sync.WaitGroup
	start := time.Now()
	for _, s := range o.Sources {
		report.Sources[s.Name] = &Result{
			Failures: make(map[string]int),
			latency:  hdrhistogram.New(1, maxLatency, digits),
			first:    hdrhistogram.New(1, maxLatency, digits),
		}
		random := rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()))
		all.Go(func() { offer(ctx, o, s, random, start, report, &all) })
	}
	if o.Progress != nil {
		progressCtx, stop := context.WithCancel(ctx)
		defer stop()
		go progress(progressCtx, o, start, report)
	}
	all.Wait()
	return report
}

func progress(ctx context.Context, o Options, start time.Time, report *Report) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.Progress(time.Since(start), report)
		}
	}
}

// idle is how soon a source with rate 0 looks again.
const idle = 10 * time.Millisecond

func offer(ctx context.Context, o Options, s Source, random *rand.Rand, start time.Time, report *Report, all *sync.WaitGroup) {
	next := start
	for n := 0; ; {
		at := next.Sub(start)
		if at >= o.For || ctx.Err() != nil {
			return
		}
		rate := s.Rate(at)
		if rate <= 0 {
			next = next.Add(idle)
			continue
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		spec := s.Spec(n)
		n++
		all.Go(func() { one(ctx, o, s, spec, at, report) })
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
}

func one(ctx context.Context, o Options, s Source, spec request.Spec, at time.Duration, report *Report) {
	begin := time.Now()
	answer, err := o.Caller.Do(ctx, spec)
	took := time.Since(begin)
	report.mu.Lock()
	defer report.mu.Unlock()
	r := report.Sources[s.Name]
	second := r.second(at)
	r.Offered++
	second.Offered++
	r.Resumed += answer.Resumed
	inTime := err == nil && took <= s.Deadline
	switch {
	case err != nil:
		e := verdict.As(err)
		r.Failures[fmt.Sprintf("%s/%s", e.Verdict, e.Reason)]++
	case s.Expect != nil && answer.Text != s.Expect(spec):
		r.Wrong++
		inTime = false
	case inTime:
		r.Attained++
		second.Attained++
	default:
		r.Late++
	}
	if err == nil {
		_ = r.latency.RecordValue(took.Microseconds())
		_ = r.first.RecordValue(answer.First.Microseconds())
	}
	report.costs(answer.Costs, inTime)
}

func (r *Result) second(at time.Duration) *Second {
	i := int(at / time.Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

func (r *Report) costs(costs []request.StageCost, inTime bool) {
	for _, c := range costs {
		s := r.Stages[c.Stage]
		if s == nil {
			s = &Stage{}
			r.Stages[c.Stage] = s
		}
		s.Calls += c.Attempts
		s.Work += c.Work.Std()
		if !inTime {
			s.Wasted += c.Work.Std()
		}
	}
}

// Attainment returns the share of offered requests answered whole and in time.
func (r *Result) Attainment() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Attained) / float64(r.Offered)
}

// Latency returns a quantile, 0 to 100, of the time to the whole answer.
func (r *Result) Latency(quantile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(quantile)) * time.Microsecond
}

// First returns a quantile of the time to the first text.
func (r *Result) First(quantile float64) time.Duration {
	return time.Duration(r.first.ValueAtQuantile(quantile)) * time.Microsecond
}

// Totals returns all offered and all attained.
func (r *Report) Totals() (offered, attained int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.Sources {
		offered += s.Offered
		attained += s.Attained
	}
	return offered, attained
}

// Wrong returns how many answers were not the expected ones.
func (r *Report) Wrong() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	wrong := 0
	for _, s := range r.Sources {
		wrong += s.Wrong
	}
	return wrong
}

// Waste returns the share of all stage work spent on requests that were not
// answered in time.
func (r *Report) Waste() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var work, wasted time.Duration
	for _, s := range r.Stages {
		work += s.Work
		wasted += s.Wasted
	}
	if work == 0 {
		return 0
	}
	return wasted.Seconds() / work.Seconds()
}

// Write prints the report as text.
func (r *Report) Write(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "source\toffered\tattained\tattainment\tlate\twrong\tresumed\tp50\tp95\tp99\tfirst p95\tfailures")
	for _, name := range slices.Sorted(maps.Keys(r.Sources)) {
		s := r.Sources[name]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.2f%%\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t%v\n", name, s.Offered, s.Attained, 100*s.Attainment(),
			s.Late, s.Wrong, s.Resumed, round(s.Latency(50)), round(s.Latency(95)), round(s.Latency(99)), round(s.First(95)), s.Failures)
	}
	_, _ = fmt.Fprintln(t, "\nstage\tcalls\twork\tper call\twasted")
	for _, name := range slices.Sorted(maps.Keys(r.Stages)) {
		s := r.Stages[name]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%v\t%v\t%v\n", name, s.Calls, round(s.Work), round(s.Work/time.Duration(max(s.Calls, 1))), round(s.Wasted))
	}
	_ = t.Flush()
}

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}
