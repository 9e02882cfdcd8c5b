// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/wingvale/wingvale/internal/delta"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

const (
	// manyParts is how many parts the asker must have nothing of for these to be handed
	// over whole. The versions of all keys alone would be larger than the packed entries.
	manyParts = published.Buckets / 2
	// packedKept is how many packed parts are kept: those of both spaces.
	packedKept = 2 * published.Buckets
	// emptySum is that of a part without entries.
	emptySum = 0
)

// packedParts has the last packed parts, since those who start together ask for the same.
// It is safe for concurrent use.
type packedParts struct {
	// mu makes those who ask at the same time wait for one packing.
	mu   sync.Mutex
	kept *lru.Cache[packedKey, []byte]
}

// packedKey names what a part held.
type packedKey struct {
	space peerpb.Space
	part  int
	sum   uint64
}

func newPackedParts() *packedParts {
	kept, err := lru.New[packedKey, []byte](packedKept)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &packedParts{kept: kept}
}

// of returns parts of a store, packed, as many as one message has, one at least.
func (p *packedParts) of(space peerpb.Space, store Store, parts []int) ([]*peerpb.BulkPart, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := store.Sums()
	missing := slices.DeleteFunc(slices.Clone(parts), func(part int) bool {
		return p.kept.Contains(packedKey{space: space, part: part, sum: sums[part]})
	})
	held := store.InBuckets(missing)
	var packed []*peerpb.BulkPart
	bytes := 0
	for _, part := range parts {
		data, err := p.pack(packedKey{space: space, part: part, sum: sums[part]}, held[part])
		if err != nil {
			return nil, err
		}
		if bytes += len(data); len(packed) > 0 && bytes > partBytes {
			break
		}
		packed = append(packed, &peerpb.BulkPart{Part: uint32(part), Packed: data})
	}
	return packed, nil
}

// pack returns a part as it was packed before, or packs its entries. Those may be newer
// than the sum: whoever asks then finds the part different, and asks again.
func (p *packedParts) pack(key packedKey, entries []published.Entry) ([]byte, error) {
	if data, ok := p.kept.Get(key); ok {
		return data, nil
	}
	data, err := pack(slices.DeleteFunc(entries, func(e published.Entry) bool { return e.Version().Large() }))
	if err != nil {
		return nil, err
	}
	p.kept.Add(key, data)
	return data, nil
}

// pack compresses entries together: those of backend servers are much alike.
func pack(entries []published.Entry) ([]byte, error) {
	message, err := proto.Marshal(&peerpb.FetchReply{Entries: entryMessages(entries)})
	if err != nil {
		return nil, fmt.Errorf("peer: %d entries: %w", len(entries), err)
	}
	return delta.Encode(nil, message)
}

func unpack(packed []byte) ([]published.Entry, error) {
	message, err := delta.Decode(nil, packed, maxReplyBytes)
	if err != nil {
		return nil, err
	}
	var reply peerpb.FetchReply
	if err := proto.Unmarshal(message, &reply); err != nil {
		return nil, fmt.Errorf("peer: packed entries: %w", err)
	}
	return entriesOf(reply.GetEntries()), nil
}

// Bulk returns whole parts of a space, within this node's share of its link.
func (s *service) Bulk(ctx context.Context, in *peerpb.BulkRequest) (*peerpb.BulkReply, error) {
	store, err := s.g.options.Spaces.of(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	parts := make([]int, 0, len(in.GetParts()))
	for _, part := range in.GetParts() {
		if part >= published.Buckets || slices.Contains(parts, int(part)) {
			return nil, twirp.InvalidArgumentError("parts", "no such part, or twice")
		}
		parts = append(parts, int(part))
	}
	packed, err := s.g.packed.of(in.GetSpace(), store, parts)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	if err := pace(ctx, s.g.sent, packedBytes(packed)); err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &peerpb.BulkReply{Parts: packed}, nil
}

func packedBytes(parts []*peerpb.BulkPart) int {
	bytes := 0
	for _, p := range parts {
		bytes += len(p.GetPacked())
	}
	return bytes
}

// takeBulk takes in the parts of a space that a peer has and this node has nothing of.
// It asks one peer at a time for a space: what one has is what the others have.
func (g *Gossip) takeBulk(ctx context.Context, address netip.AddrPort, space peerpb.Space, store Store, sums []uint64) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case g.bulks[space] <- struct{}{}:
	}
	defer func() { <-g.bulks[space] }()
	var asked []uint32
	for {
		left := slices.DeleteFunc(lackingParts(store.Sums(), sums), func(part uint32) bool { return slices.Contains(asked, part) })
		if len(left) == 0 {
			return nil
		}
		parts, err := g.bulk(ctx, address, space, left)
		if err != nil {
			return err
		}
		for _, m := range parts {
			entries, err := unpack(m.GetPacked())
			if err != nil {
				return err
			}
			if accepted := store.Offer(entries...); len(accepted) > 0 {
				g.options.Accepted(space, accepted)
			}
			asked = append(asked, m.GetPart())
		}
		if err := pace(ctx, g.received, packedBytes(parts)); err != nil {
			return err
		}
	}
}

// lackingParts returns the parts of which a node with own sums has nothing and a peer with
// other sums has entries. Of other parts it may have most.
func lackingParts(own, sums []uint64) []uint32 {
	var lacking []uint32
	for part, sum := range sums[:min(len(sums), len(own))] {
		if own[part] == emptySum && sum != emptySum {
			lacking = append(lacking, uint32(part))
		}
	}
	return lacking
}

// bulk asks a peer for parts and returns the first of them, one at least.
func (g *Gossip) bulk(ctx context.Context, address netip.AddrPort, space peerpb.Space, parts []uint32) ([]*peerpb.BulkPart, error) {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	reply, err := g.client(address).Bulk(ctx, &peerpb.BulkRequest{Space: space, Parts: parts})
	if err != nil {
		return nil, err
	}
	if len(reply.GetParts()) == 0 {
		return nil, errMissing
	}
	return reply.GetParts(), nil
}
