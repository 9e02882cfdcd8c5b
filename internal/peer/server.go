// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

// Handler returns the handler of the protocol and the path prefix to serve it under.
func (g *Gossip) Handler() (string, http.Handler) {
	server := peerpb.NewPeerServer(&service{g: g})
	bounded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageSize)
		server.ServeHTTP(w, r)
	})
	return server.PathPrefix(), bounded
}

// service implements the server side of the protocol.
type service struct{ g *Gossip }

// Exchange merges the heartbeat of a peer and replies with a heartbeat of this node.
func (s *service) Exchange(_ context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	g := s.g
	if err := g.mergeNews(in.GetMembers(), in.GetLeaving()); err != nil {
		return nil, twirp.InvalidArgumentError("members", err.Error())
	}
	g.mergeLimits(in.GetLimits())
	members, leaving := newsMessages(g.news())
	// The sender of the heartbeat synchronises in both directions. The receiver only records
	// which spaces are equal and whether the sender is ahead.
	g.options.Spaces.differingSpaces(in.GetSummaries())
	if address, err := decodeAddress(in.GetMembers()[0].GetPeer()); err == nil {
		g.checkLag(address, in.GetSummaries())
	}
	reply := &peerpb.ExchangeReply{
		Members: members, Leaving: leaving, Summaries: g.options.Spaces.summaries(), View: g.options.View.Sums().Total(),
		Limits: g.limitNews(),
	}
	if g.options.Suspects != nil {
		reply.Ends = g.options.Suspects.Sum()
	}
	return reply, nil
}

// Probe sends a heartbeat to a third node on behalf of the caller.
func (s *service) Probe(ctx context.Context, in *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	address, err := decodeAddress(in.GetPeer())
	if err != nil {
		return nil, twirp.InvalidArgumentError("peer", err.Error())
	}
	return &peerpb.ProbeReply{Answered: s.g.exchange(ctx, address) == nil}, nil
}

// Compare returns the versions of the keys in the buckets that differ.
func (s *service) Compare(_ context.Context, in *peerpb.CompareRequest) (*peerpb.CompareReply, error) {
	store, err := s.g.options.Spaces.storeFor(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	if len(in.GetSums()) != published.Buckets {
		return nil, twirp.InvalidArgumentError("sums", "wrong count")
	}
	// Read the covered position before the versions, so that the versions include all of it.
	covered := store.Summary().Complete()
	reply := &peerpb.CompareReply{Era: covered.Era, Through: covered.Revision, Sums: store.Sums()}
	if len(missingBuckets(in.GetSums(), reply.GetSums())) > bulkThreshold {
		reply.Many = true
		return reply, nil
	}
	reply.Versions = versionMessages(store.Differing(in.GetSums()))
	return reply, nil
}

// Fetch returns entries up to the size limit of a reply. The caller requests the rest again.
func (s *service) Fetch(ctx context.Context, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	store, err := s.g.options.Spaces.storeFor(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	if len(in.GetKeys()) > maxKeys {
		return nil, twirp.InvalidArgumentError("keys", "too many")
	}
	entries := fitReply(store.Entries(in.GetKeys()...))
	if err := pace(ctx, s.g.sendLimiter, entryBytes(entries)); err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &peerpb.FetchReply{Entries: entryMessages(entries)}, nil
}

// Push stores entries and spreads those that came into force.
func (s *service) Push(_ context.Context, in *peerpb.PushRequest) (*peerpb.PushReply, error) {
	store, err := s.g.options.Spaces.storeFor(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	entries := decodeEntries(in.GetEntries())
	if len(in.GetPacked()) > 0 {
		packed, err := unpackEntries(in.GetPacked())
		if err != nil {
			return nil, twirp.InvalidArgumentError("packed", err.Error())
		}
		entries = append(entries, packed...)
	}
	accepted := store.OfferRelayed(entries...)
	if in.GetDirect() {
		store.Covered(in.GetEra(), in.GetAfter(), in.GetThrough())
	}
	s.g.handleAccepted(in.GetSpace(), accepted)
	return &peerpb.PushReply{}, nil
}

// fitReply returns the leading entries that fit in one message, at least one.
func fitReply(entries []published.Entry) []published.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Data)
		if i > 0 && size > maxReplyBytes {
			return entries[:i]
		}
	}
	return entries
}
