// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package published merges the keyed, revisioned values of the platform's configuration service.
// Entries may arrive from any source, in any order and any number of times.
//
// Merging is commutative, associative and idempotent. For each key the valid entry with the highest
// Version is in force. Nodes that have seen the same entries have the same values in force, and no
// source can roll a value back.
//
// A service that loses writes assigns their revisions again, and begins a new era. Entries of a
// later era then replace those of an earlier one, except where the values of a key have a sequence
// of their own: the value with the highest sequence stays in force.
package published
