// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/relay"
)

func TestUpperBoundsFollowLongestDuration(t *testing.T) {
	s := relay.NewDurationTracker()
	_, _, ok := s.UpperBounds("r", 1)
	assert.Assert(t, !ok)
	s.Add("r", 1, time.Second, 600*time.Millisecond, 0)
	doubted, _, ok := s.UpperBounds("r", 1)
	assert.Assert(t, ok)
	assert.Assert(t, doubted > 3*time.Second, "one says little: %v", doubted)
	for range 99 {
		s.Add("r", 1, 500*time.Millisecond, 300*time.Millisecond, 0)
	}
	arrived, sent, _ := s.UpperBounds("r", 1)
	assert.Assert(t, arrived > 1200*time.Millisecond && arrived < 2*time.Second, "%v", arrived)
	assert.Assert(t, sent > 720*time.Millisecond && sent < arrived, "%v", sent)
	_, _, ok = s.UpperBounds("other", 1)
	assert.Assert(t, !ok)
}

// A draining host used to accept streams based on the longest ones recorded recently. Few
// streams are as long as they may be, so it cut off longer ones, 250 ms before the end of
// its grace period.
func TestUpperBoundsCoverMaximumEvents(t *testing.T) {
	s := relay.NewDurationTracker()
	for range 100 {
		s.Add("r", 30, 500*time.Millisecond, 300*time.Millisecond, 750*time.Millisecond)
	}
	_, sent, _ := s.UpperBounds("r", 100)
	assert.Assert(t, sent > 2800*time.Millisecond, "%v", sent)
	_, unknown, _ := s.UpperBounds("r", 0)
	assert.Assert(t, unknown > time.Second && unknown < 2*time.Second, "%v", unknown)
}

func TestLongDurationExpiresAfterTwoWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := relay.NewDurationTracker()
		s.Add("r", 1, 5*time.Second, time.Second, 0)
		for range 65 {
			time.Sleep(time.Second)
			s.Add("r", 1, 100*time.Millisecond, 50*time.Millisecond, 0)
		}
		arrived, _, _ := s.UpperBounds("r", 1)
		assert.Assert(t, arrived < time.Second, "%v", arrived)
	})
}
