// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/netip"
	"sync"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
)

// hosts has what requests need of the fleet's view, made anew when the view's version
// rises and shared until then. It is safe for concurrent use.
type hosts struct {
	node *Node

	mu sync.Mutex
	// known is what was made last; nil before the first.
	known *knownHosts
}

// knownHosts are the hosts as of one version of the view. They never change.
type knownHosts struct {
	version uint64
	leaving bool
	// owners are the hosts that work, the host itself included unless it leaves.
	owners *owner.Hosts
	// entries are the other hosts that work, for callers.
	entries []entry
	// serving is how many hosts serve callers: those that leave still do.
	serving int
	// reading is how many others the publisher answers.
	reading int
}

// entry is a host that callers may use.
type entry struct {
	address netip.AddrPort
	region  string
}

func newHosts(n *Node) *hosts {
	return &hosts{node: n}
}

// now returns the hosts as they are known now.
func (h *hosts) now() *knownHosts {
	version, leaving := h.node.view.Version(), h.node.leaving.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.known == nil || h.known.version != version || h.known.leaving != leaving {
		h.known = h.node.knownHosts(version, leaving)
	}
	return h.known
}

// knownHosts looks through the view, which may be newer than version: then it is looked
// through again next time.
func (n *Node) knownHosts(version uint64, leaving bool) *knownHosts {
	known := &knownHosts{version: version, leaving: leaving, serving: 1}
	var peers []owner.Peer
	if !leaving {
		peers = append(peers, n.self())
	}
	for _, m := range n.view.Members() {
		if m.Reads && m.State == fleet.StateLive {
			known.reading++
		}
		switch m.State {
		case fleet.StateLive:
			known.serving++
			known.entries = append(known.entries, entry{address: m.Address, region: n.settings.Regions[m.Zone]})
			peers = append(peers, peerOf(m))
		case fleet.StateLeaving:
			known.serving++
		case fleet.StateSuspect, fleet.StateGone:
		}
	}
	known.owners = owner.NewHosts(n.orLast(peers))
	return known
}

// orLast returns peers, or where there are none those that leave: until others start,
// they are all there is, and must agree on who owns what.
func (n *Node) orLast(peers []owner.Peer) []owner.Peer {
	if len(peers) > 0 {
		return peers
	}
	peers = append(peers, n.self())
	for _, m := range n.view.LastToLeave() {
		peers = append(peers, peerOf(m))
	}
	return peers
}

// live returns the nodes that work, this one included unless it leaves.
func (n *Node) live() *owner.Hosts {
	return n.hosts.now().owners
}

// serving returns how many hosts serve callers.
func (n *Node) serving() int {
	return n.hosts.now().serving
}

func (n *Node) self() owner.Peer {
	return owner.Peer{Address: n.settings.Callers, Control: n.settings.Peer, Capacity: capacityOf(n.settings)}
}

func peerOf(m fleet.Member) owner.Peer {
	return owner.Peer{Address: m.Address, Control: m.Peer, Capacity: m.Capacity}
}
