// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import "github.com/cespare/xxhash/v2"

// shardSize is the most engines that one host places prompts on. The more, the
// better load spreads, and the more its owner has to do.
const shardSize = 96

// Shards is how many shards a pool of so many engines has.
func Shards(engines int) int {
	return max((engines+shardSize-1)/shardSize, 1)
}

// OfEngine returns the shard of an engine.
func OfEngine(instance string, shards int) int {
	return int(xxhash.Sum64String(instance) % uint64(max(shards, 1)))
}

// OfPrompt returns the shard of a prompt, by all its shared parts: those
// of a kind with few first parts would reach few engines else. One that shares nothing goes by its size, which is as good as any.
func OfPrompt(p Prompt, shards int) int {
	hash := p.Shared
	if hash == 0 {
		hash = uint64(p.OwnTokens)
	}
	return int(hash % uint64(max(shards, 1)))
}
