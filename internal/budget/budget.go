// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package budget keeps retries to a share of first tries, so that a fault does
// not multiply the load that caused it.
package budget

import "sync"

const (
	// Share is how much of a retry each first try earns.
	Share = 0.15
	// Reserve is how many retries a quiet node may make at once.
	Reserve = 10
)

// Budget is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is between 0 and Reserve.
	tokens float64
}

// New returns a full budget.
func New() *Budget {
	return &Budget{tokens: Reserve}
}

// First notes a first try.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+Share, Reserve)
}

// Retry takes one retry and reports whether there was one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many retries are left.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
