// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"sync"

	"github.com/wingvale/wingvale/internal/publisher"
)

// readStatus tracks which of the publisher's spaces are answered. It is safe for concurrent
// use.
type readStatus struct {
	mu sync.Mutex
	// answered has the last result for each space that was requested.
	answered map[publisher.Space]bool
}

func newReadStatus() *readStatus {
	return &readStatus{answered: make(map[publisher.Space]bool)}
}

// set records whether a space is answered, and reports whether all spaces are.
func (r *readStatus) set(space publisher.Space, answered bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[space] = answered
	for space := range peerSpaces {
		if !r.answered[space] {
			return false
		}
	}
	return true
}

// isAnswered reports whether a space is answered.
func (r *readStatus) isAnswered(space publisher.Space) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered[space]
}
