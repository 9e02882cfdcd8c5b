// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package owner maps keys to owners by rendezvous hashing, so that nodes with
// the same view name the same owner, and a node that comes or goes moves only
// its own keys.
package owner

import (
	"cmp"
	"net/netip"
	"slices"

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
	type scored struct {
		node  netip.AddrPort
		score uint64
	}
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{node: n, score: Score(n, key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return a.node.Compare(b.node)
	})
	top := make([]netip.AddrPort, 0, min(count, len(all)))
	for _, s := range all[:min(max(count, 0), len(all))] {
		top = append(top, s.node)
	}
	return top
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
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	var d xxhash.Digest
	for i, n := range names {
		d.ResetWithSeed(key)
		_, _ = d.WriteString(n)
		all[i] = scored{name: n, score: d.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	top := make([]string, 0, min(count, len(all)))
	for _, s := range all[:min(max(count, 0), len(all))] {
		top = append(top, s.name)
	}
	return top
}
