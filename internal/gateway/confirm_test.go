// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/gateway"
)

// Guards against a host that asks the publisher every few milliseconds while it refuses connections,
// and against one that notices its return late.
func TestFailedConfirmationIsNotRepeatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		returnsAt := start.Add(950 * time.Millisecond)
		var checks atomic.Int32
		confirm := gateway.NewSharedCheck(t.Context(), func() time.Duration { return time.Since(start) }, func(context.Context) bool {
			checks.Add(1)
			time.Sleep(3 * time.Millisecond)
			return !time.Now().Before(returnsAt)
		})
		var callers sync.WaitGroup
		var mu sync.Mutex
		var confirmedAt time.Time
		for range 300 {
			callers.Go(func() {
				began := time.Now()
				ok := confirm(t.Context())
				assert.Check(t, time.Since(began) < 200*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if ok && confirmedAt.IsZero() {
					confirmedAt = time.Now()
				}
			})
			time.Sleep(4 * time.Millisecond)
		}
		callers.Wait()
		assert.Check(t, checks.Load() <= 12, "%d checks in 1.2 s", checks.Load())
		assert.Check(t, confirmedAt.Sub(returnsAt) <= 150*time.Millisecond, "confirmed %v after the publisher's return", confirmedAt.Sub(returnsAt))
	})
}
