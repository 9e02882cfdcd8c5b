// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package estimate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/estimate"
)

func TestEstimateFollowsSamplesAndDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := estimate.New()
		assert.Equal(t, table.Estimate("k"), estimate.Estimate{}, "there are no samples yet")
		for range 50 {
			table.Add("k", 100*time.Millisecond)
		}
		assert.Equal(t, table.Estimate("k").Mean, 100*time.Millisecond)
		for range 50 {
			table.Add("k", time.Second)
		}
		slow := table.Estimate("k")
		assert.Assert(t, slow.Mean > 900*time.Millisecond, "got %v", slow.Mean)
		assert.Assert(t, slow.Low < 500*time.Millisecond, "got %v", slow.Low)
		time.Sleep(6 * time.Second)
		decayed := table.Estimate("k")
		assert.Assert(t, decayed.Mean < slow.Mean/2, "got %v: the cause of slow calls may have passed", decayed.Mean)
		assert.Equal(t, decayed.Typical, slow.Typical, "a time-out must not decay")
	})
}

// A node had called only one server of a kind, a slow one. It still refused all work of the
// kind 25 s after that server had recovered.
func TestEstimateOfOneSlowServerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := estimate.New()
		for range 5 {
			table.Add("k", 4*time.Second)
		}
		time.Sleep(25 * time.Second)
		assert.Assert(t, table.Estimate("k").Mean < time.Second, "got %v", table.Estimate("k").Mean)
		// The next sample must not bring the decayed value back (seeds 1346 and 784).
		table.Add("k", 300*time.Millisecond)
		e := table.Estimate("k")
		assert.Assert(t, e.Mean < 1500*time.Millisecond, "got %v", e.Mean)
		// Nor may it return as a deviation from the decayed value (seed 7).
		assert.Assert(t, e.Spread < 300*time.Millisecond, "got %v", e.Spread)
		for range 3 {
			table.Add("k", 300*time.Millisecond)
		}
		assert.Assert(t, table.Estimate("k").Mean < 900*time.Millisecond, "got %v", table.Estimate("k").Mean)
	})
}
