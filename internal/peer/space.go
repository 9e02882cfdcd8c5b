// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"fmt"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

// Store is one space of published values, of whatever type.
type Store interface {
	Summary() published.Summary
	Sums() []uint64
	Differing(sums []uint64) map[string]published.Version
	Newer(sums []uint64, versions map[string]published.Version) (newer []published.Entry, wanted []string)
	Entries(keys ...string) []published.Entry
	InBuckets(buckets []int) map[int][]published.Entry
	Entry(key string) (published.Entry, bool)
	EntryOf(key string, version published.Version) (published.Entry, bool)
	Lacks(key string, version published.Version) bool
	Offer(entries ...published.Entry) []published.Entry
	Complete(through uint64)
	Covered(after, through uint64)
}

// Spaces has the store of each space.
type Spaces map[peerpb.Space]Store

func (s Spaces) of(space peerpb.Space) (Store, error) {
	store, ok := s[space]
	if !ok {
		return nil, fmt.Errorf("peer: no space %s", space)
	}
	return store, nil
}

func (s Spaces) summaries() []*peerpb.Summary {
	summaries := make([]*peerpb.Summary, 0, len(s))
	for space, store := range s {
		summaries = append(summaries, summaryMessage(space, store.Summary()))
	}
	return summaries
}

func summaryMessage(space peerpb.Space, s published.Summary) *peerpb.Summary {
	return &peerpb.Summary{Space: space, Revision: s.Revision, Sum: s.Sum, Through: s.Through}
}

// differing returns the spaces in which a peer holds something else. Where it
// holds the same, this node has every key that the peer has.
func (s Spaces) differing(summaries []*peerpb.Summary) []peerpb.Space {
	var spaces []peerpb.Space
	for _, m := range summaries {
		store, ok := s[m.GetSpace()]
		if !ok {
			continue
		}
		if !store.Summary().Same(published.Summary{Sum: m.GetSum()}) {
			spaces = append(spaces, m.GetSpace())
			continue
		}
		store.Complete(m.GetThrough())
	}
	return spaces
}
