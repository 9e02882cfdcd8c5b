// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"net/netip"
	"sync"
	"sync/atomic"
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

const (
	packetSize         = 16 << 10
	maxPacketsInFlight = 256
	// limitedPacketSize and limitedMaxPacketsInFlight apply to rate-limited links. One connection
	// has limitedMaxPacketsInFlight packets at each end: the 64 KiB of both ends fill 200 Mbit/s
	// with a round trip of 2 ms.
	limitedPacketSize         = 4 << 10
	limitedMaxPacketsInFlight = 8
)

// direction is one direction of a link, with the limiters of the sender and the receiver, and the
// count of bytes sent on its flow.
type direction struct {
	from, to netip.Addr
	out, in  *limiter
	sent     *atomic.Int64
}

func (n *Network) newDirection(f Flow) direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sent[f] == nil {
		n.sent[f] = new(atomic.Int64)
	}
	return direction{from: f.From, to: f.To, out: n.limiters[f.From].out, in: n.limiters[f.To].in, sent: n.sent[f]}
}

// packetLimits returns the largest size of a packet, and how many packets may wait in addition to
// the one that is being delivered and the one that is being sent.
func (d direction) packetLimits() (size, count int) {
	if d.out != nil || d.in != nil {
		return limitedPacketSize, limitedMaxPacketsInFlight
	}
	return packetSize, maxPacketsInFlight
}

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
