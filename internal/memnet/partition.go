// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package memnet

import "net/netip"

// Refuse makes new connections from one host to another fail with ECONNREFUSED if refused is
// true, and lets them through again if not. Open connections are not affected.
func (n *Network) Refuse(from, to netip.Addr, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refused {
		n.refused[hostPair{from, to}] = true
		return
	}
	delete(n.refused, hostPair{from, to})
}

// Reset resets the open connections between hosts for which match returns true. The from
// parameter of match is the host that dialed.
func (n *Network) Reset(match func(from, to netip.Addr) bool) {
	n.mu.Lock()
	links := n.matchingLinks(match)
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}
