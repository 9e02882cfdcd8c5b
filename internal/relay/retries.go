// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"
)

const (
	// hostShare is the part of the allowed retries that hosts use. The remainder allows
	// for requests that are not spread evenly over hosts, and for hosts that join and
	// leave.
	hostShare = 0.7
	// burstShare is the part of the reserve that may be used at once.
	burstShare = 0.5
)

// retryBudget keeps the retries of all hosts together within the limit without
// coordination: each host spends only its part. A host that has just started doesn't know
// what its previous run has spent, nor at first how many hosts there are: it starts with
// one retry once it does, and earns the rest of its part of the reserve over time.
type retryBudget struct {
	// hosts returns the number of hosts; 0 if it isn't known.
	hosts     func() int
	startedAt time.Time

	mu      sync.Mutex
	share   float64
	reserve float64
	window  time.Duration
	// buckets has one token bucket per service.
	buckets map[string]*bucket
}

type bucket struct {
	// tokens is limited to what may be spent at once.
	tokens     float64
	refilledAt time.Time
	// hasInitial reports whether the retry that a host starts with was added.
	hasInitial bool
}

func newRetryBudget(share, reserve float64, window time.Duration, hosts func() int) *retryBudget {
	return &retryBudget{share: share, reserve: reserve, window: window, hosts: hosts, startedAt: time.Now(), buckets: make(map[string]*bucket)}
}

// set changes the limits.
func (r *retryBudget) set(share, reserve float64, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share, r.reserve, r.window = share, reserve, window
}

// hostReserve returns this host's part of the reserve, and whether it is known.
func (r *retryBudget) hostReserve() (reserve float64, known bool) {
	hosts := r.hosts()
	if hosts == 0 {
		return 0, false
	}
	return r.reserve * hostShare / float64(hosts), true
}

// burst returns how much may be spent at once of a host's part of the reserve.
func burst(hostReserve float64) float64 { return max(hostReserve*burstShare, 1) }

// refilledBucket returns a service's bucket, refilled up to now. In a window, at most the
// tokens at its start and those added during it can be spent: both halves of the reserve.
func (r *retryBudget) refilledBucket(service string) *bucket {
	now := time.Now()
	hostReserve, known := r.hostReserve()
	capacity := burst(hostReserve)
	b := r.buckets[service]
	if b == nil {
		b = &bucket{refilledAt: r.startedAt}
		r.buckets[service] = b
	}
	if known && !b.hasInitial {
		b.tokens++
		b.hasInitial = true
	}
	rate := hostReserve * (1 - burstShare) / r.window.Seconds()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*rate, capacity)
	b.refilledAt = now
	return b
}

// recordRequest adds the retry allowance of a new request to a service.
func (r *retryBudget) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilledBucket(service)
	b.tokens += r.share * hostShare
}

// tryTake takes one retry and reports whether one was available.
func (r *retryBudget) tryTake(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilledBucket(service)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// tryTakeSpare is tryTake for a request that no server has run. It leaves one retry, if more than one may be
// spent at once, for a request that may have run.
func (r *retryBudget) tryTakeSpare(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilledBucket(service)
	hostReserve, _ := r.hostReserve()
	if b.tokens < min(2, burst(hostReserve)) {
		return false
	}
	b.tokens--
	return true
}

// giveBack returns a retry that was taken and not used.
func (r *retryBudget) giveBack(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refilledBucket(service).tokens++
}
