// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/published"
)

// listedStore returns a store that has read a listing of the given keys.
func listedStore(through published.Position, keys ...string) *published.Store[string] {
	s := newStore()
	l := published.Listing{Position: through}
	for _, k := range keys {
		l.Entries = append(l.Entries, published.Entry{Key: k, Era: through.Era, Revision: 1, Data: []byte("listed")})
	}
	s.OfferListing(l)
	return s
}

// A process that started after a key was removed took it again from a peer that did not know of the removal.
func TestRemovedKeyIsTakenFromPeer(t *testing.T) {
	s := listedStore(at(0, 50), "kept")
	assert.Equal(t, s.Summary().Complete(), at(0, 50))
	gone := published.Entry{Key: "gone", Revision: 10, Data: []byte("x")}
	assert.Check(t, !s.Lacks("gone", gone.Version()))
	newer, wanted := s.Newer(newStore().Sums(), map[string]published.Version{"gone": gone.Version()})
	assert.Equal(t, len(newer), 1)
	assert.Equal(t, len(wanted), 0)
	assert.Equal(t, len(s.OfferRelayed(gone)), 0)
	assert.DeepEqual(t, slices.Collect(maps.Keys(s.Values())), []string{"kept"})
	assert.Equal(t, s.State(9).Outdated, 1)
}

// An entry of an earlier era, which the service has lost or removed, was taken from a peer.
func TestKeyOfEarlierEraIsTakenFromPeer(t *testing.T) {
	s := listedStore(at(2, 8), "kept")
	assert.Equal(t, len(s.OfferRelayed(published.Entry{Key: "gone", Era: 1, Revision: 10, Data: []byte("x")})), 0)
}

// Entries of peers were dropped as removed although the service has them, or may have them.
func TestLiveKeyOfPeerIsDroppedAsRemoved(t *testing.T) {
	later := published.Entry{Key: "k", Revision: 51, Data: []byte("x")}
	old := published.Entry{Key: "k", Revision: 10, Data: []byte("x")}
	for name, c := range map[string]struct {
		store *published.Store[string]
		entry published.Entry
	}{
		"written after the listing": {listedStore(at(0, 50)), later},
		"no listing yet":            {newStore(), old},
		"later era":                 {listedStore(at(1, 50)), published.Entry{Key: "k", Era: 2, Revision: 3, Data: []byte("x")}},
		"value with a sequence":     {listedStore(at(1, 50)), published.Entry{Key: "k", Era: 1, Revision: 3, Sequence: 7, Data: []byte("x")}},
	} {
		assert.Check(t, c.store.Lacks("k", c.entry.Version()), name)
		_, wanted := c.store.Newer(newStore().Sums(), map[string]published.Version{"k": c.entry.Version()})
		assert.DeepEqual(t, wanted, []string{"k"})
		assert.Equal(t, len(c.store.OfferRelayed(c.entry)), 1, name)
	}
	began := listedStore(at(1, 50))
	began.Offer(published.Entry{Key: "other", Era: 2, Revision: 1, Data: []byte("x")})
	assert.Equal(t, len(began.OfferRelayed(published.Entry{Key: "k", Era: 1, Revision: 3, Data: []byte("x")})), 1, "no listing of the new era yet")
	behind := listedStore(at(0, 50))
	assert.Equal(t, len(behind.Offer(old)), 1, "the service itself has it, after it was rolled back")
	held := listedStore(at(0, 50), "k")
	assert.Equal(t, len(held.OfferRelayed(old)), 1, "a held key is replaced by a later entry")
}

// The last valid value of a key was dropped as removed because the service had a later one that was not valid.
func TestLastValidValueIsDroppedAsRemoved(t *testing.T) {
	s := published.New(func(_ string, data []byte) (string, error) {
		if string(data) == "bad" {
			return "", errors.New("invalid")
		}
		return string(data), nil
	})
	s.OfferListing(published.Listing{Position: at(0, 50), Entries: []published.Entry{{Key: "k", Revision: 20, Data: []byte("bad")}}})
	s.OfferRelayed(published.Entry{Key: "k", Revision: 10, Data: []byte("good")})
	value, _ := s.Get("k")
	assert.Equal(t, value, "good")
}

