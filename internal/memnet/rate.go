// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"net/netip"
	"sync"
	"time"
)

// Rate is the bandwidth of a host in bytes per second, by direction. 0 means unlimited.
type Rate struct {
	Out float64
	In  float64
}

// Mbit returns a Rate of the given Mbit/s in both directions.
func Mbit(rate float64) Rate {
	const bytes = 1e6 / 8
	return Rate{Out: rate * bytes, In: rate * bytes}
}

// SetRate limits the bandwidth of a host for all connections opened afterwards. Their bytes queue
// in order of arrival, separately in each direction. Each connection has at most 76 KiB in flight,
// so that writers block as with TCP and connections get equal shares.
func (n *Network) SetRate(host netip.Addr, r Rate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limiters[host] = limiters{out: newLimiter(r.Out), in: newLimiter(r.In)}
}

type limiters struct{ out, in *limiter }

// direction is one direction of a link, with the limiters of the sender and the receiver.
type direction struct {
	from, to netip.Addr
	out, in  *limiter
}

func (n *Network) newDirection(from, to netip.Addr) direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	return direction{from: from, to: to, out: n.limiters[from].out, in: n.limiters[to].in}
}

func (d direction) limited() bool { return d.out != nil || d.in != nil }

// limiter is the rate limiter of one direction of a host. A nil limiter does not limit.
type limiter struct {
	rate float64

	mu sync.Mutex
	// freeAt is when all bytes reserved so far have passed.
	freeAt time.Time
}

func newLimiter(rate float64) *limiter {
	if rate <= 0 {
		return nil
	}
	return &limiter{rate: rate}
}

// reserve queues a number of bytes and returns the time until they have passed.
func (lim *limiter) reserve(bytes int) time.Duration {
	if lim == nil {
		return 0
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := time.Now()
	if lim.freeAt.Before(now) {
		lim.freeAt = now
	}
	lim.freeAt = lim.freeAt.Add(time.Duration(float64(bytes) / lim.rate * float64(time.Second)))
	return lim.freeAt.Sub(now)
}

func sleepOrStop(d time.Duration, stop <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
