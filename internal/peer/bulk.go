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
	// bulkThreshold is how many buckets must be empty at the caller for them to be sent whole.
	// The versions of all keys alone would be larger than the packed entries.
	bulkThreshold = published.Buckets / 2
	// packedCacheSize is the number of cached packed buckets: those of both spaces.
	packedCacheSize = 2 * published.Buckets
	// emptySum is the sum of an empty bucket.
	emptySum = 0
)

// packedCache caches packed buckets, since nodes that start together request the same ones. It
// is safe for concurrent use.
type packedCache struct {
	// mu makes concurrent callers wait for one packing.
	mu    sync.Mutex
	cache *lru.Cache[packedKey, []byte]
}

// packedKey identifies the content of a bucket.
type packedKey struct {
	space peerpb.Space
	part  int
	sum   uint64
}

func newPackedCache() *packedCache {
	cache, err := lru.New[packedKey, []byte](packedCacheSize)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &packedCache{cache: cache}
}

// packBuckets returns the leading buckets, packed, that fit in one message, at least one.
func (p *packedCache) packBuckets(space peerpb.Space, store Store, parts []int) ([]*peerpb.BulkPart, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := store.Sums()
	missing := slices.DeleteFunc(slices.Clone(parts), func(part int) bool {
		return p.cache.Contains(packedKey{space: space, part: part, sum: sums[part]})
	})
	held := store.InBuckets(missing)
	var packed []*peerpb.BulkPart
	bytes := 0
	for _, part := range parts {
		data, err := p.packBucket(packedKey{space: space, part: part, sum: sums[part]}, held[part])
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

// packBucket returns the cached packed bucket, or packs its entries. The entries may be newer
// than the sum in the key. The caller then finds that the bucket differs, and requests it again.
func (p *packedCache) packBucket(key packedKey, entries []published.Entry) ([]byte, error) {
	if data, ok := p.cache.Get(key); ok {
		return data, nil
	}
	data, err := pack(slices.DeleteFunc(entries, func(e published.Entry) bool { return e.Version().Large() }))
	if err != nil {
		return nil, err
	}
	p.cache.Add(key, data)
	return data, nil
}

// pack compresses entries together: those of backend servers are very similar.
func pack(entries []published.Entry) ([]byte, error) {
	message, err := proto.Marshal(&peerpb.FetchReply{Entries: entryMessages(entries)})
	if err != nil {
		return nil, fmt.Errorf("peer: pack %d entries: %w", len(entries), err)
	}
	return delta.Encode(nil, message)
}

func unpackEntries(packed []byte) ([]published.Entry, error) {
	message, err := delta.Decode(nil, packed, maxReplyBytes)
	if err != nil {
		return nil, err
	}
	var reply peerpb.FetchReply
	if err := proto.Unmarshal(message, &reply); err != nil {
		return nil, fmt.Errorf("peer: unpack entries: %w", err)
	}
	return decodeEntries(reply.GetEntries()), nil
}

// Bulk returns whole buckets of a space, within the share of the link for entries.
func (s *service) Bulk(ctx context.Context, in *peerpb.BulkRequest) (*peerpb.BulkReply, error) {
	store, err := s.g.options.Spaces.storeFor(in.GetSpace())
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
	packed, err := s.g.packed.packBuckets(in.GetSpace(), store, parts)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	if err := pace(ctx, s.g.sendLimiter, packedBytes(packed)); err != nil {
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

// fetchBulk fetches the buckets of a space that are empty here and not at the peer. It fetches a
// space from one peer at a time, since all peers hold nearly the same entries.
func (g *Gossip) fetchBulk(ctx context.Context, address netip.AddrPort, space peerpb.Space, store Store, sums []uint64) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case g.bulkSlots[space] <- struct{}{}:
	}
	defer func() { <-g.bulkSlots[space] }()
	var fetched []uint32
	for {
		remaining := slices.DeleteFunc(missingBuckets(store.Sums(), sums), func(part uint32) bool { return slices.Contains(fetched, part) })
		if len(remaining) == 0 {
			return nil
		}
		parts, err := g.fetchBuckets(ctx, address, space, remaining)
		if err != nil {
			return err
		}
		for _, m := range parts {
			entries, err := unpackEntries(m.GetPacked())
			if err != nil {
				return err
			}
			if accepted := store.OfferRelayed(entries...); len(accepted) > 0 {
				g.options.Accepted(space, accepted)
			}
			fetched = append(fetched, m.GetPart())
		}
		if err := pace(ctx, g.receiveLimiter, packedBytes(parts)); err != nil {
			return err
		}
	}
}

// missingBuckets returns the buckets that are empty in own and not empty in sums, those of a
// peer. Buckets that merely differ are left out: this node may have most of their entries.
func missingBuckets(own, sums []uint64) []uint32 {
	var lacking []uint32
	for part, sum := range sums[:min(len(sums), len(own))] {
		if own[part] == emptySum && sum != emptySum {
			lacking = append(lacking, uint32(part))
		}
	}
	return lacking
}

// fetchBuckets requests buckets from a peer and returns the leading ones, at least one.
func (g *Gossip) fetchBuckets(ctx context.Context, address netip.AddrPort, space peerpb.Space, parts []uint32) ([]*peerpb.BulkPart, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
