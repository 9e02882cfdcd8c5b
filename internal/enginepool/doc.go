// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package enginepool places prompts on model engines.
//
// An engine that has the shared parts of a prompt reads only the rest, and one
// that reads a long prompt holds up the next. No single host sees enough of
// either, and reports of engines are old when they arrive. So every pool of
// engines has one owner among the live hosts, by rendezvous hashing, which
// places all prompts and so knows what it has sent where. A host that cannot
// reach the owner asks the next, and in the end decides by what it knows
// itself.
package enginepool
