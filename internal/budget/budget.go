// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package budget limits retries to a share of first attempts, so that a fault does not
// multiply the load that caused it.
package budget

import "sync"

const (
	// Share is the fraction of a retry that each first attempt earns.
	Share = 0.15
	// Reserve is how many retries a node may make at once after a quiet period.
	Reserve = 10
)

// Budget is a token bucket for retries. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is between 0 and Reserve.
	tokens float64
}

// New returns a full Budget.
func New() *Budget {
	return &Budget{tokens: Reserve}
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+Share, Reserve)
}

// TakeRetry takes one retry from the budget. It reports false if none is available.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns how many retries are available.
func (b *Budget) Available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
