// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package owner assigns keys to hosts by rendezvous hashing. Hosts with the same view select
// the same owner, and a host that joins or leaves moves only its own keys.
package owner

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous score of host for key. The host with the highest score owns the
// key.
func Score(host netip.AddrPort, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	addr := host.Addr().As16()
	port := host.Port()
	_, _ = d.Write(addr[:])
	_, _ = d.Write([]byte{byte(port >> 8), byte(port)})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Top returns the count hosts with the highest scores for key, the highest first. It returns
// all hosts if there are fewer, and does not modify hosts.
func Top(hosts []netip.AddrPort, key string, count int) []netip.AddrPort {
	score := func(n netip.AddrPort) uint64 { return Score(n, key) }
	return highest(hosts, count, score, netip.AddrPort.Compare)
}

// Of returns the owner of key, or the zero address if there are no hosts.
func Of(hosts []netip.AddrPort, key string) netip.AddrPort {
	top := Top(hosts, key, 1)
	if len(top) == 0 {
		return netip.AddrPort{}
	}
	return top[0]
}

// TopNames is like Top for names and a key that is already a hash.
func TopNames(names []string, key uint64, count int) []string {
	var d xxhash.Digest
	score := func(name string) uint64 {
		d.ResetWithSeed(key)
		_, _ = d.WriteString(name)
		return d.Sum64()
	}
	return highest(names, count, score, strings.Compare)
}

// highest returns the count items with the highest scores, the highest first and equal ones
// ordered by compare. It takes a single pass, since few of many items are wanted.
func highest[T any](items []T, count int, score func(T) uint64, compare func(a, b T) int) []T {
	count = min(max(count, 0), len(items))
	top := make([]T, 0, count)
	scores := make([]uint64, 0, count)
	for _, item := range items {
		itemScore := score(item)
		position := len(top)
		for position > 0 && (itemScore > scores[position-1] || itemScore == scores[position-1] && compare(item, top[position-1]) < 0) {
			position--
		}
		if position == count {
			continue
		}
		if len(top) == count {
			top, scores = top[:count-1], scores[:count-1]
		}
		top, scores = slices.Insert(top, position, item), slices.Insert(scores, position, itemScore)
	}
	return top
}
