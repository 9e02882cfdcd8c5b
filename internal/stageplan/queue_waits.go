// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"time"
)

// dueSteps are the upper bounds of the time until work is due for which QueueWaits has values. The
// last one covers all work that is due later.
var dueSteps = [...]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond,
	1700 * time.Millisecond, 2300 * time.Millisecond, 3000 * time.Millisecond, math.MaxInt64,
}

// QueueWaits is the expected wait of new work in a pool's queue, by the time until the work is
// due. Work that is due sooner is served first, so the waits never decrease.
type QueueWaits [len(dueSteps)]time.Duration

// ForDue returns how long new work waits that is due within the given time.
func (q QueueWaits) ForDue(due time.Duration) time.Duration {
	return q[stepIndex(due)]
}

// stepIndex returns the index of the step of dueSteps that a time until due falls into.
func stepIndex(due time.Duration) int {
	for i, step := range dueSteps {
		if due <= step {
			return i
		}
	}
	return len(dueSteps) - 1
}

// Longest returns how long work waits that is due last.
func (q QueueWaits) Longest() time.Duration {
	return q[len(q)-1]
}
