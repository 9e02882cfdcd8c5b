// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/admit"
)

func TestRefusalShareGrowsWithWait(t *testing.T) {
	for _, c := range []struct {
		waits time.Duration
		want  float64
	}{{0, 0}, {500 * time.Millisecond, 0}, {700 * time.Millisecond, 0.5}, {time.Second, 0.85}, {time.Minute, 0.85}} {
		got := admit.RefusalShare(c.waits, time.Second)
		assert.Assert(t, got > c.want-1e-9 && got < c.want+1e-9, "wait of %v with a slack of 1 s: got %v, want %v", c.waits, got, c.want)
	}
}

func TestOnlyRequestsOfSeveralStagesMayBeRefused(t *testing.T) {
	r := admit.Request{TimeLeft: time.Second, Objective: time.Second, Idle: 400 * time.Millisecond, Depth: 1}
	assert.Assert(t, !r.MayRefuse())
	r.Depth = 2
	assert.Assert(t, r.MayRefuse())
	r.Idle = 2 * time.Second
	assert.Assert(t, !r.MayRefuse(), "it would be late even with idle pools")
}

func TestSlackHasAMinimum(t *testing.T) {
	r := admit.Request{TimeLeft: time.Second, Objective: time.Second, Idle: 400 * time.Millisecond, Delay: 100 * time.Millisecond}
	assert.Equal(t, r.Slack(), 500*time.Millisecond)
	r.Delay = time.Minute
	assert.Equal(t, r.Slack(), 100*time.Millisecond)
}
