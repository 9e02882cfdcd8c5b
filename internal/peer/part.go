// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/twitchtv/twirp"

	"github.com/wingvale/wingvale/internal/delta"
	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

// encodingCacheSize is the number of encoded entries that are cached for requests for further
// parts or for the same delta.
const encodingCacheSize = 4

// encodingCache caches large entries as encoded for other nodes. It is safe for concurrent use.
type encodingCache struct {
	// mu makes concurrent callers wait for one encoding.
	mu    sync.Mutex
	cache *lru.Cache[encodingKey, []byte]
}

type encodingKey struct {
	pullKey
	base, version published.Version
}

func newEncodingCache() *encodingCache {
	cache, err := lru.New[encodingKey, []byte](encodingCacheSize)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &encodingCache{cache: cache}
}

// encode returns an entry encoded as a delta against base, which may be empty.
func (e *encodingCache) encode(id pullKey, base, entry published.Entry) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := encodingKey{pullKey: id, base: base.Version(), version: entry.Version()}
	if encoded, ok := e.cache.Get(key); ok {
		return encoded, nil
	}
	encoded, err := delta.Encode(base.Data, entry.Data)
	if err != nil {
		return nil, err
	}
	e.cache.Add(key, encoded)
	return encoded, nil
}

// Part returns a part of a large entry, within the share of the link for entries.
func (s *service) Part(ctx context.Context, in *peerpb.PartRequest) (*peerpb.PartReply, error) {
	g := s.g
	store, err := g.options.Spaces.storeFor(in.GetSpace())
	if err != nil {
		return nil, twirp.InvalidArgumentError("space", err.Error())
	}
	entry, ok := store.EntryOf(in.GetKey(), decodeVersion(in.GetVersion()))
	if !ok {
		entry, ok = store.Entry(in.GetKey())
	}
	if !ok || entry.Removed {
		return nil, twirp.NotFoundError("no such entry")
	}
	var base published.Entry
	if in.GetBase() != nil {
		base, _ = store.EntryOf(in.GetKey(), decodeVersion(in.GetBase()))
	}
	encoded, err := g.encodings.encode(pullKey{space: in.GetSpace(), key: in.GetKey()}, base, entry)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	offset := min(in.GetOffset(), uint64(len(encoded)))
	end := min(offset+uint64(min(in.GetLimit(), partBytes)), uint64(len(encoded)))
	part := encoded[offset:end]
	if err := pace(ctx, g.sendLimiter, len(part)); err != nil {
		return nil, twirp.NewError(twirp.ResourceExhausted, err.Error())
	}
	return &peerpb.PartReply{
		Version: versionMessage(in.GetKey(), entry.Version()),
		Differs: len(base.Data) > 0,
		Data:    part,
		Size:    uint64(len(encoded)),
	}, nil
}
