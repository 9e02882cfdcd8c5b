// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math/rand/v2"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/notice"
)

// noticesStream keeps the chance by which rests end from that of the other parts.
const noticesStream = 1 << 32

// newNotices returns what is known of backend servers by their own words.
func (n *Node) newNotices() *notice.Book {
	return notice.NewBook(notice.Options{
		Boot:   n.options.Boot,
		Random: rand.New(rand.NewPCG(n.options.Seed, noticesStream|uint64(n.settings.Callers.Port()))),
		Log:    n.log,
		Scope:  n.options.Scope,
		Leaves: n.serverLeaves,
	})
}

// serverLeaves brings it into force at once that a backend server leaves. What it told
// this host is passed on: the publisher may be away, and then its answers alone tell.
func (n *Node) serverLeaves(s notice.Server, from notice.Source) {
	if from == notice.SourceList {
		// It is being brought into force, and others read it themselves.
		return
	}
	if from == notice.SourceAnswer {
		n.gossip.TellLeaving(fleet.LeavingServer{Address: s.Address, Instance: s.Instance})
	}
	n.members.touch(s.Instance)
	n.refresh()
}

// peerTold takes in that another host knows of a backend server that leaves.
func (n *Node) peerTold(s fleet.LeavingServer) {
	n.notices.Left(notice.Server{Instance: s.Instance, Address: s.Address}, notice.SourcePeer)
}
