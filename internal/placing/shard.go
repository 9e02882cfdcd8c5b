// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wingvale/wingvale/internal/owner"
)

// shardSize is the most engines that one host places prompts on. Larger shards balance load
// better but cost their owner more.
const shardSize = 96

// NewShards returns an empty partition of the engines of a service into shards.
func NewShards[T any]() *owner.PartitionedMap[string, T] {
	return owner.NewPartitionedMap[string, T](shardSize, xxhash.Sum64String)
}

// ShardOfEngine returns the shard of an engine.
func ShardOfEngine(instance string, shards int) int {
	return owner.Part(xxhash.Sum64String(instance), shards)
}

// ShardOfPrompt returns the shard of a prompt. It hashes all shared parts, since a kind of prompt
// with few first parts would otherwise reach few engines. A prompt without shared parts is
// hashed by its size; any other key would do.
func ShardOfPrompt(p Prompt, shards int) int {
	hash := p.Shared
	if hash == 0 {
		hash = uint64(p.OwnTokens)
	}
	return owner.Part(hash, shards)
}
