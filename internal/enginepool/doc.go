// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package enginepool places prompts on model engines through the hosts that own the
// engines.
//
// No host sees enough of the traffic to know what each engine has cached and queued, and
// the engines' own reports are out of date when they arrive. Each shard of a pool therefore
// has one owner among the live hosts, chosen by rendezvous hashing. The owner places all
// prompts of the shard with internal/placing, and so knows what it has sent to each engine.
// A host that cannot reach the owner tries the next host in the ranking, and finally places
// the prompt by its own records.
package enginepool
