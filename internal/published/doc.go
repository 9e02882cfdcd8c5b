// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package published merges the keyed, revisioned values of the platform's
// configuration service as they arrive from any source, in any order, any
// number of times.
//
// Merging is commutative, associative and idempotent: for each key the valid
// entry with the highest revision is in force, and between equal revisions the
// one with the higher digest. Nodes that have seen the same entries have the
// same values in force, and no source can take a value back.
package published
