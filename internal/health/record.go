// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package health rates servers by their answers: how long these take relative to the
// expected time, and how many fail. The rating decays, so that a server that has recovered
// gets requests again without active probes.
package health

import (
	"math"
	"time"
)

const (
	// decayHalfLife is the half-life of a server's slowness and failure rate.
	decayHalfLife = 3 * time.Second
	// smoothing is the weight of one answer in the moving averages.
	smoothing = 0.3
	// maxRatio is the upper bound of the ratio of one answer.
	maxRatio = 20
	// failuresToEject consecutive failures eject a server for initialEjection. Each further
	// failure doubles the ejection, up to maxEjection.
	failuresToEject = 2
	initialEjection = 400 * time.Millisecond
	maxEjection     = 4 * time.Second
	// probeTimeout is how long a server that is tried again gets no other request. A silent
	// server is reported within this time.
	probeTimeout = time.Second
	// minSuccessRate limits how far failures raise a cost.
	minSuccessRate = 0.05
)

// Record is the health of one server. The zero value is that of an unknown server. It is
// not safe for concurrent use.
type Record struct {
	// excess is how much longer than expected answers take, relative to the expected time.
	// failureRate is the share of answers that fail. Both are moving averages as of
	// updatedAt.
	excess      float64
	failureRate float64
	updatedAt   time.Time
	// consecutiveFailures counts failures since the last success. ejectedUntil is when an
	// ejected server may be tried again.
	consecutiveFailures int
	ejectedUntil        time.Time
}

// decay applies the decay since the last update.
func (r *Record) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		factor := math.Exp2(-now.Sub(r.updatedAt).Seconds() / decayHalfLife.Seconds())
		r.excess *= factor
		r.failureRate *= factor
	}
	r.updatedAt = now
}

// Ratio returns the average time of answers relative to the expected time; 1 is as expected.
func (r *Record) Ratio(now time.Time) float64 {
	r.decay(now)
	return 1 + r.excess
}

// PenalizedCost returns cost divided by the square of the server's success rate.
func (r *Record) PenalizedCost(now time.Time, cost float64) float64 {
	r.decay(now)
	successRate := max(1-r.failureRate, minSuccessRate)
	return cost / (successRate * successRate)
}

// FailureRate returns the recent share of answers that failed.
func (r *Record) FailureRate(now time.Time) float64 {
	r.decay(now)
	return r.failureRate
}

// Ejected reports whether the server must get no requests now.
func (r *Record) Ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil)
}

// Failures returns the number of consecutive failures.
func (r *Record) Failures() int {
	return r.consecutiveFailures
}

// StartProbe records that a request is sent to a server. If the server was ejected before, it gets
// no other request for probeTimeout unless this one is answered. Otherwise a silent engine
// attracts requests after each ejection: at 25 requests a second, 16 of 162, as opposed to
// none.
func (r *Record) StartProbe(now time.Time) {
	if r.consecutiveFailures >= failuresToEject && !r.Ejected(now) {
		r.ejectedUntil = now.Add(probeTimeout)
	}
}

// RecordOutcome records an answer or a failure. Ratio is the time that it took relative to the
// expected time, or 0 if unknown.
func (r *Record) RecordOutcome(now time.Time, ratio float64, failed bool) {
	r.decay(now)
	if ratio > 0 {
		r.excess += smoothing * (min(ratio, maxRatio) - 1 - r.excess)
	}
	if !failed {
		r.failureRate *= 1 - smoothing
		r.consecutiveFailures, r.ejectedUntil = 0, time.Time{}
		return
	}
	r.failureRate += smoothing * (1 - r.failureRate)
	r.consecutiveFailures++
	if r.consecutiveFailures >= failuresToEject {
		ejection := initialEjection << min(r.consecutiveFailures-failuresToEject, 10)
		r.ejectedUntil = now.Add(min(ejection, maxEjection))
	}
}
