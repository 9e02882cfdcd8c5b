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

// Handler returns what serves the other nodes, and the path it serves under.
func (g *Gossip) Handler() (string, http.Handler) {
	server := peerpb.NewPeerServer(&service{g: g})
	bounded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageSize)
		server.ServeHTTP(w, r)
	})
	return server.PathPrefix(), bounded
}

// service answers the other nodes.
type service struct{ g *Gossip }

// Exchange takes in a heartbeat and answers with one.
func (s *service) Exchange(_ context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	g := s.g
	if err := g.takeNews(in.GetMembers(), in.GetLeaving()); err != nil {
		return nil, twirp.InvalidArgumentError("members", err.Error())
	}
	members, leaving := newsMessages(g.news())
	// Whoever sent the heartbeat synchronises both ways; here it is only noted where
	// both hold the same, or the other has more.
	g.options.Spaces.differing(in.GetSummaries())
	if address, err := addressOf(in.GetMembers()[0].GetPeer()); err == nil {
		g.noteAhead(address, in.GetSummaries())
	}
	reply := &peerpb.ExchangeReply{
		Members: members, Leaving: leaving, Summaries: g.options.Spaces.summaries(), View: g.options.View.Sums().Total(),
	}
	if g.options.Suspects != nil {
		reply.Ends = g.options.Suspects.Sum()
	}
	return reply, nil
}

// Probe sends a heartbeat on behalf of another node.
func (s *service) Probe(ctx context.Context, in *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	address, err := addressOf(in.GetPeer())
	if err != nil {
		return nil, twirp.InvalidArgumentError("peer", err.Error())
	}
	return &peerpb.ProbeReply{Answered: s.g.exchange(ctx, address) == nil}, nil
}

// Compare returns the versions of the keys in buckets that differ.
func (s *service) Compare(_ context.Context, in *peerpb.CompareRequest) (*peerpb.CompareReply, error) {
	store, err := s.g.options.Spaces.of(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	if len(in.GetSums()) != published.Buckets {
		return nil, twirp.InvalidArgumentError("sums", "wrong count")
	}
	// What it has through that revision is among the versions, which are read later.
	reply := &peerpb.CompareReply{Through: store.Summary().Through, Sums: store.Sums()}
	if len(lackingParts(in.GetSums(), reply.GetSums())) > manyParts {
		reply.Many = true
		return reply, nil
	}
	reply.Versions = versionMessages(store.Differing(in.GetSums()))
	return reply, nil
}

// Fetch returns entries until the reply is full; the asker asks again.
func (s *service) Fetch(ctx context.Context, in *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	store, err := s.g.options.Spaces.of(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	if len(in.GetKeys()) > maxKeys {
		return nil, twirp.InvalidArgumentError("keys", "too many")
	}
	entries := fill(store.Entries(in.GetKeys()...))
	if err := pace(ctx, s.g.sent, bytesOf(entries)); err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &peerpb.FetchReply{Entries: entryMessages(entries)}, nil
}

// Push takes entries in and passes on those that were news.
func (s *service) Push(_ context.Context, in *peerpb.PushRequest) (*peerpb.PushReply, error) {
	store, err := s.g.options.Spaces.of(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	entries := entriesOf(in.GetEntries())
	if len(in.GetPacked()) > 0 {
		packed, err := unpack(in.GetPacked())
		if err != nil {
			return nil, twirp.InvalidArgumentError("packed", err.Error())
		}
		entries = append(entries, packed...)
	}
	accepted := store.Offer(entries...)
	if in.GetDirect() {
		store.Covered(in.GetAfter(), in.GetThrough())
	}
	s.g.accepted(in.GetSpace(), accepted)
	return &peerpb.PushReply{}, nil
}

// fill returns the first entries that fit one message, one at least.
func fill(entries []published.Entry) []published.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Data)
		if i > 0 && size > maxReplyBytes {
			return entries[:i]
		}
	}
	return entries
}
