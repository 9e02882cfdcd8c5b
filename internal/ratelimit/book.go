// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// claimTTL is how long the places of a host that reports nothing stay taken. Hosts that hold
	// places report them at least every reportInterval.
	claimTTL       = 1500 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// settlePeriod is the time after which a new owner has received reports from all hosts.
	settlePeriod = 600 * time.Millisecond
	// rejectionWindow is the period to which the stated number of rejections applies, and
	// rejectionShare the share of them after which nothing is granted in that period.
	rejectionWindow = time.Second
	rejectionShare  = 0.5
	// capacityGain is the share of a run's slots by which its estimated capacity grows in a second
	// without rejections. It grows by at least minCapacityGain.
	capacityGain    = 0.05
	minCapacityGain = 0.25
	// maxCapacityLoss is the largest share of the capacity that one report of rejections takes away.
	maxCapacityLoss = 0.2
	// A host that was denied a place asks again after minPlaceWait, or after waitPerHost for each
	// host with a claim if that is longer.
	minPlaceWait = 20 * time.Millisecond
	waitPerHost  = 2 * time.Millisecond
)

// claim is what a host reported of its requests at a run.
type claim struct {
	// held is the number of its requests there, including the places granted since the report.
	held int
	// initial is what it reported first.
	initial int
	// denied is the number of places that it asked for and did not get.
	denied     int
	reportedAt time.Duration
}

// placeBook records how many requests the hosts have at one brittle run.
type placeBook struct {
	// claims has a claim for each host that reported within claimTTL.
	claims map[netip.AddrPort]*claim
	// rejections has the times of the rejections within rejectionWindow.
	rejections []time.Duration
	// capacity estimates how many requests the run has room for. It is at least 1 and at most the
	// number of slots.
	capacity float64
	// unsettledGrants is the number of places that were granted before the owner had reports from all
	// hosts, beyond those that hosts held before. Each of them may be taken.
	unsettledGrants int
	updatedAt       time.Duration
	// createdAt is when this host became the owner, as far as it knows.
	createdAt time.Duration
}

func newPlaceBook(now time.Duration, slots int) *placeBook {
	return &placeBook{claims: make(map[netip.AddrPort]*claim), capacity: float64(slots), createdAt: now, updatedAt: now}
}

// update removes what has expired and lets the capacity grow.
func (b *placeBook) update(now time.Duration, slots int) {
	b.rejections = slices.DeleteFunc(b.rejections, func(at time.Duration) bool { return now-at >= rejectionWindow })
	lost := 0
	maps.DeleteFunc(b.claims, func(_ netip.AddrPort, c *claim) bool {
		expired := now-c.reportedAt >= claimTTL
		if expired {
			lost += c.held
		}
		return expired
	})
	if lost > 0 && len(b.claims) == 0 {
		// Hosts that hold places report to another owner, or this host was frozen.
		b.createdAt, b.unsettledGrants = now, 0
	}
	if len(b.rejections) == 0 {
		b.capacity += max(capacityGain*float64(slots), minCapacityGain) * (now - b.updatedAt).Seconds()
	}
	b.capacity = max(min(b.capacity, float64(slots)), 1)
	b.updatedAt = now
}

// report records the report of a host and returns how many of the places that it asks for it gets.
// limit is the state of the run and slots its number of slots.
func (b *placeBook) report(now time.Duration, r PlacesRequest, limit Limit, slots int, isOwner bool) int {
	slots = max(slots, 1)
	b.update(now, slots)
	own := b.claims[r.Host]
	if own == nil {
		own = &claim{initial: r.Held}
		b.claims[r.Host] = own
	}
	own.held, own.denied, own.reportedAt = r.Held, 0, now
	taken := 0
	for _, c := range b.claims {
		taken += c.held
	}
	for range min(r.Rejected, limit.Rejections+1) {
		b.rejections = append(b.rejections, now)
	}
	settled := now-b.createdAt >= settlePeriod
	if r.Rejected > 0 && settled {
		b.capacity = max(min(b.capacity, float64(taken)), b.capacity*(1-maxCapacityLoss), 1)
	}
	capacity := b.capacity
	if !isOwner {
		capacity = max(capacity*standbyShare, 1)
	}
	bearable := int(rejectionShare * float64(limit.Rejections))
	granted := min(r.Wanted, max(int(capacity)-taken-b.reservedForOthers(now, r.Host, own.held), 0))
	if !settled {
		restored := max(own.initial-own.held, 0)
		granted = min(granted, restored+max(max(bearable, 1)-b.unsettledGrants, 0))
		b.unsettledGrants += max(granted-restored, 0)
	}
	if len(b.rejections) > bearable {
		granted = 0
	}
	own.held += granted
	own.denied = r.Wanted - granted
	return granted
}

// reservedForOthers returns how many free places a host with held places leaves to hosts that have
// fewer, were denied places, and will ask again soon. Otherwise a host whose requests end would
// always get its places back.
func (b *placeBook) reservedForOthers(now time.Duration, host netip.AddrPort, held int) int {
	reserved := 0
	for address, c := range b.claims {
		if address != host && c.denied > 0 && c.held < held && now-c.reportedAt < 2*b.wait() {
			reserved++
		}
	}
	return reserved
}

// wait returns after which time a host that was denied a place asks again.
func (b *placeBook) wait() time.Duration {
	return max(minPlaceWait, time.Duration(len(b.claims))*waitPerHost)
}
