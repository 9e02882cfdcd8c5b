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

// RequestPlaces tells a node how many requests this node has at a brittle backend server, and asks
// for places for more.
func (g *Gossip) RequestPlaces(ctx context.Context, address netip.AddrPort, r ratelimit.PlacesRequest) (ratelimit.PlacesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := g.client(address).Places(ctx, &peerpb.PlacesRequest{
		Limit: limitMessage(r.Limit), Host: r.Host.String(), Held: uint32(r.Held), Wanted: uint32(r.Wanted), Rejected: uint32(r.Rejected),
	})
	if err != nil {
		return ratelimit.PlacesReply{}, fmt.Errorf("peer: request places: %w", err)
	}
	known, err := decodeLimit(reply.GetLimit())
	if err != nil {
		return ratelimit.PlacesReply{}, err
	}
	wait := time.Duration(min(reply.GetWaitUs(), uint64(maxPermitWait/time.Microsecond))) * time.Microsecond
	return ratelimit.PlacesReply{Granted: int(reply.GetGranted()), Wait: wait, Limit: known}, nil
}

// Places grants a peer places at a brittle backend server.
func (s *service) Places(_ context.Context, in *peerpb.PlacesRequest) (*peerpb.PlacesReply, error) {
	limits := s.g.options.Limits
	if limits == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "no limits")
	}
	r, err := decodePlaces(in)
	if err != nil {
		return nil, twirp.InvalidArgumentError("places", err.Error())
	}
	reply := limits.GrantPlaces(r)
	return &peerpb.PlacesReply{Granted: uint32(reply.Granted), WaitUs: uint64(reply.Wait.Microseconds()), Limit: limitMessage(reply.Limit)}, nil
}

func decodePlaces(m *peerpb.PlacesRequest) (ratelimit.PlacesRequest, error) {
	limit, err := decodeLimit(m.GetLimit())
	if err != nil {
		return ratelimit.PlacesRequest{}, err
	}
	host, err := netip.ParseAddrPort(m.GetHost())
	if err != nil {
		return ratelimit.PlacesRequest{}, fmt.Errorf("peer: decode places: %w", err)
	}
	r := ratelimit.PlacesRequest{Limit: limit, Host: host, Held: int(m.GetHeld()), Wanted: int(m.GetWanted()), Rejected: int(m.GetRejected())}
	return r, r.Check()
}
