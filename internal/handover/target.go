// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover

import (
	"net/netip"
	"slices"

	"github.com/wingvale/wingvale/verdict"
)

// farCost is the cost of a host in another availability zone relative to one in the same.
const farCost = 2

// Target is a host to which requests may be handed over.
type Target struct {
	// Peer is its address for other hosts.
	Peer netip.AddrPort
	// Near means that it is in the same availability zone.
	Near bool
}

// acquire chooses a host and counts a request there.
func (c *Client) acquire(except []netip.AddrPort) (netip.AddrPort, *verdict.Error) {
	targets := c.options.Targets()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.total >= c.options.Limit {
		return netip.AddrPort{}, verdict.New(verdict.NotRun, verdict.ReasonOverload, "handover: %d requests are with other hosts", c.total).WithRetryAfter(fullRetryAfter)
	}
	target, ok := c.choose(targets, except)
	if !ok {
		return netip.AddrPort{}, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "handover: no other host").WithRetryAfter(fullRetryAfter)
	}
	c.inFlight[target]++
	c.total++
	return target, nil
}

// choose returns the less loaded of two hosts: a random one, and a random one nearby if there is
// any. The mutex must be held.
func (c *Client) choose(targets []Target, except []netip.AddrPort) (netip.AddrPort, bool) {
	var all, near []Target
	for _, t := range targets {
		if slices.Contains(except, t.Peer) {
			continue
		}
		all = append(all, t)
		if t.Near {
			near = append(near, t)
		}
	}
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	if len(near) == 0 {
		near = all
	}
	first, second := near[c.random.IntN(len(near))], all[c.random.IntN(len(all))]
	if c.cost(second) < c.cost(first) {
		return second.Peer, true
	}
	return first.Peer, true
}

func (c *Client) cost(t Target) int {
	cost := c.inFlight[t.Peer] + 1
	if !t.Near {
		cost *= farCost
	}
	return cost
}

func (c *Client) release(target netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total--
	if c.inFlight[target]--; c.inFlight[target] == 0 {
		delete(c.inFlight, target)
	}
}
