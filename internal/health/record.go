// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package health judges servers by their answers: how long they take over what
// is expected, and how many fail. What is held against a server fades, so that
// one that got well is found again without probes.
package health

import (
	"math"
	"time"
)

const (
	// fadeHalf is the half-life of what is held against a server.
	fadeHalf = 3 * time.Second
	// gain is the weight of one answer in the averages.
	gain = 0.3
	// ratioMost bounds one answer's ratio.
	ratioMost = 20
	// ejectAfter failures in a row leave a server out for ejectFirst, doubled
	// each time up to ejectMost.
	ejectAfter = 2
	ejectFirst = 400 * time.Millisecond
	ejectMost  = 4 * time.Second
	// tryFor is how long a server that is tried again gets nothing else: a silent
	// one is told of within it.
	tryFor = time.Second
	// wellLeast bounds how far failures raise a cost.
	wellLeast = 0.05
)

// Record is what is known of one server. The zero value is a server that is not
// known; it is not safe for concurrent use.
type Record struct {
	// over is how much longer than expected answers take, as a share; failing
	// is the share of answers that fail. Both are as of at.
	over    float64
	failing float64
	at      time.Time
	// failures counts failures in a row; until is when an ejected server may
	// be tried again.
	failures int
	until    time.Time
}

// fade brings the record up to now.
func (r *Record) fade(now time.Time) {
	if !r.at.IsZero() {
		keep := math.Exp2(-now.Sub(r.at).Seconds() / fadeHalf.Seconds())
		r.over *= keep
		r.failing *= keep
	}
	r.at = now
}

// Ratio returns how long answers take over what is expected; 1 is even.
func (r *Record) Ratio(now time.Time) float64 {
	r.fade(now)
	return 1 + r.over
}

// Weighed returns cost as failures raise it.
func (r *Record) Weighed(now time.Time, cost float64) float64 {
	r.fade(now)
	well := max(1-r.failing, wellLeast)
	return cost / (well * well)
}

// Ejected reports whether the server is left out now.
func (r *Record) Ejected(now time.Time) bool {
	return now.Before(r.until)
}

// Failures returns how many answers failed in a row.
func (r *Record) Failures() int {
	return r.failures
}

// Try notes a request at a server that failed until it was left out: it gets no
// other for a while, unless this one is answered. A silent engine that 25 requests
// a second came back to after each pause took 16 of 162 of them, and none so.
func (r *Record) Try(now time.Time) {
	if r.failures >= ejectAfter && !r.Ejected(now) {
		r.until = now.Add(tryFor)
	}
}

// Ended notes an answer that took ratio times what is expected, 0 for not
// known.
func (r *Record) Ended(now time.Time, ratio float64, failed bool) {
	r.fade(now)
	if ratio > 0 {
		r.over += gain * (min(ratio, ratioMost) - 1 - r.over)
	}
	if !failed {
		r.failing *= 1 - gain
		r.failures, r.until = 0, time.Time{}
		return
	}
	r.failing += gain * (1 - r.failing)
	r.failures++
	if r.failures >= ejectAfter {
		pause := ejectFirst << min(r.failures-ejectAfter, 10)
		r.until = now.Add(min(pause, ejectMost))
	}
}
