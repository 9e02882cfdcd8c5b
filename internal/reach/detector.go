// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Policy sets how much evidence a Detector requires. All durations and counts must be positive.
type Policy struct {
	// MinServers is the number of servers that must fail for a host to be isolated; all of them
	// if there are fewer.
	MinServers int
	// MaxCompared is the number of servers reached by other hosts that are tried; all must fail.
	MaxCompared int
	// MinDoubt is the shortest time between the first and the last of the failed attempts.
	MinDoubt time.Duration
	// DoubtTimeout is how long a failure is remembered without another.
	DoubtTimeout time.Duration
	// CompareTimeout is how long contacts of other hosts, and attempts at the same servers, count.
	CompareTimeout time.Duration
	// ProbeInterval is the time between two rounds of probes. After QuickRounds rounds in one doubt
	// it doubles each time, up to MaxProbeInterval.
	ProbeInterval    time.Duration
	QuickRounds      int
	MaxProbeInterval time.Duration
	// ProbeCount is the number of servers in a round.
	ProbeCount int
	// MinRestored is the number of servers that must accept connections to end isolation; all of
	// them if there are fewer.
	MinRestored int
	// Hold is how long connections must succeed to end isolation. It doubles up to MaxHold with
	// each isolation that follows another within HoldMemory.
	Hold       time.Duration
	MaxHold    time.Duration
	HoldMemory time.Duration
	// UnreachableAfter is the shortest time between the first and the last of the failed attempts
	// after which servers that no host reaches count as unreachable.
	UnreachableAfter time.Duration
	// ConfirmTimeout is how long isolation lasts while no other host reaches a server.
	ConfirmTimeout time.Duration
}

// DefaultPolicy returns the policy for networks with round trips of a few milliseconds.
func DefaultPolicy() Policy {
	return Policy{
		MinServers:       4,
		MaxCompared:      3,
		CompareTimeout:   time.Second,
		QuickRounds:      4,
		MinDoubt:         200 * time.Millisecond,
		DoubtTimeout:     1500 * time.Millisecond,
		ProbeInterval:    250 * time.Millisecond,
		MaxProbeInterval: 500 * time.Millisecond,
		ProbeCount:       3,
		MinRestored:      2,
		Hold:             200 * time.Millisecond,
		MaxHold:          2 * time.Second,
		HoldMemory:       10 * time.Second,
		UnreachableAfter: time.Second,
		ConfirmTimeout:   3 * time.Second,
	}
}

// Contact is a backend server that was reached, and when.
type Contact struct {
	Server netip.AddrPort
	At     time.Time
}

// State is what a Detector has concluded.
type State struct {
	// Isolated reports whether the host has lost its links to all backend servers.
	Isolated bool
	// Unreachable reports whether neither this host nor, as far as it knows, any other one reaches
	// a server. It is not set while Isolated is.
	Unreachable bool
	// Doubtful reports whether the host needs the contacts of other hosts to decide.
	Doubtful bool
	// Since is when the connections began to fail; zero if they do not.
	Since time.Time
	// Failing is the number of servers that fail, Servers that of all known ones.
	Failing int
	Servers int
}

// Detector decides whether a host is isolated. It is safe for concurrent use.
type Detector struct {
	policy Policy
	// wake holds a value if a doubt has begun that Step has not seen.
	wake chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	servers serverSet
	// latest is the server that was reached last; zero while isolated.
	latest Contact
	// connectedAt is when a connection was last opened, answeredAt when a server last answered.
	connectedAt time.Time
	answeredAt  time.Time
	// doubtSince is when the first of the failed attempts began that no connection has followed;
	// zero if there are none. failedAt is when an attempt failed last.
	doubtSince time.Time
	failedAt   time.Time
	// failedLast is when the last of the failed attempts began.
	failedLast time.Time
	// failing has the servers at which connections failed since doubtSince, silent those at which
	// only a call on an open connection got nothing.
	failing map[netip.AddrPort]bool
	silent  map[netip.AddrPort]bool
	// reached has when other hosts reached a server first after doubtSince, for at most MaxCompared
	// servers. compared has when the first attempt of this host after that
	// began which failed.
	reached  map[netip.AddrPort]time.Time
	compared map[netip.AddrPort]time.Time
	// probedAt is when each server was probed last in this doubt or isolation, roundAt when the
	// last round was, and interval the time to the next.
	probedAt map[netip.AddrPort]time.Time
	roundAt  time.Time
	interval time.Duration
	// rounds counts the rounds of this doubt or isolation.
	rounds int

	// contactAt is when another host was last known to reach a server.
	contactAt time.Time

	isolated bool
	// confirmedAt is when isolation was last confirmed by another host that reaches a server.
	confirmedAt time.Time
	// restored has the servers that accepted connections from restoredSince to restoredUntil, while
	// isolated. successes and failures count the attempts since restoredSince.
	restored      map[netip.AddrPort]bool
	restoredSince time.Time
	restoredUntil time.Time
	successes     int
	failures      int
	// endedAt is when isolation last ended, and hold how long connections must succeed to end it.
	endedAt time.Time
	hold    time.Duration
}

