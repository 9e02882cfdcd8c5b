// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package capacity measures the growth rates used in docs/CAPACITY.md: the bytes that whole
// nodes send, their reads and their processor time at several fleet sizes in virtual time, and
// the memory used by single pieces of state. It runs under testing/synctest:
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

// Measurements are the results for a fleet of one size, when idle and after changes.
type Measurements struct {
	Nodes int
	// ReadsPerSecond is the number of calls to the configuration service.
	ReadsPerSecond float64
	// BytesPerSecond is the number of bytes that one node sends, to other nodes and to the
	// platform.
	BytesPerSecond float64
	// CPUPerSecond is the processor time that one node uses, including the stand-ins.
	CPUPerSecond time.Duration
	// ChangeTime, StaleChangeTime and RejoinTime are the times until a change is in force on
	// every node: with a healthy configuration service, with a service that is stale for all
	// zones but one, and after a partitioned zone has rejoined.
	ChangeTime      time.Duration
	StaleChangeTime time.Duration
	RejoinTime      time.Duration
	// LeavingTime is the time until every node knows that a backend server is leaving, after
	// the server has told one node.
	LeavingTime time.Duration
}

const (
	peerPort     = 8000
	platformPort = 9000
	// idleDuration is how long the idle fleet is measured.
	idleDuration = 20 * time.Second
	startTimeout = time.Minute
	// spreadTimeout is the longest wait for a change to reach all nodes. A partition lasts as
	// long.
	spreadTimeout = time.Minute
	pollInterval  = 20 * time.Millisecond
	workspaceKey  = "workspaces/training"
)

// Measure starts a fleet and measures it. It must be called in a synctest bubble.
func Measure(ctx context.Context, nodes int) (Measurements, error) {
	network := memnet.New(func(netip.Addr, netip.Addr) time.Duration { return 500 * time.Microsecond })
	site := sites.Farbwerk()
	for i := range site.Pools {
		site.Pools[i].Servers = 1
	}
	s, err := harness.New(harness.Options{Site: site, Nodes: nodes, Network: harness.Memory{Network: network}})
	if err != nil {
		return Measurements{}, err
	}
	defer s.Close()
	readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.AwaitReady(readyCtx); err != nil {
		return Measurements{}, err
	}
	time.Sleep(idleDuration)
	f := Measurements{Nodes: nodes}
	f.measureIdle(s, network)
	var errs [4]error
	f.ChangeTime, errs[0] = measureChange(s, 11)
	f.StaleChangeTime, errs[1] = measureStale(s)
	f.RejoinTime, errs[2] = measureRejoin(s, network)
	f.LeavingTime, errs[3] = measureLeaving(s)
	return f, errors.Join(errs[:]...)
}

func (f *Measurements) measureIdle(s *harness.Site, network *memnet.Network) {
	sent, calls, cpu := controlBytesSent(network), s.Configuration.Calls(), processorTime()
	time.Sleep(idleDuration)
	seconds, nodes := idleDuration.Seconds(), float64(f.Nodes)
	f.ReadsPerSecond = float64(s.Configuration.Calls()-calls) / seconds
	f.BytesPerSecond = float64(controlBytesSent(network)-sent) / seconds / nodes
	f.CPUPerSecond = time.Duration(float64(processorTime()-cpu) / seconds / nodes)
}

// controlBytesSent returns the bytes of control traffic that all nodes have sent.
func controlBytesSent(network *memnet.Network) int64 {
	total := int64(0)
	for flow, bytes := range network.Sent() {
		control := flow.Port == peerPort || flow.Port == platformPort
		platformAddress, _ := harness.Memory{}.Address(1, platformPort)
		if control && flow.From != platformAddress.Addr() {
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

// measureChange publishes a value and waits until every node has it.
func measureChange(s *harness.Site, weight int) (time.Duration, error) {
	value := fmt.Sprintf(`{"format":1,"name":"training","customer":"farbwerk","weight":%d,"pipelines":{}}`, weight)
	revision := s.Configuration.Publish(publisher.SpaceConfiguration, workspaceKey, value)
	return awaitAll(s, func(n *harness.Node) bool { return n.Revisions()[workspaceKey] >= revision })
}

func awaitAll(s *harness.Site, has func(n *harness.Node) bool) (time.Duration, error) {
	startedAt := time.Now()
	for _, n := range s.Nodes() {
		for !has(n) {
			if time.Since(startedAt) > spreadTimeout {
				return 0, fmt.Errorf("capacity: node %s does not have the change after %v", n.Caller, spreadTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(startedAt), nil
}

// measureStale is measureChange with a service that shows the change only to the nodes of one
// zone.
func measureStale(s *harness.Site) (time.Duration, error) {
	revision := s.Configuration.Revision(publisher.SpaceConfiguration)
	for _, n := range s.Nodes() {
		if n.Zone != s.Nodes()[0].Zone {
			s.Configuration.SetStale(publisher.SpaceConfiguration, n.Caller.Addr(), revision)
		}
	}
	took, err := measureChange(s, 12)
	for _, n := range s.Nodes() {
		s.Configuration.SetStale(publisher.SpaceConfiguration, n.Caller.Addr(), 0)
	}
	return took, err
}

// measureRejoin partitions a zone from the other zones and the platform, publishes a value, and
// measures the time from the end of the partition until every node has the value.
func measureRejoin(s *harness.Site, network *memnet.Network) (time.Duration, error) {
	zone := s.Nodes()[0].Zone
	platformAddr := s.PlatformAddress().Addr()
	forEachLink := func(set func(from, to netip.Addr)) {
		for _, a := range s.Nodes() {
			if a.Zone != zone {
				continue
			}
			set(a.Caller.Addr(), platformAddr)
			set(platformAddr, a.Caller.Addr())
			for _, b := range s.Nodes() {
				if b.Zone != zone {
					set(a.Caller.Addr(), b.Caller.Addr())
					set(b.Caller.Addr(), a.Caller.Addr())
				}
			}
		}
	}
	forEachLink(network.Cut)
	value := `{"format":1,"name":"training","customer":"farbwerk","weight":13,"pipelines":{}}`
	revision := s.Configuration.Publish(publisher.SpaceConfiguration, workspaceKey, value)
	time.Sleep(spreadTimeout)
	network.HealAll()
	return awaitAll(s, func(n *harness.Node) bool { return n.Revisions()[workspaceKey] >= revision })
}

// measureLeaving tells one node that a server is leaving and waits until all nodes know it.
func measureLeaving(s *harness.Site) (time.Duration, error) {
	server := s.Servers("")[0]
	s.Nodes()[0].MarkServerLeaving(server.Address, server.Instance)
	return awaitAll(s, func(n *harness.Node) bool { return len(n.Dump().LeavingHosts) > 0 })
}
