// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"fmt"

	"github.com/wingvale/wingvale/internal/peer/peerpb"
	"github.com/wingvale/wingvale/internal/published"
)

// Store holds one space of published values, whatever their type. The methods are those of
// published.Store.
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
	HoldsRemoved(sums []uint64, versions map[string]published.Version, through published.Position) bool
	OfferRelayed(entries ...published.Entry) []published.Entry
	Complete(through published.Position)
	Covered(era, after, through uint64)
}

// Spaces maps each space to its store.
type Spaces map[peerpb.Space]Store

func (s Spaces) storeFor(space peerpb.Space) (Store, error) {
	store, ok := s[space]
	if !ok {
		return nil, fmt.Errorf("peer: unknown space %s", space)
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
	return &peerpb.Summary{Space: space, Era: s.Era, Revision: s.Revision, Sum: s.Sum, Through: s.Through}
}

// throughOf returns the position up to which the sender of a summary has every key.
func throughOf(m *peerpb.Summary) published.Position {
	return published.Position{Era: m.GetEra(), Revision: m.GetThrough()}
}

// differingSpaces returns the spaces in which a peer holds other entries. In the other spaces
// this node has every key that the peer has, which it records in the store.
func (s Spaces) differingSpaces(summaries []*peerpb.Summary) []peerpb.Space {
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
		store.Complete(throughOf(m))
	}
	return spaces
}
