// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets by which two nodes compare their keys.
const Buckets = 64

// MaxKeys is the maximum number of keys of one store.
const MaxKeys = 1 << 16

// Summary is a short digest of a store. Equal summaries mean equal entries in force, except with
// a probability of 1 in 2^64.
type Summary struct {
	// Era is the latest known era of the service. Revision and Through are revisions of it.
	Era uint64 `json:"era,omitempty"`
	// Revision is the highest revision in force; 0 if no entry of the era is in force.
	Revision uint64 `json:"revision"`
	// Sum is the combined hash of all entries in force, without tombstones.
	Sum uint64 `json:"sum"`
	// Through is the revision up to which the store has every key. The store may have keys with
	// higher revisions while it lacks others in between.
	Through uint64 `json:"through"`
}

// Newest returns the highest position in force.
func (s Summary) Newest() Position {
	return Position{Era: s.Era, Revision: s.Revision}
}

// Complete returns the position up to which the store has every key.
func (s Summary) Complete() Position {
	return Position{Era: s.Era, Revision: s.Through}
}

// Same reports whether both stores hold the same entries.
func (s Summary) Same(other Summary) bool {
	return s.Sum == other.Sum
}

// Rejection reports why an entry is not in force.
type Rejection struct {
	Key      string `json:"key"`
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

func (r Rejection) position() Position {
	return Position{Era: r.Era, Revision: r.Revision}
}

// Store holds the entries in force, decoded as V. It is safe for concurrent use.
type Store[V any] struct {
	decode func(key string, data []byte) (V, error)

	mu sync.RWMutex
	// held has the highest valid entry of each key, including tombstones that were not forgotten. An entry is only
	// replaced by a higher one.
	held map[string]heldEntry[V]
	// replaced has the last large entries that were replaced, newest last, at most maxReplaced
	// per key. They are bases for deltas to nodes that still hold them.
	replaced map[string][]Entry
	// rejected has, for each key, the highest invalid entry above the held one.
	rejected map[string]Rejection
	// unreported has the rejections that TakeRejected has not returned yet, at most
	// maxUnreported.
	unreported []Rejection
	// sums has the combined hash of each bucket of held, without tombstones: stores may have forgotten others.
	sums [Buckets]uint64
	// era is the latest known era of the service, and revision the highest revision in force
	// that belongs to it.
	era      uint64
	revision uint64
	// through is the revision of era up to which every key is held. It never decreases within
	// an era.
	through uint64
	// spans are the reported spans that start after through, at most maxSpans.
	spans []span
	// conflicts counts entries with an equal position and different bytes, and outdated those of peers that the
	// service had removed.
	conflicts, outdated int
	// changed is closed and replaced when an entry comes into force.
	changed chan struct{}
	// values is a snapshot of the decoded values, nil when outdated.
	values map[string]V
	// changedKeys has the keys that changed since the last TakeChanged; nil before its first call,
	// which returns all keys.
	changedKeys map[string]struct{}
}

type heldEntry[V any] struct {
	entry   Entry
	version Version
	value   V
}

// New returns an empty store. decode must depend on nothing but its arguments.
func New[V any](decode func(key string, data []byte) (V, error)) *Store[V] {
	return &Store[V]{
		decode:   decode,
		held:     make(map[string]heldEntry[V]),
		replaced: make(map[string][]Entry),
		rejected: make(map[string]Rejection),
		changed:  make(chan struct{}),
	}
}

// Offer merges entries that were read from the service, and returns those that came into force.
func (s *Store[V]) Offer(entries ...Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merge(entries)
}

// merge merges entries and returns those that came into force. The mutex must be held.
func (s *Store[V]) merge(entries []Entry) []Entry {
	var accepted []Entry
	// Merge the newest first. Older entries of a key that changed often are then dropped without
	// being decoded or spread.
	entries = slices.Clone(entries)
	slices.SortStableFunc(entries, func(a, b Entry) int { return b.Position().Compare(a.Position()) })
	for _, e := range entries {
		if s.offer(e) {
			accepted = append(accepted, e)
		}
	}
	if len(accepted) > 0 {
		s.values = nil
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return accepted
}

func (s *Store[V]) offer(e Entry) bool {
	old, ok := s.held[e.Key]
	version := e.Version()
	if e.Era > s.era {
		s.beginEra(e.Era)
	}
	if ok && old.version.Position() == version.Position() && old.version != version {
		s.conflicts++
	}
	if ok && version.Compare(old.version) <= 0 {
		return false
	}
	value, err := s.check(e, ok)
	if err != nil {
		s.reject(e, err)
		return false
	}
	if ok && !old.entry.Removed {
		s.sums[bucketOf(e.Key)] ^= hashOf(e.Key, old.version)
		s.keepReplaced(old)
	}
	if !e.Removed {
		s.sums[bucketOf(e.Key)] ^= hashOf(e.Key, version)
	}
	s.held[e.Key] = heldEntry[V]{entry: e, version: version, value: value}
	if s.changedKeys != nil {
		s.changedKeys[e.Key] = struct{}{}
	}
	if e.Era == s.era {
		s.revision = max(s.revision, e.Revision)
	}
	if r, found := s.rejected[e.Key]; found && r.position().Compare(e.Position()) <= 0 {
		delete(s.rejected, e.Key)
	}
	return true
}

// beginEra starts a new era, of which the store has no complete prefix yet. The mutex must be
// held.
func (s *Store[V]) beginEra(era uint64) {
	s.era, s.revision, s.through, s.spans = era, 0, 0, nil
}

// maxReplaced is the number of replaced entries kept per key: a host may be as many changes
// behind and still be sent a delta.
const maxReplaced = 2

func (s *Store[V]) keepReplaced(old heldEntry[V]) {
	if !old.version.Large() {
		return
	}
	kept := append(s.replaced[old.entry.Key], old.entry)
	s.replaced[old.entry.Key] = slices.Clone(kept[max(len(kept)-maxReplaced, 0):])
}

func (s *Store[V]) check(e Entry, known bool) (V, error) {
	var zero V
	if e.Revision == 0 {
		return zero, fmt.Errorf("published: key %.80q has revision 0", e.Key)
	}
	if len(e.Key) == 0 || len(e.Key) > MaxKeyBytes {
		return zero, fmt.Errorf("published: key of %d bytes, want 1 to %d", len(e.Key), MaxKeyBytes)
	}
	if !known && len(s.held) >= MaxKeys {
		s.forgetRemoved()
	}
	if !known && len(s.held) >= MaxKeys {
		return zero, fmt.Errorf("published: more than %d keys", MaxKeys)
	}
	if e.Removed {
		return zero, nil
	}
	return s.decode(e.Key, e.Data)
}

func (s *Store[V]) reject(e Entry, err error) {
	if len(e.Key) > MaxKeyBytes || len(s.rejected) >= MaxKeys {
		return
	}
	if r, found := s.rejected[e.Key]; found && r.position().Compare(e.Position()) >= 0 {
		return
	}
	r := Rejection{Key: e.Key, Era: e.Era, Revision: e.Revision, Reason: err.Error()}
	s.rejected[e.Key] = r
	if len(s.unreported) < maxUnreported {
		s.unreported = append(s.unreported, r)
	}
}

// maxUnreported bounds the rejections that wait to be logged.
const maxUnreported = 100

// TakeRejected returns the rejections since the last call, for the log.
func (s *Store[V]) TakeRejected() []Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	unreported := s.unreported
	s.unreported = nil
	return unreported
}

// Listing is a full list of the service's keys as of one position.
type Listing struct {
	Position Position
	Entries  []Entry
}

// OfferListing merges a full listing, after which the store has every key up to its position. A held key that is
// not in the listing, and is not newer than the listing, was removed at or before its position, or its last write
// was lost. A listing of an earlier era than the store knows has no effect.
func (s *Store[V]) OfferListing(l Listing) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Position.Era < s.era {
		return nil
	}
	listed := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.Key] = true
	}
	entries := slices.Clone(l.Entries)
	for key, h := range s.held {
		if !listed[key] && !h.entry.Removed && h.entry.Position().Compare(l.Position) < 0 {
			entries = append(entries, Entry{Key: key, Era: l.Position.Era, Revision: l.Position.Revision, Removed: true})
		}
	}
	for key, r := range s.rejected {
		if !listed[key] && r.position().Compare(l.Position) < 0 {
			delete(s.rejected, key)
		}
	}
	accepted := s.merge(entries)
	s.complete(l.Position)
	return accepted
}

