// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package trial_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/suspect"
	"github.com/wingvale/wingvale/internal/trial"
)

// hosts holds the groups of several hosts that are connected to each other.
type hosts struct {
	groups map[netip.AddrPort]*trial.Group
	down   map[netip.AddrPort]bool
	log    bytes.Buffer
	scope  tally.TestScope
}

var errDown = errors.New("down")

func newHosts(count int) (*hosts, []*trial.Group) {
	h := &hosts{groups: make(map[netip.AddrPort]*trial.Group), down: make(map[netip.AddrPort]bool), scope: tally.NewTestScope("", nil)}
	log := logrus.New()
	log.SetOutput(&h.log)
	var peers []owner.Peer
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		peers = append(peers, owner.Peer{Address: address, Control: address})
	}
	var list []*trial.Group
	live := owner.NewHosts(peers)
	for _, p := range peers {
		g := trial.New(trial.Options{
			Owners: owner.NewFinder(p.Address, func() *owner.Hosts { return live }),
			Spread: func(crashes []suspect.Crash) {
				for address, other := range h.groups {
					if address != p.Address {
						other.Merge(crashes)
					}
				}
			},
			RequestTrial: func(_ context.Context, peer netip.AddrPort, digest suspect.Digest) (bool, error) {
				if h.down[peer] {
					return false, errDown
				}
				return h.groups[peer].GrantTrial(digest), nil
			},
			ReleaseTrial: func(peer netip.AddrPort, digest suspect.Digest) { h.groups[peer].EndTrial(digest) },
			Log:          log,
			Scope:        h.scope,
		})
		h.groups[p.Address] = g
		list = append(list, g)
	}
	return h, list
}

func crashOf(digest suspect.Digest, server int) []suspect.Crash {
	return []suspect.Crash{{Digest: digest, Server: suspect.ServerOf(fmt.Sprint("i-", server)), CrashedAt: time.Now()}}
}

func TestTrialsOfRequestRunOneAtATimeAcrossHosts(t *testing.T) {
	_, list := newHosts(4)
	for i := range 3 {
		list[i].RecordCrashes(crashOf(1, i))
	}
	var endTrial func()
	granted := 0
	for _, g := range list {
		assert.Equal(t, g.Assess(suspect.Traits{Request: 1}).State, suspect.Suspected)
		if end, ok := g.StartTrial(t.Context(), 1); ok {
			granted++
			endTrial = end
		}
	}
	assert.Equal(t, granted, 1)
	endTrial()
	_, ok := list[3].StartTrial(t.Context(), 1)
	assert.Assert(t, ok)
	// The crash of a server ends the trial.
	list[0].RecordCrashes(crashOf(1, 3))
	_, ok = list[2].StartTrial(t.Context(), 1)
	assert.Assert(t, ok)
	list[0].RecordCrashes(crashOf(1, 4))
	for _, g := range list {
		assert.Equal(t, g.Assess(suspect.Traits{Request: 1}).State, suspect.Quarantined)
		_, ok = g.StartTrial(t.Context(), 1)
		assert.Assert(t, !ok)
	}
}

// A host whose trial a crash had ended released it later, and with it the next trial, which another host had
// been granted meanwhile.
func TestReleaseOfEndedTrialEndsNextOne(t *testing.T) {
	_, list := newHosts(4)
	for i := range 3 {
		list[i].RecordCrashes(crashOf(1, i))
	}
	endFirst, ok := list[1].StartTrial(t.Context(), 1)
	assert.Assert(t, ok)
	list[0].RecordCrashes(crashOf(1, 3))
	endSecond, ok := list[2].StartTrial(t.Context(), 1)
	assert.Assert(t, ok)
	endFirst()
	_, ok = list[3].StartTrial(t.Context(), 1)
	assert.Assert(t, !ok, "two trials at a time")
	endSecond()
	_, ok = list[3].StartTrial(t.Context(), 1)
	assert.Assert(t, ok)
}

func TestTrialIsGrantedLocallyWhenOwnersAreDown(t *testing.T) {
	h, list := newHosts(4)
	for i := range 3 {
		list[i].RecordCrashes(crashOf(1, i))
	}
	for address := range h.groups {
		h.down[address] = true
	}
	_, ok := list[1].StartTrial(t.Context(), 1)
	assert.Assert(t, ok)
	_, ok = list[1].StartTrial(t.Context(), 1)
	assert.Assert(t, !ok)
}

// The state of a request must appear in logs, metrics and the diagnostic dump.
func TestStateOfRequestIsLoggedAndReported(t *testing.T) {
	h, list := newHosts(2)
	for i := range 5 {
		list[0].RecordCrashes(crashOf(1, i))
	}
	for _, state := range []string{"state=suspected", "state=kept", "digest=0000000000000001", "counted=5", "for_ms=", "before=suspected"} {
		assert.Check(t, strings.Contains(h.log.String(), state), "no %s in %s", state, h.log.String())
	}
	gauges := h.scope.Snapshot().Gauges()
	assert.Equal(t, gauges["suspect_ends+"].Value(), 5.0)
	assert.Equal(t, gauges["suspect_requests+"].Value(), 1.0)
	state := list[1].State(10)
	assert.Equal(t, len(state), 1)
	assert.Equal(t, state[0].State, "kept")

	list[1].RecordAnswer(trial.Answer{Digest: 1, Instance: "i-9"})
	assert.Equal(t, list[0].Assess(suspect.Traits{Request: 1}).State, suspect.Quarantined, "one answer outweighs five crashes")
	for range 49 {
		list[1].RecordAnswer(trial.Answer{Digest: 1, Instance: "i-9"})
	}
	assert.Equal(t, list[0].Assess(suspect.Traits{Request: 1}).State, suspect.Free)
	assert.Assert(t, strings.Contains(h.log.String(), "state=free"))
	assert.Assert(t, strings.Contains(h.log.String(), "an answer cleared a request of crashes"))
	assert.Equal(t, h.scope.Snapshot().Counters()["ends_cleared+"].Value(), int64(5))
	assert.Equal(t, h.scope.Snapshot().Gauges()["suspect_requests+"].Value(), 0.0)
	assert.Equal(t, list[0].Sum(), list[1].Sum())
}
