// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

// This file handles a pool at the end of a chain that gets more work than it can do for longer
// than the objective of the requests. If it does its work in the order of arrival, a standing queue
// makes all of it late, although the pool could do most of it in time.

// MaxDeferredInputs is the size in bytes of a task's inputs up to which a load-aware pool defers late tasks.
// Deferred tasks keep their inputs in the memory of the pool before. With inputs of this size,
// servers of a few megabytes hold those of the seconds that a queue lasts.
const MaxDeferredInputs = 1 << 20

// holdsMemory reports whether results occupy so much memory at other servers while a task waits
// that it must not be deferred.
func (s *Scheduler) holdsMemory(t *Task) bool {
	limit := int64(largeDataBytes)
	if s.spec.LoadAware {
		limit = MaxDeferredInputs
	}
	return t.HoldsOtherResults || t.InputBytes >= limit
}
