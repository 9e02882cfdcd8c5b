// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published

import (
	"maps"
	"slices"
)

// Position returns the position of key in force, the zero position if there is none.
func (s *Store[V]) Position(key string) Position {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.held[key].entry.Position()
}

// Get returns the value of key in force.
func (s *Store[V]) Get(key string) (V, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.held[key]
	if !ok || h.entry.Removed {
		var zero V
		return zero, false
	}
	return h.value, true
}

// Values returns all values in force. The map is shared and must not be modified.
func (s *Store[V]) Values() map[string]V {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = make(map[string]V, len(s.held))
		for key, h := range s.held {
			if !h.entry.Removed {
				s.values[key] = h.value
			}
		}
	}
	return s.values
}

// Current is the state of a key in force.
type Current[V any] struct {
	Key      string
	Position Position
	// Removed reports that the key has no value.
	Removed bool
	Value   V
}

// TakeChanged returns the current state of the keys that changed since the last call, in order,
// and of all keys at the first call. It supports a single reader.
func (s *Store[V]) TakeChanged() []Current[V] {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	if s.changedKeys == nil {
		keys = slices.Collect(maps.Keys(s.held))
	} else {
		keys = slices.Collect(maps.Keys(s.changedKeys))
	}
	s.changedKeys = make(map[string]struct{})
	slices.Sort(keys)
	changed := make([]Current[V], 0, len(keys))
	for _, key := range keys {
		h := s.held[key]
		changed = append(changed, Current[V]{Key: key, Position: h.entry.Position(), Removed: h.entry.Removed, Value: h.value})
	}
	return changed
}

// Changed returns a channel that is closed at the next change.
func (s *Store[V]) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Entry returns the held entry of key, which may be a tombstone.
func (s *Store[V]) Entry(key string) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.held[key]
	return h.entry, ok
}

// EntryOf returns the entry of key with the given version, which may be one that was replaced
// recently.
func (s *Store[V]) EntryOf(key string, version Version) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if h, ok := s.held[key]; ok && h.version.Compare(version) == 0 {
		return h.entry, true
	}
	for _, e := range s.replaced[key] {
		if e.Version().Compare(version) == 0 {
			return e, true
		}
	}
	return Entry{}, false
}

// Entries returns the held entries of keys, including tombstones.
func (s *Store[V]) Entries(keys ...string) []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entries := make([]Entry, 0, len(keys))
	for _, key := range keys {
		if h, ok := s.held[key]; ok {
			entries = append(entries, h.entry)
		}
	}
	return entries
}

// InBuckets returns the held entries of some buckets, including tombstones.
func (s *Store[V]) InBuckets(buckets []int) map[int][]Entry {
	entries := make(map[int][]Entry, len(buckets))
	if len(buckets) == 0 {
		return entries
	}
	for _, b := range buckets {
		entries[b] = nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for key, h := range s.held {
		b := bucketOf(key)
		if _, wanted := entries[b]; wanted {
			entries[b] = append(entries[b], h.entry)
		}
	}
	return entries
}

// State is the debug dump of a store.
type State struct {
	Summary   Summary           `json:"summary"`
	Keys      int               `json:"keys"`
	Revisions map[string]uint64 `json:"revisions"`
	Rejected  []Rejection       `json:"rejected,omitempty"`
	Conflicts int               `json:"conflicts"`
	// Outdated counts the entries of peers that were not taken because the service had removed them.
	Outdated int `json:"outdated"`
}

// State returns a dump of at most limit keys, in order.
func (s *Store[V]) State(limit int) State {
	state := State{Summary: s.Summary(), Revisions: make(map[string]uint64)}
	s.mu.RLock()
	defer s.mu.RUnlock()
	state.Keys = len(s.held)
	state.Conflicts, state.Outdated = s.conflicts, s.outdated
	for _, key := range slices.Sorted(maps.Keys(s.held)) {
		if len(state.Revisions) == limit {
			break
		}
		state.Revisions[key] = s.held[key].entry.Revision
	}
	for _, key := range slices.Sorted(maps.Keys(s.rejected)) {
		if len(state.Rejected) == limit {
			break
		}
		state.Rejected = append(state.Rejected, s.rejected[key])
	}
	return state
}
