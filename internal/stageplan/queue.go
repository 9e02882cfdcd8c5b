// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"time"
)

// dueSteps are how soon work is due, from now, that a Queue has waits for; the
// last stands for all that is due later.
var dueSteps = [...]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond,
	1700 * time.Millisecond, 2300 * time.Millisecond, 3000 * time.Millisecond, math.MaxInt64,
}

// Queue has how long new work waits that is due within each of dueSteps. Work
// that is due sooner goes first, so it waits less; the waits never fall.
type Queue [len(dueSteps)]time.Duration

// Before returns how long new work waits that is due in so long.
func (q Queue) Before(due time.Duration) time.Duration {
	return q[stepOf(due)]
}

// stepOf returns which of dueSteps work is due within.
func stepOf(due time.Duration) int {
	for i, step := range dueSteps {
		if due <= step {
			return i
		}
	}
	return len(dueSteps) - 1
}

// Longest returns how long work waits that is due last.
func (q Queue) Longest() time.Duration {
	return q[len(q)-1]
}
