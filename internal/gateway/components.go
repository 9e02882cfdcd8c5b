// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/peerhttp"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/suspect"
	"github.com/wingvale/wingvale/internal/trial"
	"github.com/wingvale/wingvale/internal/wire"
)

// newGossip returns the node's gossip with its peers.
func (n *Node) newGossip() *peer.Gossip {
	return peer.New(peer.Options{
		View:     n.view,
		Spaces:   peer.Spaces{peerpb.Space_SPACE_CONFIGURATION: n.directives, peerpb.Space_SPACE_HOSTS: n.listed},
		HTTP:     n.peers,
		Log:      n.log,
		Scope:    n.options.Scope.SubScope("peer"),
		Random:   childRandom(n.random),
		Listed:   func(netip.AddrPort) bool { return true },
		Accepted: func(peerpb.Space, []published.Entry) { n.refresh() },
		Link:     n.settings.LinkMbps * bytesPerMegabit,
		Confirm:  func(ctx context.Context, space peerpb.Space) bool { return n.confirmer.confirmForPeer(ctx, space) },
		Suspects: n.suspects,
		Origins:  n.origins,
		Versions: n.versions.Report,
		Limits:   n.limits,
		Leaving:  n.peerReportedLeaving,
		Direct:   n.isDirect,
		Contact:  n.links.contact,
	})
}

// newCore returns the relay core that serves requests.
func (n *Node) newCore() *relay.Core {
	s, o := n.settings, n.options
	return relay.New(relay.Options{
		Handover:         n.newHandover(),
		Context:          n.ctx,
		Zone:             s.Zone,
		Dialect:          o.Dialect,
		Servers:          n.backends,
		Stages:           n.stages,
		Engines:          n.engines,
		Notices:          n.notices,
		Limits:           n.limits,
		Suspects:         n.suspects,
		Origins:          streamOrigins{n.origins, n},
		Versions:         servedVersions{n},
		Confirm:          n.confirmer.confirm,
		Unreachable:      n.Unreachable,
		OwnersKnown:      n.settled,
		SinceBoot:        o.SinceBoot,
		SuspectsReceived: n.gossip.CrashesKnown(),
		Hosts:            n.knownServing,
		Log:              n.log,
		Scope:            o.Scope,
		Random:           childRandom(n.random),
		RetryShare:       s.RetryShare,
		RetryReserve:     s.RetryReserve,
		RetryWindow:      s.RetryWindow,
	})
}

// newSuspects returns the group that tracks requests suspected of crashing servers, shared by
// gossip. A host that does not answer a query about a trial is skipped for trials only: the
// pools that it owns may be fine.
func (n *Node) newSuspects() *trial.Group {
	return trial.New(trial.Options{
		Owners: owner.NewFinder(n.settings.Callers, n.live),
		Spread: func(ends []suspect.Crash) { n.gossip.SpreadCrashes(ends) },
		RequestTrial: func(ctx context.Context, peer netip.AddrPort, digest suspect.Digest) (bool, error) {
			return n.gossip.RequestTrial(ctx, peer, digest)
		},
		ReleaseTrial: func(peer netip.AddrPort, digest suspect.Digest) { n.gossip.ReleaseTrial(peer, digest) },
		Log:          n.log,
		Scope:        n.options.Scope,
	})
}

func newPeerClient(dial exchange.Dial, scope tally.Scope) *http.Client {
	return &http.Client{Transport: wire.CheckedTransport(traffic{scope: scope}.client(peerhttp.New(peerhttp.Dial(dial), scope)))}
}
