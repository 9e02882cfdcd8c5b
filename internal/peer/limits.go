// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/ratelimit"
)

// Limits holds the rate limits that backend servers state. It is safe for concurrent use.
type Limits interface {
	// News returns up to most states to send to another node.
	News(most int) []ratelimit.Limit
	// Merge adds the states that another node knows and reports whether any was new.
	Merge(limits []ratelimit.Limit) bool
	// Grant grants a permit to another node, unless the limit is used up.
	Grant(limit ratelimit.Limit) ratelimit.Permit
	// GrantPlaces records the report of another node and grants it places at a brittle server.
	GrantPlaces(r ratelimit.PlacesRequest) ratelimit.PlacesReply
}

const (
	// maxLimits is the most rate limits in a heartbeat.
	maxLimits = 16
	// limitSpreadInterval is the minimum time between heartbeats that are sent because a rate
	// limit changed. A server may state another limit in each answer.
	limitSpreadInterval = 200 * time.Millisecond
	// permitTimeout bounds a request for a permit. The granter answers at once.
	permitTimeout = 100 * time.Millisecond
)

// SpreadLimits sends heartbeats to a few peers, which do the same if they learn of a limit from
// it, so that all nodes know a changed limit within a second.
func (g *Gossip) SpreadLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limitsScheduled {
		return
	}
	g.limitsScheduled = true
	wait := max(time.Until(g.limitsSpreadAt.Add(limitSpreadInterval)), batchWindow)
	time.AfterFunc(wait, func() {
		g.mu.Lock()
		g.limitsScheduled, g.limitsSpreadAt = false, time.Now()
		g.mu.Unlock()
		for _, m := range g.pickLive(Fanout, netip.AddrPort{}) {
			g.enqueue(func(ctx context.Context) { _ = g.exchange(ctx, m.Peer) })
		}
	})
}

// limitNews returns the rate limits for a heartbeat.
func (g *Gossip) limitNews() []*peerpb.ServerLimit {
	if g.options.Limits == nil {
		return nil
	}
	news := g.options.Limits.News(maxLimits)
	messages := make([]*peerpb.ServerLimit, 0, len(news))
	for _, l := range news {
		messages = append(messages, limitMessage(l))
	}
	return messages
}

// mergeLimits merges the rate limits in a heartbeat, and spreads them if any was new. It skips
// invalid ones, and those beyond the most that a heartbeat may have.
func (g *Gossip) mergeLimits(messages []*peerpb.ServerLimit) {
	if g.options.Limits == nil || len(messages) == 0 {
		return
	}
	limits := make([]ratelimit.Limit, 0, len(messages))
	for _, m := range messages[:min(len(messages), maxLimits)] {
		if l, err := decodeLimit(m); err == nil {
			limits = append(limits, l)
		}
	}
	if g.options.Limits.Merge(limits) {
		g.SpreadLimits()
	}
}

// RequestPermit asks a node for permission to send one request to a backend server.
func (g *Gossip) RequestPermit(ctx context.Context, address netip.AddrPort, limit ratelimit.Limit) (ratelimit.Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := g.client(address).Permit(ctx, &peerpb.PermitRequest{Limit: limitMessage(limit)})
	if err != nil {
		return ratelimit.Permit{}, fmt.Errorf("peer: request a permit: %w", err)
	}
	known, err := decodeLimit(reply.GetLimit())
	if err != nil {
		return ratelimit.Permit{}, err
	}
	wait := time.Duration(min(reply.GetWaitUs(), uint64(maxPermitWait/time.Microsecond))) * time.Microsecond
	return ratelimit.Permit{Granted: reply.GetGranted(), Wait: wait, Limit: known}, nil
}

// maxPermitWait bounds the wait that another node may ask for.
const maxPermitWait = time.Minute

// Permit grants a permit to a peer, unless the limit is used up.
func (s *service) Permit(_ context.Context, in *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	limits := s.g.options.Limits
	if limits == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "no rate limits")
	}
	limit, err := decodeLimit(in.GetLimit())
	if err != nil {
		return nil, twirp.InvalidArgumentError("limit", err.Error())
	}
	permit := limits.Grant(limit)
	return &peerpb.PermitReply{Granted: permit.Granted, WaitUs: uint64(permit.Wait.Microseconds()), Limit: limitMessage(permit.Limit)}, nil
}

func limitMessage(l ratelimit.Limit) *peerpb.ServerLimit {
	return &peerpb.ServerLimit{Instance: l.Instance, Limited: l.Limited, PerSecond: l.PerSecond, Version: l.Version, Brittle: l.Brittle, Rejections: uint32(l.Rejections)}
}

func decodeLimit(m *peerpb.ServerLimit) (ratelimit.Limit, error) {
	l := ratelimit.Limit{
		Instance: m.GetInstance(), Limited: m.GetLimited(), PerSecond: m.GetPerSecond(), Version: m.GetVersion(),
		Brittle: m.GetBrittle(), Rejections: int(m.GetRejections()),
	}
	if err := l.Check(); err != nil {
		return ratelimit.Limit{}, fmt.Errorf("peer: decode rate limit: %w", err)
	}
	return l, nil
}
