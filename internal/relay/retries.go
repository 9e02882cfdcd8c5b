// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"
)

const (
	// spentShare is the part of the allowed retries that hosts use. The rest
	// covers that their requests are not spread evenly, and that hosts come and
	// go.
	spentShare = 0.7
	// burstShare is the part of the reserve that may be used at once.
	burstShare = 0.5
)

// retries keeps the retries of all hosts together within what is allowed,
// without asking: each host spends its part.
type retries struct {
	hosts func() int

	mu      sync.Mutex
	share   float64
	reserve float64
	window  time.Duration
	// buckets has one for each service.
	buckets map[string]*bucket
}

type bucket struct {
	// tokens is at most what a window may have at once.
	tokens float64
	at     time.Time
}

func newRetries(share, reserve float64, window time.Duration, hosts func() int) *retries {
	return &retries{share: share, reserve: reserve, window: window, hosts: hosts, buckets: make(map[string]*bucket)}
}

// set changes the bounds.
func (r *retries) set(share, reserve float64, window time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share, r.reserve, r.window = share, reserve, window
}

// of returns a service's bucket, filled up to now. A window sees at most what
// was there at its start and what came in: both halves of the reserve.
func (r *retries) of(service string) *bucket {
	now := time.Now()
	own := r.reserve * spentShare / float64(max(r.hosts(), 1))
	most := max(own*burstShare, 1)
	b := r.buckets[service]
	if b == nil {
		b = &bucket{tokens: most, at: now}
		r.buckets[service] = b
	}
	rate := own * (1 - burstShare) / r.window.Seconds()
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, most)
	b.at = now
	return b
}

// first notes a request to a service.
func (r *retries) first(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.of(service)
	b.tokens += r.share * spentShare
}

// take takes one retry and reports whether there was one.
func (r *retries) take(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.of(service)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
