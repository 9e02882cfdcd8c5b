// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/handover"
	"github.com/wingvale/wingvale/internal/origin"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/peer"
)

// hostCache caches what requests need of the fleet's view, and rebuilds it when the version of
// the view changes. It is safe for concurrent use.
type hostCache struct {
	node      *Node
	elections *peer.Elections

	mu sync.Mutex
	// snapshot is the last snapshot; nil before the first.
	snapshot *hostSnapshot
}

// hostSnapshot is the set of hosts at one version of the view. It is immutable.
type hostSnapshot struct {
	version uint64
	leaving bool
	// isolated reports whether this host is isolated while another live host is not.
	isolated bool
	// leftOut reports whether this host leaves itself out of the answers to callers and of the owners.
	leftOut bool
	// owners are the live hosts, including this one unless it is leaving. Isolated ones are left out
	// unless all are isolated.
	owners *owner.Hosts
	// keepers are the hosts that may keep the versions of streams.
	keepers *origin.Hosts
	// entries are the addresses for callers of the other live hosts, without isolated ones unless
	// all are isolated.
	entries []callerEntry
	// live counts the live hosts, including isolated ones and this one unless it is leaving.
	live int
	// targets are the hosts to which requests may be handed over.
	targets []handover.Target
	// serving counts the hosts that serve callers, including those that are leaving.
	serving int
	// readers counts the other hosts that can read from the publisher.
	readers int
}

// callerEntry is a host that callers may use.
type callerEntry struct {
	address netip.AddrPort
	region  string
}

func newHostCache(n *Node) *hostCache {
	return &hostCache{node: n, elections: peer.NewElections(n.view)}
}

// current returns the snapshot for the current version of the view.
func (h *hostCache) current() *hostSnapshot {
	version, leaving := h.node.view.Version(), h.node.leaving.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.snapshot == nil || h.snapshot.version != version || h.snapshot.leaving != leaving {
		h.snapshot = h.node.newHostSnapshot(version, leaving)
	}
	return h.snapshot
}

// newHostSnapshot builds a snapshot. The view may be newer than version already; the next call
// of current then builds another one.
func (n *Node) newHostSnapshot(version uint64, leaving bool) *hostSnapshot {
	known := &hostSnapshot{version: version, leaving: leaving, serving: 1}
	members := n.view.Members()
	self := n.view.Self()
	inTouch := slices.ContainsFunc(members, isInTouch)
	known.isolated = self.Isolated && inTouch
	passesOver := func(m fleet.Member) bool { return m.Isolated && (inTouch || !self.Isolated && !leaving) }
	if !leaving {
		known.live++
	}
	leaveOut := n.settings.LeaveOut.Enabled(true)
	var peers []owner.Peer
	known.leftOut = known.isolated && leaveOut
	if !leaving && !known.leftOut {
		peers = append(peers, n.self())
	}
	for _, m := range members {
		if m.Reads && m.State == fleet.StateLive {
			known.readers++
		}
		switch m.State {
		case fleet.StateLive:
			known.serving++
			known.live++
			if !m.Isolated {
				known.targets = append(known.targets, handover.Target{Peer: m.Peer, Near: m.Zone == n.settings.Zone})
			}
			if leaveOut && passesOver(m) {
				continue
			}
			known.entries = append(known.entries, callerEntry{address: m.Address, region: n.settings.Regions[m.Zone]})
			peers = append(peers, peerOf(m))
		case fleet.StateLeaving:
			known.serving++
		case fleet.StateSuspect, fleet.StateGone:
		}
	}
	known.owners = owner.NewHosts(n.orLastLeaving(peers))
	known.keepers = n.newKeepers(members, leaving)
	return known
}

// isInTouch reports whether a member is live and has links to backend servers.
func isInTouch(m fleet.Member) bool {
	return m.State == fleet.StateLive && !m.Isolated
}

// orLastLeaving returns peers or, if there are none, the hosts that are leaving: until others
// start, they are the only ones and must agree on the owners of pools.
func (n *Node) orLastLeaving(peers []owner.Peer) []owner.Peer {
	if len(peers) > 0 {
		return peers
	}
	peers = append(peers, n.self())
	for _, m := range n.view.LeavingMembers() {
		peers = append(peers, peerOf(m))
	}
	return peers
}

// live returns the live nodes, including this one unless it is leaving.
func (n *Node) live() *owner.Hosts {
	return n.hostCache.current().owners
}

// serving returns the number of hosts that serve callers.
func (n *Node) serving() int {
	return n.hostCache.current().serving
}

// knownServing is like serving, but returns 0 until this host knows the others. One that has met none
// since it started may be one of many.
func (n *Node) knownServing() int {
	serving := n.serving()
	if !n.isSettled() || serving == 1 && len(n.view.Members()) == 0 && !n.isAlone() {
		return 0
	}
	return serving
}

// isAlone reports whether there are no other hosts according to the settings.
func (n *Node) isAlone() bool {
	seeds := n.settings.Seeds
	return len(seeds) == 0 || len(seeds) == 1 && seeds[0] == n.settings.Peer
}

func (n *Node) self() owner.Peer {
	return owner.Peer{Address: n.settings.Callers, Control: n.settings.Peer, Capacity: capacityOf(n.settings)}
}

func peerOf(m fleet.Member) owner.Peer {
	return owner.Peer{Address: m.Address, Control: m.Peer, Capacity: m.Capacity}
}
