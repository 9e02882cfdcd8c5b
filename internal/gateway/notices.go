// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/ratelimit"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// noticesStream keeps the random numbers for the ends of rests apart from those of other
// parts.
const noticesStream = 1 << 32

// newNotices returns the registry of what backend servers announced about themselves.
func (n *Node) newNotices() *notice.Registry {
	return notice.NewRegistry(notice.Options{
		SinceBoot:     n.options.SinceBoot,
		Random:        rand.New(rand.NewPCG(n.options.Seed, noticesStream|uint64(n.settings.Callers.Port()))),
		Log:           n.log,
		Scope:         n.options.Scope,
		OnLeaving:     n.serverLeaves,
		OnLimit:       n.serverStatesLimit,
		OnBrittleness: n.serverStatesBrittleness,
		UsesLoad: func() bool {
			catalog := n.core.Catalog()
			return catalog != nil && catalog.LoadAware
		},
		OnLoad: n.serverStatesLoad,
	})
}

// serverStatesLoad passes the load that a stage server states to the pools of this host.
func (n *Node) serverStatesLoad(s notice.Server, load notice.StatedLoad) {
	n.stages.RecordLoad(s.Instance, s.Address, stageplan.ReportedLoad{Calls: load.Running + load.Waiting, Pace: load.Pace})
}

// newLimits returns the group that keeps all hosts together within the rate limits of backend
// servers. A host that does not answer a request for a permit is avoided for permits only.
func (n *Node) newLimits(done <-chan struct{}) *ratelimit.Group {
	return ratelimit.New(ratelimit.Options{
		Self:      n.settings.Callers,
		Registry:  ratelimit.NewRegistry(n.options.SinceBoot, n.log, n.options.Scope),
		Owners:    owner.NewFinder(n.settings.Callers, n.live),
		SinceBoot: n.options.SinceBoot,
		RequestPermit: func(ctx context.Context, peer netip.AddrPort, limit ratelimit.Limit) (ratelimit.Permit, error) {
			return n.gossip.RequestPermit(ctx, peer, limit)
		},
		RequestPlaces: func(ctx context.Context, peer netip.AddrPort, r ratelimit.PlacesRequest) (ratelimit.PlacesReply, error) {
			return n.gossip.RequestPlaces(ctx, peer, r)
		},
		Slots: func(instance string) int { return n.core.Slots(instance) },
		Done:  done,
		Log:   n.log,
		Scope: n.options.Scope.SubScope("limits"),
	})
}

// serverStatesLimit records the rate limit that a backend server states in an answer, and passes a
// change on to peers.
func (n *Node) serverStatesLimit(s notice.Server, limit notice.StatedLimit, sentAt time.Time) {
	if n.limits.RecordAnswer(s.Instance, limit.Limited, limit.PerSecond, sentAt) {
		n.gossip.SpreadLimits()
	}
}

// serverStatesBrittleness records whether a backend server states in an answer that it is brittle,
// and passes a change on to peers.
func (n *Node) serverStatesBrittleness(s notice.Server, b notice.StatedBrittleness, sentAt time.Time) {
	if n.limits.RecordBrittleness(s.Instance, b.Rejections, sentAt) {
		n.gossip.SpreadLimits()
	}
}

// serverLeaves applies at once that a backend server is leaving. If the server announced it in
// an answer to this host, it is passed on to peers: while the publisher is unavailable,
// answers are the only source.
func (n *Node) serverLeaves(s notice.Server, from notice.Source) {
	if from == notice.SourceList {
		// It is already being applied, and other hosts read the list themselves.
		return
	}
	if from == notice.SourceAnswer {
		n.gossip.AnnounceLeaving(fleet.LeavingServer{Address: s.Address, Instance: s.Instance})
	}
	n.serverTable.markDirty(s.Instance)
	n.refresh()
}

// peerReportedLeaving records a peer's report that a backend server is leaving.
func (n *Node) peerReportedLeaving(s fleet.LeavingServer) {
	n.notices.RecordLeaving(notice.Server{Instance: s.Instance, Address: s.Address}, notice.SourcePeer)
}
