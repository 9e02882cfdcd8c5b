// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import "time"

const (
	// minRate is the lowest rate in requests a second at which permits are granted. A server
	// that states a limit of 0 is thus asked from time to time whether that still holds.
	minRate = 0.2
	// Unused permits of the last shortBurst, of at most maxShortBurst permits, may be used later,
	// and at high rates those of the last longBurst.
	shortBurst    = 500 * time.Millisecond
	maxShortBurst = 2.0
	longBurst     = 100 * time.Millisecond
	// standbyShare is the share of a limit that a host grants that is not the owner, or has
	// been the owner for less than handoverPeriod. The owner may be granting permits to hosts
	// that still reach it.
	standbyShare   = 0.4
	handoverPeriod = 4 * time.Second
	// maxSpread is the longest time over which the next attempts of denied hosts are spread.
	// If they all came at the time of the next permit, each permit would take as many calls as
	// there are hosts.
	maxSpread = 200 * time.Millisecond
)

// bucket is the token bucket of one run of a server. The zero value has not been used.
type bucket struct {
	tokens float64
	// denied is the number of hosts that were told to ask again later and whose turn has not
	// come yet.
	denied float64
	// updatedAt is when tokens and denied were computed, and createdAt when the first permit was asked
	// for.
	updatedAt time.Duration
	createdAt time.Duration
}

func newBucket(now time.Duration) *bucket {
	return &bucket{tokens: 1, updatedAt: now, createdAt: now}
}

// take takes a token and returns 0, or returns the time after which to ask again.
func (b *bucket) take(now time.Duration, perSecond float64, isOwner bool) time.Duration {
	rate := max(perSecond, minRate)
	if !isOwner || now-b.createdAt < handoverPeriod {
		rate *= standbyShare
	}
	burst := 1 + max(min(rate*shortBurst.Seconds(), maxShortBurst), rate*longBurst.Seconds())
	added := rate * (now - b.updatedAt).Seconds()
	b.tokens = min(b.tokens+added, burst)
	b.denied = max(b.denied-added, 0)
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	wait := (1 - b.tokens + b.denied) / rate
	b.denied = min(b.denied+1, rate*maxSpread.Seconds())
	// Rounding up keeps the next attempt from being early.
	return time.Duration(wait*float64(time.Second)) + time.Microsecond
}
