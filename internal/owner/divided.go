// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Parts is into how many parts so many items are divided that no part has many more
// than size.
func Parts(items, size int) int {
	return max((items+size-1)/size, 1)
}

// Part returns which of the parts a hash falls into. One part more takes its share of
// hashes from all others, and leaves the rest where they are.
func Part(hash uint64, parts int) int {
	best, highest := 0, uint64(0)
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], hash)
	for i := range max(parts, 1) {
		binary.LittleEndian.PutUint64(key[8:], uint64(i))
		if score := xxhash.Sum64(key[:]); i == 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// Divided has items by key, divided into parts of about a size. A change of one item
// touches its part alone, but where Divide changes the number of parts. It is not safe
// for concurrent use.
type Divided[K comparable, T any] struct {
	size int
	hash func(K) uint64
	// parts is never empty; each key is in the part of its hash.
	parts []map[K]T
	count int
}

// NewDivided returns a Divided without items.
func NewDivided[K comparable, T any](size int, hash func(K) uint64) *Divided[K, T] {
	return &Divided[K, T]{size: size, hash: hash, parts: []map[K]T{make(map[K]T)}}
}

// Len is how many items there are.
func (d *Divided[K, T]) Len() int {
	return d.count
}

// Parts is how many parts there are, at least 1.
func (d *Divided[K, T]) Parts() int {
	return len(d.parts)
}

// Part returns the items of a part, and none of one that there isn't. They must not be
// changed.
func (d *Divided[K, T]) Part(i int) map[K]T {
	if i < 0 || i >= len(d.parts) {
		return nil
	}
	return d.parts[i]
}

// Of returns the part of a key.
func (d *Divided[K, T]) Of(key K) int {
	return Part(d.hash(key), len(d.parts))
}

// Put adds or replaces an item.
func (d *Divided[K, T]) Put(key K, item T) {
	part := d.parts[d.Of(key)]
	if _, known := part[key]; !known {
		d.count++
	}
	part[key] = item
}

// Remove takes an item out.
func (d *Divided[K, T]) Remove(key K) {
	part := d.parts[d.Of(key)]
	if _, known := part[key]; known {
		d.count--
		delete(part, key)
	}
}

// Divide brings the number of parts in line with that of the items, and reports whether
// it has changed. It is called after each batch of changes.
func (d *Divided[K, T]) Divide() bool {
	wanted := Parts(d.count, d.size)
	if wanted == len(d.parts) {
		return false
	}
	old := d.parts
	d.parts = make([]map[K]T, wanted)
	for i := range d.parts {
		d.parts[i] = make(map[K]T)
	}
	for _, part := range old {
		for key, item := range part {
			d.parts[d.Of(key)][key] = item
		}
	}
	return true
}
