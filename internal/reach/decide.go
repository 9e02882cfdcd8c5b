// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"net/netip"
	"slices"
	"time"
)

// Step updates the state with the servers that other hosts have reached, and returns the servers to
// probe now. A probe opens a connection and closes it; its result must be recorded. Step must be
// called when Wake receives a value, and several times in a ProbeInterval while the host is doubtful
// or isolated.
func (d *Detector) Step(now time.Time, contacts []Contact) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range contacts {
		if c.At.After(d.contactAt) {
			d.contactAt = c.At
		}
	}
	if d.isolated {
		d.reviewIsolation(now)
	} else {
		d.reviewDoubt(now, contacts)
	}
	if !d.isolated && !d.isDoubtful(now) {
		return nil
	}
	return d.probes(now)
}

// Sample returns up to count servers, of different services and availability zones if possible.
func (d *Detector) Sample(count int) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers.pick(count, nil, d.random)
}

// reviewDoubt ends a doubt that no failure has confirmed for a while, and isolates the host if the
// evidence suffices. The caller must hold d.mu.
func (d *Detector) reviewDoubt(now time.Time, contacts []Contact) {
	if d.doubtSince.IsZero() {
		return
	}
	if now.Sub(d.failedAt) >= d.policy.DoubtTimeout {
		d.clearDoubt()
		return
	}
	d.forgetComparisons(now)
	d.learn(now, contacts)
	if d.failedLast.Sub(d.doubtSince) < d.policy.MinDoubt || !d.failsWidely() || !d.failsWhereOthersSucceed(contacts) {
		return
	}
	d.hold = d.nextHold(now)
	d.isolated, d.confirmedAt, d.latest = true, now, Contact{}
	d.interval = d.policy.ProbeInterval
	clear(d.restored)
}

// nextHold returns the hold of an isolation that begins now. The caller must hold d.mu.
func (d *Detector) nextHold(now time.Time) time.Duration {
	if d.endedAt.IsZero() || now.Sub(d.endedAt) >= d.policy.HoldMemory {
		return d.policy.Hold
	}
	return min(2*d.hold, d.policy.MaxHold)
}

// isUnreachable reports whether neither this host nor another one reaches a server. The caller must
// hold d.mu.
func (d *Detector) isUnreachable(now time.Time) bool {
	return !d.isolated && d.failedLast.Sub(d.doubtSince) >= d.policy.UnreachableAfter && d.failsWidely() &&
		now.Sub(d.contactAt) >= d.policy.CompareTimeout
}

// failsWidely reports whether the failing servers are many, of several services and in several
// availability zones, as far as there are as many. The caller must hold d.mu.
func (d *Detector) failsWidely() bool {
	if len(d.failing) < min(d.policy.MinServers, len(d.servers.byAddress)) {
		return false
	}
	services, zones := spreadOf(func(yield func(group)) {
		for address := range d.failing {
			yield(groupOf(d.servers.byAddress[address]))
		}
	})
	allServices, allZones := d.servers.spread()
	return services >= min(2, allServices) && zones >= min(2, allZones)
}

// failsWhereOthersSucceed reports whether connections fail to servers that other hosts have reached
// before, and whether other hosts still reach servers after that: servers that stop one after the
// other are not taken for lost links. The caller must hold d.mu.
func (d *Detector) failsWhereOthersSucceed(contacts []Contact) bool {
	if len(d.compared) == 0 || len(d.compared) < len(d.reached) {
		return false
	}
	var last time.Time
	for _, began := range d.compared {
		if began.After(last) {
			last = began
		}
	}
	return slices.ContainsFunc(contacts, func(c Contact) bool { return c.At.After(last) })
}

// forgetComparisons forgets comparisons that are too old. The caller must hold d.mu.
func (d *Detector) forgetComparisons(now time.Time) {
	for address, began := range d.compared {
		if now.Sub(began) >= d.policy.CompareTimeout {
			delete(d.reached, address)
			delete(d.compared, address)
		}
	}
}

// learn records the servers that other hosts have reached since the failures began. The caller must
// hold d.mu.
func (d *Detector) learn(now time.Time, contacts []Contact) {
	for _, c := range contacts {
		if _, ok := d.servers.byAddress[c.Server]; !ok || !c.At.After(d.doubtSince) || now.Sub(c.At) >= d.policy.CompareTimeout {
			continue
		}
		if _, ok := d.reached[c.Server]; !ok && len(d.reached) < d.policy.MaxCompared {
			d.reached[c.Server] = c.At
		}
	}
}

// reviewIsolation ends isolation if connections succeed again, or if no other host reaches a server
// either. The caller must hold d.mu.
func (d *Detector) reviewIsolation(now time.Time) {
	if d.contactAt.After(d.confirmedAt) {
		d.confirmedAt = d.contactAt
	}
	restored := len(d.restored) > 0 && len(d.restored) >= min(d.policy.MinRestored, len(d.servers.byAddress)) &&
		d.restoredUntil.Sub(d.restoredSince) >= d.hold
	if !restored && now.Sub(d.confirmedAt) < d.policy.ConfirmTimeout {
		return
	}
	d.isolated, d.endedAt = false, now
	if restored {
		for address := range d.restored {
			d.latest = Contact{Server: address, At: now}
			break
		}
		d.connectedAt = now
	}
	clear(d.restored)
	d.clearDoubt()
}

// probes returns the servers to probe now: in rounds, and those that other hosts have reached as
// soon as they are known. The caller must hold d.mu.
func (d *Detector) probes(now time.Time) []netip.AddrPort {
	var targets []netip.AddrPort
	add := func(address netip.AddrPort) {
		d.probedAt[address] = now
		if !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	defer func() { slices.SortFunc(targets, netip.AddrPort.Compare) }()
	isRound := now.Sub(d.roundAt) >= d.interval
	if !d.isolated {
		for address, at := range d.reached {
			_, isCompared := d.compared[address]
			if !isCompared && (isRound || !d.probedAt[address].After(at)) {
				add(address)
			}
		}
	}
	if !isRound {
		return targets
	}
	d.roundAt = now
	if d.rounds++; d.rounds > d.policy.QuickRounds && !d.isolated {
		d.interval = min(2*d.interval, d.policy.MaxProbeInterval)
	}
	for _, address := range d.servers.pick(d.policy.ProbeCount, d.failingGroups(), d.random) {
		add(address)
	}
	return targets
}

// failingGroups returns the groups of the failing servers; none while isolated, when all fail. The
// caller must hold d.mu.
func (d *Detector) failingGroups() []group {
	if d.isolated {
		return nil
	}
	var groups []group
	for address := range d.failing {
		groups = append(groups, groupOf(d.servers.byAddress[address]))
	}
	for address := range d.silent {
		groups = append(groups, groupOf(d.servers.byAddress[address]))
	}
	return groups
}
