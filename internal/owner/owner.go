// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package owner maps keys to owners by rendezvous hashing, so that nodes with
// the same view name the same owner, and a node that comes or goes moves only
// its own keys.
package owner

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of node for key. The highest score owns the key.
func Score(node netip.AddrPort, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	addr := node.Addr().As16()
	port := node.Port()
	_, _ = d.Write(addr[:])
	_, _ = d.Write([]byte{byte(port >> 8), byte(port)})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Top returns the count nodes with the highest scores for key, the highest
// first. It returns all nodes where there are fewer, and leaves nodes as it is.
func Top(nodes []netip.AddrPort, key string, count int) []netip.AddrPort {
	score := func(n netip.AddrPort) uint64 { return Score(n, key) }
	return highest(nodes, count, score, netip.AddrPort.Compare)
}

// Of returns the owner of key, or the zero address where there are no nodes.
func Of(nodes []netip.AddrPort, key string) netip.AddrPort {
	top := Top(nodes, key, 1)
	if len(top) == 0 {
		return netip.AddrPort{}
	}
	return top[0]
}

// TopNames is Top for names and a key that is a hash already.
func TopNames(names []string, key uint64, count int) []string {
	var d xxhash.Digest
	score := func(name string) uint64 {
		d.ResetWithSeed(key)
		_, _ = d.WriteString(name)
		return d.Sum64()
	}
	return highest(names, count, score, strings.Compare)
}

// highest returns the count items with the highest scores, the highest first and equal
// ones in order. It takes one pass, since few of many are wanted.
func highest[T any](items []T, count int, score func(T) uint64, compare func(a, b T) int) []T {
	count = min(max(count, 0), len(items))
	top := make([]T, 0, count)
	scores := make([]uint64, 0, count)
	for _, item := range items {
		of := score(item)
		at := len(top)
		for at > 0 && (of > scores[at-1] || of == scores[at-1] && compare(item, top[at-1]) < 0) {
			at--
		}
		if at == count {
			continue
		}
		if len(top) == count {
			top, scores = top[:count-1], scores[:count-1]
		}
		top, scores = slices.Insert(top, at, item), slices.Insert(scores, at, of)
	}
	return top
}
