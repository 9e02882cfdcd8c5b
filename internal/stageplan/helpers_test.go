// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stageplan"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	spec  = stageplan.Spec{
		Service: "read", Size: 8, Slots: 1, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond,
		ResultCapacity: 39e6, ResultTTL: 4 * time.Second,
	}
)

// loadAwareSpec is spec with load-aware decisions.
func loadAwareSpec() stageplan.Spec {
	loadAware := spec
	loadAware.LoadAware = true
	return loadAware
}

func newScheduler(spec stageplan.Spec, servers ...stageplan.Server) *stageplan.Scheduler {
	return newRestingScheduler(spec, func(string) time.Duration { return 0 }, servers...)
}

func newRestingScheduler(spec stageplan.Spec, rest func(string) time.Duration, servers ...stageplan.Server) *stageplan.Scheduler {
	s := stageplan.New(spec, rest)
	s.SetServers(servers)
	return s
}

func server(n int, zone string) stageplan.Server {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
	return stageplan.Server{Instance: fmt.Sprintf("s%d", n), Address: address, Zone: zone}
}

func work(request string, pieces int) stageplan.Work {
	w := stageplan.Work{Service: "read", Request: request, Latest: start.Add(time.Second), Deadline: start.Add(8 * time.Second)}
	for i := range pieces {
		w.Pieces = append(w.Pieces, i)
	}
	return w
}

// requests returns the requests of a call's pieces.
func requests(c *stageplan.Call) []string {
	var names []string
	for _, item := range c.Items() {
		names = append(names, item.Request)
	}
	return names
}

func made(b *stageplan.Call) []stageplan.Outcome {
	var outcomes []stageplan.Outcome
	for i := range requests(b) {
		outcomes = append(outcomes, stageplan.Outcome{Handle: fmt.Sprintf("%s/%s/%d", b.Server().Instance, requests(b)[i], i)})
	}
	return outcomes
}

func failed(b *stageplan.Call, f stageplan.Failure) []stageplan.Outcome {
	outcomes := make([]stageplan.Outcome, len(requests(b)))
	for i := range outcomes {
		outcomes[i].Failure = f
	}
	return outcomes
}

// overdue abandons the calls that take far too long and returns their number.
func overdue(s *stageplan.Scheduler, now time.Time) int {
	late, _ := s.ResendOverdue(now)
	return len(late)
}

func next(t *testing.T, s *stageplan.Scheduler, now time.Time) *stageplan.Call {
	t.Helper()
	b, ok := s.Next(now)
	assert.Assert(t, ok, "nothing to send")
	return b
}
