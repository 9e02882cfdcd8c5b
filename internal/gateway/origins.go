// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/internal/origin"
)

// leavingSeedInterval is how often the seeds are contacted while all known hosts are leaving.
const leavingSeedInterval = 500 * time.Millisecond

// newOrigins returns the group that knows which software versions began streams.
func (n *Node) newOrigins() *origin.Group {
	return origin.New(origin.Options{
		Context: n.ctx,
		Self:    n.settings.Callers,
		Hosts:   func() *origin.Hosts { return n.hostCache.current().keepers },
		Store: func(ctx context.Context, peer netip.AddrPort, records []origin.Record) error {
			return n.gossip.SendOrigins(ctx, peer, records)
		},
		Find: func(ctx context.Context, peer netip.AddrPort, s origin.Stream) (origin.Answer, error) {
			return n.gossip.FindOrigin(ctx, peer, s)
		},
		Log:   n.log,
		Scope: n.options.Scope,
	})
}

// originProofDelay is how long the keepers of a stream's record may take to answer before the host begins to
// prove that its list of servers is current, which it needs if they don't know the stream.
const originProofDelay = 50 * time.Millisecond

// streamOrigins finds the records of streams for the relay core.
type streamOrigins struct {
	*origin.Group
	node *Node
}

// Find returns what began the stream of an attempt, if a host that may know it is reached.
func (s streamOrigins) Find(ctx context.Context, attempt string) option.Value[string] {
	begun := time.Now()
	proof := time.AfterFunc(originProofDelay, func() { s.node.listProof.result(ctx, begun) })
	defer proof.Stop()
	return s.Group.Find(ctx, attempt)
}

// newKeepers returns the hosts that may keep the versions of streams, small and isolated ones too.
func (n *Node) newKeepers(members []fleet.Member, leaving bool) *origin.Hosts {
	self := keeperOf(n.view.Self())
	self.Leaving = leaving
	hosts := []origin.Host{self}
	for _, m := range members {
		if m.State == fleet.StateLive || m.State == fleet.StateLeaving {
			hosts = append(hosts, keeperOf(m))
		}
	}
	return origin.NewHosts(self.Address, hosts)
}

func keeperOf(m fleet.Member) origin.Host {
	return origin.Host{
		Address: m.Address, Control: m.Peer, Zone: m.Zone, Incarnation: m.Incarnation,
		Leaving: m.State == fleet.StateLeaving,
	}
}

// HandedOn reports whether the versions of recent streams are at other hosts.
func (n *Node) HandedOn() bool {
	return n.origins.HandedOn()
}

// seedPause returns how long to wait before the seeds are contacted again. Hosts that all leave at once look
// for the first one that starts.
func (n *Node) seedPause() time.Duration {
	if n.hostCache.current().live == 0 {
		return leavingSeedInterval
	}
	return seedInterval
}
