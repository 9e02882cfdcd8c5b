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
	// Era is the era of the service in which it assigned Revision, which is at least 1.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Sequence is a number in the value itself that its writer increases with every change, so
	// that it orders the values of a key even if the service loses writes. It is 0 for values
	// without such a number, and for tombstones.
	Sequence uint64 `json:"sequence,omitempty"`
	// Removed marks a tombstone; Data is then empty.
	Removed bool `json:"removed,omitempty"`
	// Data is the value as published.
	Data []byte `json:"data,omitempty"`
}

// MaxKeyBytes is the maximum length of a key.
const MaxKeyBytes = 256

// LargeBytes is the size from which a value is large. Large values are advertised, requested by
// nodes that lack them, and transferred as a delta against an earlier version. Smaller ones are
// pushed: a request would cost as much as the value.
const LargeBytes = 4 << 10

// Large reports whether the value of the entry is large.
func (v Version) Large() bool {
	return v.Bytes >= LargeBytes
}

// Digest returns a hash of the entry's content without its revision.
func (e Entry) Digest() uint64 {
	if e.Removed {
		return 0
	}
	return xxhash.Sum64(e.Data)
}

// Version orders the entries of one key: by sequence, then by position, then by digest.
type Version struct {
	Sequence uint64 `json:"sequence,omitempty"`
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
	// Bytes is the size of the value. It is not part of the order.
	Bytes int `json:"bytes"`
}

// Compare returns -1, 0 or 1.
func (v Version) Compare(other Version) int {
	return cmp.Or(
		cmp.Compare(v.Sequence, other.Sequence),
		v.Position().Compare(other.Position()),
		cmp.Compare(v.Digest, other.Digest),
	)
}

// Position returns the position at which the service assigned the version.
func (v Version) Position() Position {
	return Position{Era: v.Era, Revision: v.Revision}
}

// Position returns the position at which the service assigned the entry.
func (e Entry) Position() Position {
	return Position{Era: e.Era, Revision: e.Revision}
}

// Version returns the version of the entry.
func (e Entry) Version() Version {
	return Version{Sequence: e.Sequence, Era: e.Era, Revision: e.Revision, Digest: e.Digest(), Bytes: len(e.Data)}
}