// A key was taken from a peer after its removal because its last value had been rejected.
func TestRemovedKeyIsTakenFromPeerAfterInvalidValue(t *testing.T) {
	s := published.New(func(string, []byte) (string, error) { return "", errors.New("invalid") })
	s.OfferListing(published.Listing{Position: at(0, 50), Entries: []published.Entry{{Key: "k", Revision: 20, Data: []byte("x")}}})
	old := published.Entry{Key: "k", Revision: 10, Removed: true}
	assert.Check(t, s.Lacks("k", published.Version{Revision: 30}))
	s.OfferListing(published.Listing{Position: at(0, 60)})
	assert.Check(t, !s.Lacks("k", published.Version{Revision: 30}))
	assert.Equal(t, len(s.OfferRelayed(old)), 0)
	assert.Equal(t, len(s.State(9).Rejected), 0)
}

// A host that still held a removed key took a peer's word that it had everything.
func TestHostWithRemovedKeyCountsAsComplete(t *testing.T) {
	behind, current := listedStore(at(0, 5), "kept", "gone"), listedStore(at(0, 50), "kept")
	compare := func(through published.Position) bool {
		return behind.HoldsRemoved(current.Sums(), current.Differing(behind.Sums()), through)
	}
	assert.Check(t, compare(at(0, 50)))
	assert.Check(t, !compare(at(0, 0)), "the peer has no whole list")
	behind.Offer(published.Entry{Key: "gone", Revision: 6, Removed: true})
	assert.Check(t, !compare(at(0, 50)))
	behind.Offer(published.Entry{Key: "new", Revision: 51, Data: []byte("x")})
	assert.Check(t, !compare(at(0, 50)), "written after the position of the peer")
}

// After as many keys as a store may have had been removed, no new one was taken.
func TestNewKeyIsRejectedAfterManyRemovals(t *testing.T) {
	s, other := newStore(), listedStore(at(0, 1), "kept")
	s.OfferListing(published.Listing{Position: at(0, 1), Entries: []published.Entry{{Key: "kept", Revision: 1, Data: []byte("listed")}}})
	s.TakeChanged()
	revision := uint64(1)
	for i := range published.MaxKeys {
		key := fmt.Sprint("server-", i)
		revision += 2
		s.Offer(published.Entry{Key: key, Revision: revision - 1, Data: []byte("x")}, published.Entry{Key: key, Revision: revision, Removed: true})
		s.Offer(published.Entry{Key: key, Revision: revision, Removed: true})
	}
	added := published.Entry{Key: "new", Revision: revision + 1, Data: []byte("x")}
	assert.Equal(t, len(s.Offer(added)), 0, "tombstones are forgotten before a later position is complete")
	s.TakeChanged()
	s.Complete(at(0, revision+1))
	assert.Equal(t, len(s.Offer(added)), 1)
	assert.Equal(t, len(s.OfferRelayed(published.Entry{Key: "server-7", Revision: 2, Data: []byte("x")})), 0, "a forgotten key is back")
	other.Offer(added)
	assert.Check(t, s.Summary().Same(other.Summary()), "stores with and without tombstones differ")
	assert.Equal(t, len(s.Values()), 2)
}

// A change that its reader had not taken yet was forgotten with its tombstone.
func TestUnreadRemovalIsForgotten(t *testing.T) {
	s := newStore()
	s.TakeChanged()
	s.Offer(published.Entry{Key: "gone", Revision: 1, Removed: true})
	for i := range published.MaxKeys {
		s.Offer(published.Entry{Key: fmt.Sprint(i), Revision: 2, Data: []byte("x")})
	}
	s.Complete(at(0, 9))
	s.Offer(published.Entry{Key: "new", Revision: 10, Data: []byte("x")})
	assert.Check(t, slices.ContainsFunc(s.TakeChanged(), func(c published.Current[string]) bool { return c.Key == "gone" && c.Removed }))
}
