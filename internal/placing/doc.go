// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package placing decides which engine reads a prompt. It is pure: times come in
// as arguments, and nothing is sent or logged.
//
// An engine that keeps the shared parts of a prompt reads only the rest, and one
// that reads a long prompt holds up the next. A Book knows what was placed on the
// engines of one shard, and names the engine at which the first event comes
// soonest, with what reading again and copying cost as time. Engines and prompts
// are divided over shards by hash, so that each shard gets its share of each kind
// of prompt.
package placing
