// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package placing decides which engine reads (prefills) a prompt. It is pure: times come in as
// arguments, and nothing is sent or logged.
//
// An engine that has cached the shared parts of a prompt reads only the rest, and one that
// reads a long prompt delays the next. A Scheduler tracks the prompts placed on the engines of
// one shard and selects the engine with the earliest first event, counting rereading and copying
// as additional time. Engines and prompts are divided over shards by hash, so that each shard
// gets its share of each kind of prompt.
package placing
