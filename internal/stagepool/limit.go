// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"sync"

	"github.com/wingvale/wingvale/internal/stageplan"
)

const (
	// maxHeldPieces is the most pieces that the pools of one host hold for all hosts together.
	maxHeldPieces = 64 * stageplan.MaxPieces
	// smallWork is the number of pieces up to which work may take the last quarter of them, so that large work can't
	// keep ordinary work out.
	smallWork = 64
)

// pieceLimit bounds the pieces that the pools of a host hold. The zero value holds none.
type pieceLimit struct {
	mu sync.Mutex
	// held is at most maxHeldPieces.
	held int
}

// take reports whether a host may hold the pieces of some work. If so, put must be called.
func (l *pieceLimit) take(pieces int) bool {
	limit := maxHeldPieces
	if pieces > smallWork {
		limit -= maxHeldPieces / 4
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held+pieces > limit {
		return false
	}
	l.held += pieces
	return true
}

// put gives pieces back.
func (l *pieceLimit) put(pieces int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held -= pieces
}

// count returns the number of pieces that are held.
func (l *pieceLimit) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}
