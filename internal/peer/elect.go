// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"net/netip"
	"slices"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
)

// Elected reports whether the node itself is one of the count live nodes of its
// availability zone that own key. Nodes with different views may both say so.
func Elected(view *fleet.View, key string, count int) bool {
	self := view.Self()
	nodes := []netip.AddrPort{self.Address}
	for _, m := range view.Members() {
		if m.Zone == self.Zone && m.State == fleet.StateLive {
			nodes = append(nodes, m.Address)
		}
	}
	return slices.Contains(owner.Top(nodes, key, count), self.Address)
}
