// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package campaign

import (
	"net/netip"
	"time"
)

// maxIsolationTime is the longest time for which nodes are partitioned from servers, and
// maxSilenceTime the longest one for which a server is silent.
const (
	maxIsolationTime = 10 * time.Second
	maxSilenceTime   = 1200 * time.Millisecond
)

// isolateNode partitions a node from all servers.
func isolateNode(r *run) (func(), time.Duration) {
	i, name, ok := r.pickNode()
	if !ok {
		return nil, 0
	}
	return r.isolate([]netip.Addr{r.site.Nodes()[i].Caller.Addr()}, func() { r.unmarkFaulty(name) })
}

// isolateZone partitions the nodes of a zone from all servers.
func isolateZone(r *run) (func(), time.Duration) {
	nodes := r.site.Nodes()
	zone := nodes[r.random.IntN(len(nodes))].Zone
	if !r.markFaulty("zone " + zone) {
		return nil, 0
	}
	var hosts []netip.Addr
	for _, n := range nodes {
		if n.Zone == zone {
			hosts = append(hosts, n.Caller.Addr())
		}
	}
	return r.isolate(hosts, func() { r.unmarkFaulty("zone " + zone) })
}

// isolate partitions hosts from all servers in a random way and calls done when the partition ends.
func (r *run) isolate(hosts []netip.Addr, done func()) (func(), time.Duration) {
	var servers []netip.Addr
	for _, s := range r.site.Servers("") {
		servers = append(servers, s.Address.Addr())
	}
	if r.random.IntN(2) == 0 {
		heal, duration := r.cutLinks(hosts, servers, true, maxIsolationTime)
		return func() {
			heal()
			done()
		}, duration
	}
	resets := r.random.IntN(2) == 0
	each := func(do func(host, server netip.Addr)) {
		for _, host := range hosts {
			for _, server := range servers {
				do(host, server)
			}
		}
	}
	each(func(host, server netip.Addr) {
		r.network.Refuse(host, server, true)
		if resets {
			r.network.Reset(func(from, to netip.Addr) bool { return from == host && to == server })
		}
	})
	return func() {
		each(func(host, server netip.Addr) { r.network.Refuse(host, server, false) })
		done()
	}, r.randomDuration(500*time.Millisecond, maxIsolationTime)
}

// silenceServer makes a server silent for about a second.
func silenceServer(r *run) (func(), time.Duration) {
	s, name, ok := r.pickServer()
	if !ok {
		return nil, 0
	}
	host := s.Address.Addr()
	r.network.Freeze(host, true)
	return func() {
		r.network.Freeze(host, false)
		r.unmarkFaulty(name)
	}, r.randomDuration(100*time.Millisecond, maxSilenceTime)
}