// New returns a Detector that knows no servers.
func New(policy Policy, random *rand.Rand) *Detector {
	d := &Detector{
		policy: policy, wake: make(chan struct{}, 1), random: random, servers: newServerSet(),
		failing: make(map[netip.AddrPort]bool), silent: make(map[netip.AddrPort]bool),
		reached: make(map[netip.AddrPort]time.Time), compared: make(map[netip.AddrPort]time.Time),
		probedAt: make(map[netip.AddrPort]time.Time), restored: make(map[netip.AddrPort]bool),
		interval: policy.ProbeInterval, hold: policy.Hold,
	}
	return d
}

// Wake returns a channel that receives a value when Step should be called at once.
func (d *Detector) Wake() <-chan struct{} {
	return d.wake
}

// Put adds a server, or replaces the one with the same address.
func (d *Detector) Put(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers.put(s)
}

// Remove removes a server. What it did no longer counts.
func (d *Detector) Remove(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers.remove(address)
	delete(d.failing, address)
	delete(d.silent, address)
	delete(d.reached, address)
	delete(d.compared, address)
	delete(d.restored, address)
	delete(d.probedAt, address)
}

// RecordConnect records that an attempt to open a connection that began at a point in time has
// succeeded or failed.
func (d *Detector) RecordConnect(now, began time.Time, address netip.AddrPort, succeeded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.servers.byAddress[address]; !ok {
		return
	}
	if succeeded {
		d.recordSuccess(now, began, address)
		return
	}
	if d.isolated {
		d.recordFailureIsolated(address)
		return
	}
	// An attempt that began before the last success shows nothing new.
	if began.Before(d.connectedAt) {
		return
	}
	d.doubt(now, began)
	d.failing[address] = true
	at, isReached := d.reached[address]
	if _, isCompared := d.compared[address]; isReached && !isCompared && !began.Before(at) {
		d.compared[address] = began
	}
	d.notify(now)
}

// RecordSilence records that a call that began at a point in time on an open connection has
// received nothing.
func (d *Detector) RecordSilence(now, began time.Time, address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.servers.byAddress[address]; !ok || d.isolated || began.Before(d.connectedAt) {
		return
	}
	d.doubt(now, began)
	d.silent[address] = true
	d.notify(now)
}

// RecordAnswer records that a server has answered. An answer on an open connection does not show
// that new ones can be opened.
func (d *Detector) RecordAnswer(now time.Time, address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.silent, address)
	_, ok := d.servers.byAddress[address]
	if ok {
		d.answeredAt = now
	}
	if ok && !d.isolated {
		d.latest = Contact{Server: address, At: now}
	}
}

// AnsweredSince reports whether a server has answered after a point in time, on whatever connection.
func (d *Detector) AnsweredSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answeredAt.After(since)
}

// Latest returns the server that was reached last, and whether there is one.
func (d *Detector) Latest() (Contact, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest, d.latest.Server.IsValid()
}

// State returns the state at a point in time.
func (d *Detector) State(now time.Time) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{
		Isolated: d.isolated, Unreachable: d.isUnreachable(now), Doubtful: d.isDoubtful(now), Since: d.doubtSince,
		Failing: len(d.failing), Servers: len(d.servers.byAddress),
	}
}

// doubt records a failure of an attempt. The caller must hold d.mu.
func (d *Detector) doubt(now, began time.Time) {
	if d.doubtSince.IsZero() || began.Before(d.doubtSince) {
		d.doubtSince = began
	}
	if began.After(d.failedLast) {
		d.failedLast = began
	}
	d.failedAt = now
}

// isDoubtful reports whether several servers fail, or a single one while nothing else shows that the
// links work. The caller must hold d.mu.
func (d *Detector) isDoubtful(now time.Time) bool {
	count := len(d.failing)
	for address := range d.silent {
		if !d.failing[address] {
			count++
		}
	}
	isQuiet := now.Sub(d.doubtSince) >= d.policy.ProbeInterval && !d.latest.At.After(d.doubtSince)
	return count > 1 || count == 1 && isQuiet
}

// notify requests a call of Step if there is a doubt. The caller must hold d.mu.
func (d *Detector) notify(now time.Time) {
	if !d.isDoubtful(now) || now.Sub(d.roundAt) < d.interval {
		return
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// recordSuccess records that a connection was opened. The caller must hold d.mu.
func (d *Detector) recordSuccess(now, began time.Time, address netip.AddrPort) {
	if d.isolated {
		if len(d.restored) == 0 {
			d.restoredSince, d.successes, d.failures = now, 0, 0
		}
		d.restored[address], d.restoredUntil = true, now
		d.successes++
		return
	}
	d.latest = Contact{Server: address, At: now}
	// An attempt that began before the first failure may have been followed by a cut.
	if !d.doubtSince.IsZero() && began.Before(d.doubtSince) {
		return
	}
	d.connectedAt = now
	d.clearDoubt()
}

// recordFailureIsolated records a failure while isolated. The caller must hold d.mu.
func (d *Detector) recordFailureIsolated(address netip.AddrPort) {
	delete(d.restored, address)
	d.failures++
	if d.failures > d.successes {
		clear(d.restored)
	}
}

// clearDoubt forgets all failures. The caller must hold d.mu.
func (d *Detector) clearDoubt() {
	d.doubtSince, d.failedAt, d.failedLast = time.Time{}, time.Time{}, time.Time{}
	d.interval, d.rounds = d.policy.ProbeInterval, 0
	clear(d.failing)
	clear(d.silent)
	clear(d.reached)
	clear(d.compared)
	clear(d.probedAt)
}
