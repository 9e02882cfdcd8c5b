// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package enginepool has prompts placed on model engines by the hosts that own
// these.
//
// No single host sees enough of what engines keep and what waits there, and reports
// of engines are old when they arrive. So every shard of a pool has one owner among
// the live hosts, by rendezvous hashing, which places all its prompts by
// internal/placing and so knows what it has sent where. A host that cannot reach
// the owner asks the next, and in the end decides by what it knows itself.
package enginepool
