// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package load is an open-loop load generator. It sends requests at a given rate,
// whether or not the system keeps up, and reports how many were answered
// completely and in time, and what each stage cost.
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

// Caller runs one request and returns its answer. It is implemented by client.Client.
type Caller interface {
	Do(ctx context.Context, spec request.Spec) (client.Answer, error)
}

// Source describes a stream of similar requests.
type Source struct {
	// Name identifies the source in the report.
	Name string
	// Spec returns the n-th request.
	Spec func(n int) request.Spec
	// Expect returns the expected text of the answer. If nil, the text is not checked.
	Expect func(spec request.Spec) string
	// Rate returns the requests per second at a given time since the start of the run.
	Rate func(elapsed time.Duration) float64
	// Deadline is the latency up to which an answer counts as in time.
	Deadline time.Duration
}

// Options describe a run.
type Options struct {
	Caller  Caller
	Sources []Source
	// Duration is how long requests are sent.
	Duration time.Duration
	// Random seeds the arrival times of the sources.
	Random *rand.Rand
	// Progress is called once per second with the time since the start, if set.
	Progress func(elapsed time.Duration, r *Report)
}

// ConstantRate returns a Rate function with a constant rate.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Stage is the cost of one stage.
type Stage struct {
	// Calls is the number of calls to backend servers, with all attempts.
	Calls int `json:"calls"`
	// Work is the total time that backend servers worked. Wasted is the part of it
	// for requests that were not answered correctly and in time.
	Work   time.Duration `json:"work_ns"`
	Wasted time.Duration `json:"wasted_ns"`
}

// Result counts the requests of one source by their outcome.
type Result struct {
	// Offered is the number of requests sent that have ended.
	Offered int `json:"offered"`
	// Attained counts complete answers in time, and Late complete answers after the deadline.
	Attained int `json:"attained"`
	Late     int `json:"late"`
	// Wrong counts answers whose text differs from the expected one.
	Wrong int `json:"wrong"`
	// Resumed counts how often an answer was interrupted and resumed.
	Resumed int `json:"resumed"`
	// Failures counts failed requests by verdict and reason.
	Failures map[string]int `json:"failures"`
	// latency and firstText hold the time to the whole answer and to its first text, in
	// microseconds.
	latency   *hdrhistogram.Histogram
	firstText *hdrhistogram.Histogram
	// Seconds counts offered and attained requests by the second in which they were sent.
	Seconds []Second `json:"-"`
}

// Second counts the requests sent in one second.
type Second struct {
	Offered  int
	Attained int
}

// Report is the result of a run. Its methods are safe for concurrent use during the run.
type Report struct {
	mu sync.Mutex
	// Sources and Stages are keyed by name.
	Sources map[string]*Result `json:"sources"`
	Stages  map[string]*Stage  `json:"stages"`
}

const (
	// maxLatency is the largest latency that the histograms record, in microseconds.
	maxLatency = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 3
)

// Run sends the requests of all sources and returns when all requests have ended.
func Run(ctx context.Context, o Options) *Report {
	report := &Report{Sources: make(map[string]*Result), Stages: make(map[string]*Stage)}
	var pending sync.WaitGroup
	start := time.Now()
	for _, s := range o.Sources {
		report.Sources[s.Name] = &Result{
			Failures:  make(map[string]int),
			latency:   hdrhistogram.New(1, maxLatency, significantDigits),
			firstText: hdrhistogram.New(1, maxLatency, significantDigits),
		}
		random := rand.New(rand.NewPCG(o.Random.Uint64(), o.Random.Uint64()))
		pending.Go(func() { sendRequests(ctx, o, s, random, start, report, &pending) })
	}
	if o.Progress != nil {
		progressCtx, stop := context.WithCancel(ctx)
		defer stop()
		go reportProgress(progressCtx, o, start, report)
	}
	pending.Wait()
	return report
}

func reportProgress(ctx context.Context, o Options, start time.Time, report *Report) {
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

// idleInterval is how often the rate of a source is read again while it is 0.
const idleInterval = 10 * time.Millisecond

// sendRequests sends the requests of one source with exponentially distributed gaps, without
// waiting for answers. It adds each request to pending.
func sendRequests(ctx context.Context, o Options, s Source, random *rand.Rand, start time.Time, report *Report, pending *sync.WaitGroup) {
	next := start
	for n := 0; ; {
		elapsed := next.Sub(start)
		if elapsed >= o.Duration || ctx.Err() != nil {
			return
		}
		rate := s.Rate(elapsed)
		if rate <= 0 {
			next = next.Add(idleInterval)
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
		pending.Go(func() { runRequest(ctx, o, s, spec, elapsed, report) })
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
}

// runRequest runs one request, which was due at elapsed since the start, and counts its outcome.
func runRequest(ctx context.Context, o Options, s Source, spec request.Spec, elapsed time.Duration, report *Report) {
	startedAt := time.Now()
	answer, err := o.Caller.Do(ctx, spec)
	took := time.Since(startedAt)
	report.mu.Lock()
	defer report.mu.Unlock()
	r := report.Sources[s.Name]
	second := r.secondAt(elapsed)
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
		_ = r.firstText.RecordValue(answer.First.Microseconds())
	}
	report.addCosts(answer.Costs, inTime)
}

// secondAt returns the counts of the second that contains elapsed, and adds them if needed.
func (r *Result) secondAt(elapsed time.Duration) *Second {
	i := int(elapsed / time.Second)
	for len(r.Seconds) <= i {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[i]
}

// addCosts adds the costs of one request. The mutex must be held.
func (r *Report) addCosts(costs []request.StageCost, inTime bool) {
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

// Attainment returns the share of offered requests that were answered completely and in time.
// It is 0 if no request was offered.
func (r *Result) Attainment() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Attained) / float64(r.Offered)
}

// Latency returns a percentile, from 0 to 100, of the time to the whole answer.
func (r *Result) Latency(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// FirstTextLatency returns a percentile, from 0 to 100, of the time to the first text.
func (r *Result) FirstTextLatency(percentile float64) time.Duration {
	return time.Duration(r.firstText.ValueAtQuantile(percentile)) * time.Microsecond
}

// Totals returns the numbers of offered and attained requests over all sources.
func (r *Report) Totals() (offered, attained int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.Sources {
		offered += s.Offered
		attained += s.Attained
	}
	return offered, attained
}

// Wrong returns the number of answers over all sources whose text was not the expected one.
func (r *Report) Wrong() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	wrong := 0
	for _, s := range r.Sources {
		wrong += s.Wrong
	}
	return wrong
}

// Waste returns the share of the work of all stages that was for requests that were not
// answered correctly and in time.
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
			s.Late, s.Wrong, s.Resumed, round(s.Latency(50)), round(s.Latency(95)), round(s.Latency(99)), round(s.FirstTextLatency(95)), s.Failures)
	}
	_, _ = fmt.Fprintln(t, "\nstage\tcalls\twork\tper call\twasted")
	for _, name := range slices.Sorted(maps.Keys(r.Stages)) {
		s := r.Stages[name]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%v\t%v\t%v\n", name, s.Calls, round(s.Work), round(s.Work/time.Duration(max(s.Calls, 1))), round(s.Wasted))
	}
	_ = t.Flush()
}

// round rounds a duration for printing.
func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}
