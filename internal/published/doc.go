// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package published merges the keyed, revisioned values of the platform's configuration service.
// Entries may arrive from any source, in any order and any number of times.
//
// Merging is commutative, associative and idempotent. For each key the valid entry with the highest
// revision is in force, and among equal revisions the one with the higher digest. Nodes that have
// seen the same entries have the same values in force, and no source can roll a value back.
package published
