// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/health"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSlownessDecays(t *testing.T) {
	var r health.Record
	assert.Equal(t, r.Ratio(start), 1.0)
	for range 20 {
		r.RecordOutcome(start, 5, false)
	}
	assert.Assert(t, r.Ratio(start) > 4)
	assert.Assert(t, r.Ratio(start.Add(3*time.Second)) < 3.1)
	assert.Assert(t, r.Ratio(start.Add(time.Minute)) < 1.01)
}

func TestFailuresRaiseCostAndEject(t *testing.T) {
	var r health.Record
	assert.Equal(t, r.PenalizedCost(start, 1), 1.0)
	r.RecordOutcome(start, 0, true)
	assert.Assert(t, !r.Ejected(start), "one failure may be chance")
	assert.Assert(t, r.PenalizedCost(start, 1) > 1.5)
	r.RecordOutcome(start, 0, true)
	assert.Assert(t, r.Ejected(start))
	now := start.Add(time.Second)
	assert.Assert(t, !r.Ejected(now), "it is tried again")
	for range 20 {
		r.RecordOutcome(now, 0, true)
	}
	assert.Assert(t, r.Ejected(now.Add(3*time.Second)) && !r.Ejected(now.Add(5*time.Second)))
	r.RecordOutcome(now.Add(5*time.Second), 1, false)
	assert.Equal(t, r.Failures(), 0)
}
