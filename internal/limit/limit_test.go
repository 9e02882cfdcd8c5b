// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/limit"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func sample(change func(s *limit.Sample)) limit.Sample {
	s := limit.Sample{Now: start, Work: 100 * time.Millisecond, Low: 90 * time.Millisecond, Mean: 100 * time.Millisecond, Running: 4, Slots: 4, Busy: true, Total: 4}
	change(&s)
	return s
}

func TestLimitFollowsSample(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *limit.Sample)
		// want is 1 if the limit must rise, -1 if it must fall, and 0 if it must stay.
		want int
	}{
		{"a busy node grows", func(*limit.Sample) {}, 1},
		{"one that has enough does not", func(s *limit.Sample) { s.Busy = false }, 0},
		{"a refusal cuts", func(s *limit.Sample) { s.Refused = true }, -1},
		{"a queue at most servers cuts", func(s *limit.Sample) { s.Waiting, s.Work, s.Pressure = 3, 200*time.Millisecond, 0.9 }, -1},
		{"a queue at one server does not", func(s *limit.Sample) { s.Waiting, s.Work, s.Pressure = 3, 200*time.Millisecond, 0.1 }, 0},
		{"an old report of a queue does not, if the call was quick", func(s *limit.Sample) { s.Waiting, s.Pressure = 3, 0.9 }, 1},
		{"without reports, time tells", func(s *limit.Sample) { s.Slots, s.Work, s.Pressure = 0, 400*time.Millisecond, 0.9 }, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := limit.New(limit.Options{Initial: 2})
			l.Add(sample(c.change))
			got := 0
			switch {
			case l.Value() > 2:
				got = 1
			case l.Value() < 2:
				got = -1
			}
			assert.Equal(t, got, c.want, "got %.2f", l.Value())
		})
	}
}

func TestLimitDecreasesOncePerCallTime(t *testing.T) {
	l := limit.New(limit.Options{Initial: 10})
	for range 20 {
		l.Add(sample(func(s *limit.Sample) { s.Refused = true }))
	}
	assert.Equal(t, l.Value(), 8.5)
	l.Add(sample(func(s *limit.Sample) { s.Refused, s.Now = true, start.Add(time.Second) }))
	assert.Assert(t, l.Value() < 8.5)
}

func TestLimitGrowsFasterForIdleServer(t *testing.T) {
	busy, idle := limit.New(limit.Options{}), limit.New(limit.Options{})
	busy.Add(sample(func(*limit.Sample) {}))
	idle.Add(sample(func(s *limit.Sample) { s.Running = 0 }))
	assert.Assert(t, idle.Value() > busy.Value()+0.5, "got %.2f and %.2f", idle.Value(), busy.Value())
}

func TestResizeStartsAtShareOfSlots(t *testing.T) {
	l := limit.New(limit.Options{})
	l.Resize(4, 9)
	assert.Assert(t, l.Value() > 0.6 && l.Value() < 0.7, "got %.2f, want 1.5 times 4/9", l.Value())
	for i := range 100 {
		l.Add(sample(func(s *limit.Sample) { s.Refused, s.Now = true, start.Add(time.Duration(i)*time.Second) }))
	}
	assert.Equal(t, l.Value(), limit.DefaultMin)
}
