// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/memnet"
)

// A node that learns from a backend server that it is leaving may be the only one that can. With
// periodic heartbeats alone, 94 of 100 nodes knew of it 2 s later.
func TestLeavingServerReachesAllNodesWithinTwoSeconds(t *testing.T) {
	runNodes(t, 100, func(t *testing.T, _ *memnet.Network, all []*testNode) {
		time.Sleep(5 * time.Second)
		server := fleet.LeavingServer{Address: netip.MustParseAddrPort("10.9.0.1:8080"), Instance: "i-1@5"}
		all[0].gossip.AnnounceLeaving(server)
		time.Sleep(2 * time.Second)
		informed := 0
		for _, n := range all {
			if n.view.IsLeaving(server.Address, server.Instance) {
				informed++
			}
		}
		assert.Equal(t, informed, len(all))
	})
}

// Guards against a false suspicion: an instance name over the limit of the protocol made peers
// refuse the heartbeats with it, so that they considered the node silent.
func TestLeavingServerWithTooLongInstanceIsNotAnnounced(t *testing.T) {
	runNodes(t, 3, func(t *testing.T, _ *memnet.Network, all []*testNode) {
		time.Sleep(2 * time.Second)
		all[0].gossip.AnnounceLeaving(fleet.LeavingServer{
			Address: netip.MustParseAddrPort("10.9.0.1:8080"), Instance: strings.Repeat("i", 150),
		})
		time.Sleep(10 * time.Second)
		for _, n := range all[1:] {
			m, ok := n.view.Lookup(all[0].view.Self().Address)
			assert.Assert(t, ok && m.State == fleet.StateLive, "%v", m)
		}
	})
}
