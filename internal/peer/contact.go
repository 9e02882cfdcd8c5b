// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"math"
	"net/netip"
	"slices"

	"github.com/wingvale/wingvale/internal/fleet"
)

// AskContacts sends a heartbeat to up to count random peers at once, to learn which backend servers
// they have reached. Isolated peers reach none: they are asked only if the others are fewer.
func (g *Gossip) AskContacts(ctx context.Context, count int) {
	peers := g.pickLive(math.MaxInt, netip.AddrPort{})
	slices.SortStableFunc(peers, func(a, b fleet.Member) int {
		switch {
		case a.Isolated == b.Isolated:
			return 0
		case b.Isolated:
			return -1
		default:
			return 1
		}
	})
	g.exchangeWith(ctx, peers[:min(count, len(peers))])
}
