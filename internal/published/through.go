// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package published

import (
	"slices"
)

// Complete notes that the store has every key up to a revision: the service
// said so, or a peer that holds the same.
func (s *Store[V]) Complete(through uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.through = max(s.through, through)
	s.join()
}

// spansMost bounds the spans that wait for what came before them.
const spansMost = 64

// span is that all changes after one revision through another are held.
type span struct {
	after, through uint64
}

// Covered notes that the store has all changes after one revision through another. Where
// it lacks some before them, that counts once it has these.
func (s *Store[V]) Covered(after, through uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if through > s.through {
		s.spans = append(s.spans, span{after: after, through: through})
	}
	s.join()
	s.spans = s.spans[max(len(s.spans)-spansMost, 0):]
}

// join raises through by the spans that begin at it or before. The mutex must be held.
func (s *Store[V]) join() {
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
