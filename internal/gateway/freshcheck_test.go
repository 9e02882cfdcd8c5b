// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/gateway"
)

// A caller that asked during a run got its result, though the run had begun before.
func TestOlderRunOfCheckCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		c := gateway.NewFreshCheck(t.Context(), func(context.Context) int {
			time.Sleep(100 * time.Millisecond)
			runs++
			return runs
		})
		var all sync.WaitGroup
		for i := range 40 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				asked := time.Now()
				got := c.Result(t.Context(), asked)
				assert.Check(t, time.Since(asked) >= 100*time.Millisecond, "caller %d got run %d after %v", i, got, time.Since(asked))
				assert.Check(t, time.Since(asked) <= 220*time.Millisecond, "caller %d got run %d after %v", i, got, time.Since(asked))
			})
		}
		all.Wait()
		assert.Check(t, runs <= 6, "%d runs", runs)
	})
}

// Callers waited for a run of their own although one that failed had ended after they asked.
func TestFailedRunOfCheckIsRepeatedForEachCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := gateway.NewFreshCheck(t.Context(), func(context.Context) int {
			time.Sleep(200 * time.Millisecond)
			return 0
		})
		var all sync.WaitGroup
		for i := range 40 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 25 * time.Millisecond)
				asked := time.Now()
				assert.Check(t, c.Result(t.Context(), asked) == 0)
				assert.Check(t, time.Since(asked) <= 220*time.Millisecond, "caller %d waited %v", i, time.Since(asked))
			})
		}
		all.Wait()
	})
}
