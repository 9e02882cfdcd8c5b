// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Entry is one revision of one key.
type Entry struct {
	// Key is at most MaxKeyBytes long.
	Key string `json:"key"`
	// Revision is the service's and is at least 1.
	Revision uint64 `json:"revision"`
	// Removed marks a removal; Data is then empty.
	Removed bool `json:"removed,omitempty"`
	// Data is the value as published.
	Data []byte `json:"data,omitempty"`
}

// MaxKeyBytes bounds a key.
const MaxKeyBytes = 256

// Digest returns a hash of the entry's content without its revision.
func (e Entry) Digest() uint64 {
	if e.Removed {
		return 0
	}
	return xxhash.Sum64(e.Data)
}

// Version orders entries of one key.
type Version struct {
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
}

// Compare returns -1, 0 or 1.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Revision, other.Revision); c != 0 {
		return c
	}
	return cmp.Compare(v.Digest, other.Digest)
}

// Version returns the entry's place in the order.
func (e Entry) Version() Version {
	return Version{Revision: e.Revision, Digest: e.Digest()}
}
