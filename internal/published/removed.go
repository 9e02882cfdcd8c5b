// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published

// OfferRelayed merges entries that a peer holds, and returns those that came into force. The peer may not know yet
// that the service has removed a key. If the store has every key up to some position, and does not hold this one, an
// earlier entry of it was removed.
func (s *Store[V]) OfferRelayed(entries ...Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make([]Entry, 0, len(entries))
	for _, e := range entries {
		if s.knowsRemoved(e.Key, e.Version()) {
			s.outdated++
			continue
		}
		current = append(current, e)
	}
	return s.merge(current)
}

// knowsRemoved reports whether the service has removed an entry of a key that is not held. Rejected entries are not
// held either, but their keys exist. The mutex must be held.
func (s *Store[V]) knowsRemoved(key string, version Version) bool {
	if _, ok := s.held[key]; ok {
		return false
	}
	if _, ok := s.rejected[key]; ok {
		return false
	}
	return impliesRemoved(Position{Era: s.era, Revision: s.through}, version)
}

// impliesRemoved reports whether the service has removed a version, given that a store which has every key up to a
// position lacks its key. Values with a sequence stay in force even if the service has lost them.
func impliesRemoved(through Position, version Version) bool {
	return through.Revision > 0 && version.Sequence == 0 && version.Position().Compare(through) < 0
}

// HoldsRemoved reports whether the store has entries in force that a peer, which has every key up to a position, does
// not hold, so that the service has removed them. versions are those of the peer in the buckets whose hash differs
// from sums.
func (s *Store[V]) HoldsRemoved(sums []uint64, versions map[string]Version, through Position) bool {
	for key, own := range s.Differing(sums) {
		if _, ok := versions[key]; ok || !impliesRemoved(through, own) {
			continue
		}
		if e, ok := s.Entry(key); ok && !e.Removed {
			return true
		}
	}
	return false
}

// forgetRemoved forgets the tombstones of keys that are known to be removed without them. The mutex must be held.
func (s *Store[V]) forgetRemoved() {
	through := Position{Era: s.era, Revision: s.through}
	for key, h := range s.held {
		if _, unread := s.changedKeys[key]; h.entry.Removed && !unread && impliesRemoved(through, h.version) {
			delete(s.held, key)
			delete(s.replaced, key)
		}
	}
}
