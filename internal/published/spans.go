// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published

import (
	"slices"
)

// Complete records that the store has every key up to a position, as confirmed by the service or
// by a peer that holds the same entries. A position in an earlier era than the store knows has no
// effect.
func (s *Store[V]) Complete(through Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete(through)
}

// complete is Complete for callers that hold the mutex.
func (s *Store[V]) complete(through Position) {
	if through.Era > s.era {
		s.beginEra(through.Era)
	}
	if through.Era < s.era {
		return
	}
	s.through = max(s.through, through.Revision)
	s.mergeSpans()
}

// maxSpans bounds the spans that wait for earlier changes.
const maxSpans = 64

// span records that all changes after one revision up to another are held.
type span struct {
	after, through uint64
}

// Covered records that the store has all changes of an era after revision after up to revision
// through. If it lacks earlier changes, the span takes effect once it has those. It has no effect
// in an earlier era than the store knows.
func (s *Store[V]) Covered(era, after, through uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era > s.era {
		s.beginEra(era)
	}
	if era < s.era {
		return
	}
	if through > s.through {
		s.spans = append(s.spans, span{after: after, through: through})
	}
	s.mergeSpans()
	s.spans = s.spans[max(len(s.spans)-maxSpans, 0):]
}

// mergeSpans advances through by the spans that start at or before it. The mutex must be held.
func (s *Store[V]) mergeSpans() {
	for before := len(s.spans) + 1; len(s.spans) < before; {
		before = len(s.spans)
		s.spans = slices.DeleteFunc(s.spans, func(p span) bool {
			if p.after > s.through {
				return false
			}
			s.through = max(s.through, p.through)
			return true
		})
	}
}
