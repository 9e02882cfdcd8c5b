// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net/netip"

	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

// Confirm asks one of the hosts that watch the publisher to check it for newer entries, fetches
// those, and reports whether this node then holds all of them. Agreement with hosts that do not
// watch the publisher proves nothing: they may all be behind.
func (g *Gossip) Confirm(ctx context.Context, space peerpb.Space, watching []fleet.Member) bool {
	for _, m := range watching {
		confirmed, err := g.confirmWith(ctx, m.Peer, space)
		if err != nil {
			g.options.Log.WithError(err).WithField("peer", m.Address).Info("watcher did not confirm that values are current")
			continue
		}
		if confirmed {
			return true
		}
	}
	return false
}

func (g *Gossip) confirmWith(ctx context.Context, peer netip.AddrPort, space peerpb.Space) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reply, err := g.client(peer).Confirm(callCtx, &peerpb.ConfirmRequest{Space: space})
	if err != nil || !reply.GetConfirmed() {
		return false, err
	}
	store, err := g.options.Spaces.storeFor(space)
	if err != nil {
		return false, err
	}
	confirmed := published.Summary{Sum: reply.GetSummary().GetSum()}
	if store.Summary().Same(confirmed) {
		return true, nil
	}
	if err := g.synchroniseAndWait(ctx, peer, space); err != nil {
		return false, err
	}
	newest := published.Position{Era: reply.GetSummary().GetEra(), Revision: reply.GetSummary().GetRevision()}
	return store.Summary().Newest().Compare(newest) >= 0, nil
}

// Confirm checks the publisher for newer entries.
func (s *service) Confirm(ctx context.Context, in *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	store, err := s.g.options.Spaces.storeFor(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	if s.g.options.Confirm == nil || !s.g.options.Confirm(ctx, in.GetSpace()) {
		return &peerpb.ConfirmReply{}, nil
	}
	return &peerpb.ConfirmReply{Confirmed: true, Summary: summaryMessage(in.GetSpace(), store.Summary())}, nil
}