// Summary returns the summary of the store.
func (s *Store[V]) Summary() Summary {
	s.mu.RLock()
	defer s.mu.RUnlock()
	sum := Summary{Era: s.era, Revision: s.revision, Through: s.through}
	for _, b := range s.sums {
		sum.Sum ^= b
	}
	return sum
}

// Sums returns the combined hash of each bucket.
func (s *Store[V]) Sums() []uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Clone(s.sums[:])
}

// Differing returns the versions of all keys in the buckets whose hash differs from sums.
func (s *Store[V]) Differing(sums []uint64) map[string]Version {
	s.mu.RLock()
	defer s.mu.RUnlock()
	versions := make(map[string]Version)
	for key, h := range s.held {
		b := bucketOf(key)
		if b >= len(sums) || sums[b] != s.sums[b] {
			versions[key] = h.version
		}
	}
	return versions
}

// Newer compares the store with the versions of a peer in the buckets whose hash differs from
// sums. It returns the held entries that are newer, and the keys of which the peer's are newer.
func (s *Store[V]) Newer(sums []uint64, versions map[string]Version) (newer []Entry, wanted []string) {
	mine := s.Differing(sums)
	for key, v := range versions {
		if own, ok := mine[key]; (!ok || v.Compare(own) > 0) && s.wants(key, v) {
			wanted = append(wanted, key)
		}
	}
	for key, v := range mine {
		if theirs, ok := versions[key]; !ok || v.Compare(theirs) > 0 {
			newer = append(newer, s.Entries(key)...)
		}
	}
	return newer, wanted
}

// Lacks reports whether version of key is newer than the held and the rejected entry, and the key not known to be
// removed.
func (s *Store[V]) Lacks(key string, version Version) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if h, ok := s.held[key]; ok && h.version.Compare(version) >= 0 || s.knowsRemoved(key, version) {
		return false
	}
	r, refused := s.rejected[key]
	return !refused || r.position().Compare(version.Position()) < 0
}

// wants reports whether a version of a peer may come into force.
func (s *Store[V]) wants(key string, version Version) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if h, ok := s.held[key]; ok {
		return version.Compare(h.version) > 0
	}
	return !s.knowsRemoved(key, version)
}

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

func hashOf(key string, v Version) uint64 {
	b := make([]byte, 0, len(key)+24)
	b = append(b, key...)
	if v.Era > 0 {
		b = binary.BigEndian.AppendUint64(b, v.Era)
	}
	b = binary.BigEndian.AppendUint64(b, v.Revision)
	b = binary.BigEndian.AppendUint64(b, v.Digest)
	return xxhash.Sum64(b)
}
