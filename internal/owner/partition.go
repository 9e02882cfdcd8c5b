// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Parts returns how many parts to divide items into so that no part has many more than size items.
func Parts(items, size int) int {
	return max((items+size-1)/size, 1)
}

// Part returns the part that a hash belongs to, by rendezvous hashing. An additional part
// takes its share of hashes from all others; all other hashes stay in their part.
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

// PartitionedMap is a map divided into parts of about a given size. A change of one item affects
// only its own part, unless Repartition changes the number of parts. It is not safe for concurrent
// use.
type PartitionedMap[K comparable, T any] struct {
	size int
	hash func(K) uint64
	// parts is never empty. Each key is in the part of its hash.
	parts []map[K]T
	count int
}

// NewPartitionedMap returns an empty PartitionedMap.
func NewPartitionedMap[K comparable, T any](size int, hash func(K) uint64) *PartitionedMap[K, T] {
	return &PartitionedMap[K, T]{size: size, hash: hash, parts: []map[K]T{make(map[K]T)}}
}

// Len returns the number of items.
func (d *PartitionedMap[K, T]) Len() int {
	return d.count
}

// Parts returns the number of parts, at least 1.
func (d *PartitionedMap[K, T]) Parts() int {
	return len(d.parts)
}

// Part returns the items of a part, or nil if the part does not exist. The map must not be
// modified.
func (d *PartitionedMap[K, T]) Part(i int) map[K]T {
	if i < 0 || i >= len(d.parts) {
		return nil
	}
	return d.parts[i]
}

// PartOf returns the part of a key.
func (d *PartitionedMap[K, T]) PartOf(key K) int {
	return Part(d.hash(key), len(d.parts))
}

// Put adds or replaces an item.
func (d *PartitionedMap[K, T]) Put(key K, item T) {
	part := d.parts[d.PartOf(key)]
	if _, known := part[key]; !known {
		d.count++
	}
	part[key] = item
}

// Remove removes an item.
func (d *PartitionedMap[K, T]) Remove(key K) {
	part := d.parts[d.PartOf(key)]
	if _, known := part[key]; known {
		d.count--
		delete(part, key)
	}
}

// Repartition adjusts the number of parts to the number of items and reports whether it changed.
// It must be called after each batch of changes.
func (d *PartitionedMap[K, T]) Repartition() bool {
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
			d.parts[d.PartOf(key)][key] = item
		}
	}
	return true
}
