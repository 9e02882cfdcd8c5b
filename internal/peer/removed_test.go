// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/peer"
	"github.com/wingvale/wingvale/internal/published"
)

// A host that is cut off from the publisher handed a removed key to hosts that had started since.
func TestHostThatIsBehindSpreadsRemovedKey(t *testing.T) {
	runNodes(t, 3, func(t *testing.T, _ *memnet.Network, all []*testNode) {
		kept := published.Entry{Key: "kept", Revision: 3, Data: []byte("x")}
		gone := published.Entry{Key: "gone", Revision: 4, Data: []byte("x")}
		all[0].store.OfferListing(published.Listing{Position: published.Position{Revision: 5}, Entries: []published.Entry{kept, gone}})
		for _, n := range all[1:] {
			n.store.OfferListing(published.Listing{Position: published.Position{Revision: 50}, Entries: []published.Entry{kept}})
		}
		all[0].gossip.Spread(space, []published.Entry{gone})
		time.Sleep(10 * time.Second)
		for i, n := range all[1:] {
			assert.Equal(t, len(n.store.Values()), 1, "host %d", i+1)
			assert.Equal(t, n.store.Summary().Through, uint64(50))
		}
		assert.Equal(t, all[0].store.Summary().Through, uint64(5), "the host that is behind counts as complete")
		all[1].gossip.Spread(space, all[1].store.Offer(published.Entry{Key: "new", Revision: 51, Data: []byte("x")}))
		time.Sleep(10 * time.Second)
		for i, n := range all {
			value, _ := n.store.Get("new")
			assert.Equal(t, value, "x", "host %d does not learn of a new key from its peers", i)
		}
		all[0].store.OfferListing(published.Listing{Position: published.Position{Revision: 51}, Entries: []published.Entry{kept, {Key: "new", Revision: 51, Data: []byte("x")}}})
		time.Sleep(10 * time.Second)
		assert.Check(t, all[0].store.Summary().Same(all[1].store.Summary()))
	})
}

// Changes that were pushed counted as all changes of a range although some of it was never in the queue.
func TestPushedRangeLacksChanges(t *testing.T) {
	position := func(revision uint64) published.Position { return published.Position{Revision: revision} }
	small := func(revision uint64) []published.Entry {
		return []published.Entry{{Key: "k", Revision: revision, Data: []byte("x")}}
	}
	var q peer.ChangeQueue
	q.Add(peer.Changes{After: position(10), Through: position(20), Entries: small(15)})
	q.Add(peer.Changes{Entries: small(30)})
	q.Add(peer.Changes{After: position(40), Through: position(45), Entries: small(42)})
	got := q.Drain()
	assert.Equal(t, got.After, position(40))
	assert.Equal(t, got.Through, position(45))
	q.Add(peer.Changes{After: position(45), Through: position(47), Entries: small(46)})
	q.Add(peer.Changes{After: position(47), Through: position(50), Entries: small(50)})
	got = q.Drain()
	assert.Equal(t, got.After, position(45))
	assert.Equal(t, got.Through, position(50))
	large := published.Entry{Key: "large", Revision: 52, Data: noise(published.LargeBytes, 1)}
	q.Add(peer.Changes{After: position(50), Through: position(53), Entries: append(small(53), large)})
	got = q.Drain()
	assert.Equal(t, len(got.Entries), 1)
	assert.Equal(t, got.Through, position(0), "a large change is not pushed")
}
