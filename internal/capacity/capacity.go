// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package capacity measures the slopes that docs/CAPACITY.md works with: what
// whole nodes send, read and compute at several fleet sizes in virtual time,
// and what single pieces of state weigh. It runs under testing/synctest:
//
//	go test ./internal/capacity -timeout 30m -args -measure
package capacity

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/wingvale/wingvale/internal/harness"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/sites"
)

// Fleet is what a fleet of one size does at rest and at a change.
type Fleet struct {
	Nodes int
	// Reads is the calls a second at the configuration service.
	Reads float64
	// Bytes is what one node sends to others and to the platform each second.
	Bytes float64
	// CPU is the processor time of one node each second, stand-ins included.
	CPU time.Duration
	// Healthy, Stale and Joined are the times until a change is in force at
	// every node: with a sound service, with one that is stale for all zones
	// but one, and after a zone that was cut off has joined again.
	Healthy time.Duration
	Stale   time.Duration
	Joined  time.Duration
	// Leaving is the time until every node knows that a backend server is
	// leaving that told one node so.
	Leaving time.Duration
}

const (
	portPeer     = 8000
	portPlatform = 9000
	// rest is how long the fleet is watched at rest.
	rest      = 20 * time.Second
	startFor  = time.Minute
	spreadFor = time.Minute
	lookEvery = 20 * time.Millisecond
	key       = "workspaces/training"
)

// Measure sets up a fleet and measures it. It must be called in a synctest
// bubble.
func Measure(ctx context.Context, nodes int) (Fleet, error) {
	network := memnet.New(func(netip.Addr, netip.Addr) time.Duration { return 500 * time.Microsecond })
	site := sites.Farbwerk()
	for i := range site.Pools {
		site.Pools[i].Runners = 1
	}
	s, err := harness.New(harness.Options{Site: site, Nodes: nodes, Network: harness.Memory{Network: network}})
	if err != nil {
		return Fleet{}, err
	}
	defer s.Close()
	readyCtx, cancel := context.WithTimeout(ctx, startFor)
	defer cancel()
	if err := s.AwaitReady(readyCtx); err != nil {
		return Fleet{}, err
	}
	time.Sleep(rest)
	f := Fleet{Nodes: nodes}
	f.atRest(s, network)
	var errs [4]error
	f.Healthy, errs[0] = change(s, 11)
	f.Stale, errs[1] = stale(s)
	f.Joined, errs[2] = joined(s, network)
	f.Leaving, errs[3] = leaving(s)
	return f, errors.Join(errs[:]...)
}

func (f *Fleet) atRest(s *harness.Site, network *memnet.Network) {
	sent, calls, cpu := sentBy(network), s.Configuration.Calls(), processorTime()
	time.Sleep(rest)
	seconds, each := rest.Seconds(), float64(f.Nodes)
	f.Reads = float64(s.Configuration.Calls()-calls) / seconds
	f.Bytes = float64(sentBy(network)-sent) / seconds / each
	f.CPU = time.Duration(float64(processorTime()-cpu) / seconds / each)
}

// sentBy returns the bytes of control traffic that all nodes have sent.
func sentBy(network *memnet.Network) int64 {
	total := int64(0)
	for flow, bytes := range network.Sent() {
		control := flow.Port == portPeer || flow.Port == portPlatform
		platformItself, _ := harness.Memory{}.Address(1, portPlatform)
		if control && flow.From != platformItself.Addr() {
			total += bytes
		}
	}
	return total
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// change publishes a value and waits until every node has it.
func change(s *harness.Site, weight int) (time.Duration, error) {
	value := fmt.Sprintf(`{"format":1,"name":"training","customer":"farbwerk","weight":%d,"pipelines":{}}`, weight)
	revision := s.Configuration.Publish(publisher.SpaceConfiguration, key, value)
	return await(s, func(n *harness.Node) bool { return n.Revisions()[key] >= revision })
}

func await(s *harness.Site, has func(n *harness.Node) bool) (time.Duration, error) {
	begin := time.Now()
	for _, n := range s.Nodes() {
		for !has(n) {
			if time.Since(begin) > spreadFor {
				return 0, fmt.Errorf("capacity: %s lacks it after %v", n.Caller, spreadFor)
			}
			time.Sleep(lookEvery)
		}
	}
	return time.Since(begin), nil
}

// stale lets only the nodes of one zone see the change at the service.
func stale(s *harness.Site) (time.Duration, error) {
	revision := s.Configuration.Revision(publisher.SpaceConfiguration)
	for _, n := range s.Nodes() {
		if n.Zone != s.Nodes()[0].Zone {
			s.Configuration.SetStale(publisher.SpaceConfiguration, n.Caller.Addr(), revision)
		}
	}
	took, err := change(s, 12)
	for _, n := range s.Nodes() {
		s.Configuration.SetStale(publisher.SpaceConfiguration, n.Caller.Addr(), 0)
	}
	return took, err
}

// joined cuts a zone off from the rest and the platform, publishes, and
// measures from the moment it is joined again.
func joined(s *harness.Site, network *memnet.Network) (time.Duration, error) {
	zone := s.Nodes()[0].Zone
	platformAt := s.Platform().Addr()
	each := func(do func(from, to netip.Addr)) {
		for _, a := range s.Nodes() {
			if a.Zone != zone {
				continue
			}
			do(a.Caller.Addr(), platformAt)
			do(platformAt, a.Caller.Addr())
			for _, b := range s.Nodes() {
				if b.Zone != zone {
					do(a.Caller.Addr(), b.Caller.Addr())
					do(b.Caller.Addr(), a.Caller.Addr())
				}
			}
		}
	}
	each(network.Cut)
	value := `{"format":1,"name":"training","customer":"farbwerk","weight":13,"pipelines":{}}`
	revision := s.Configuration.Publish(publisher.SpaceConfiguration, key, value)
	time.Sleep(spreadFor)
	network.HealAll()
	return await(s, func(n *harness.Node) bool { return n.Revisions()[key] >= revision })
}

// leaving lets one node hear that a server is leaving.
func leaving(s *harness.Site) (time.Duration, error) {
	server := s.Servers("")[0]
	s.Nodes()[0].NoteLeaving(server.Address, server.Instance)
	return await(s, func(n *harness.Node) bool { return len(n.Dump().LeavingHosts) > 0 })
}
