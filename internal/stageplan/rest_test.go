// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stageplan"
)

// rests has the rest time of each server.
type rests map[string]time.Duration

func (r rests) remaining(instance string) time.Duration { return r[instance] }

// A server that refuses a call and asks for rest must get no calls for that time, and the next
// one as soon as it is over.
func TestRestingServersGetNoWork(t *testing.T) {
	one, two := server(1, "a"), server(2, "a")
	r := rests{one.Instance: time.Second}
	s := newRestingScheduler(spec, r.remaining, one, two)
	s.Add(start, work("x", 1))
	assert.Equal(t, next(t, s, start).Server().Instance, two.Instance)
	s.Add(start, work("y", 1))
	_, ok := s.Next(start)
	assert.Assert(t, !ok, "one server is busy, the other is resting")
	delete(r, one.Instance)
	assert.Equal(t, next(t, s, start).Server().Instance, one.Instance, "as soon as its rest is over")
}

// All servers are resting: tasks that can still be done afterwards wait, the rest fail
// immediately.
func TestWorkDueBeforeRestEndsFailsImmediately(t *testing.T) {
	one, two := server(1, "a"), server(2, "a")
	r := rests{one.Instance: 3 * time.Second, two.Instance: 2 * time.Second}
	s := newRestingScheduler(spec, r.remaining, one, two)
	short, long := work("short", 1), work("long", 1)
	short.Deadline = start.Add(2 * time.Second)
	long.Deadline = start.Add(8 * time.Second)
	shortTask, longTask := s.Add(start, short), s.Add(start, long)
	_, ok := s.Next(start)
	assert.Assert(t, !ok)
	failure, ended := shortTask.Ended()
	assert.Assert(t, ended && failure == stageplan.FailureResting, "%q", failure)
	_, ended = longTask.Ended()
	assert.Assert(t, !ended)
	assert.Equal(t, s.QueueWaits(start).Longest(), 2*time.Second)
	delete(r, two.Instance)
	assert.DeepEqual(t, requests(next(t, s, start)), []string{"long"})
}

// One server is leaving and the other rests for long: the leaving one is no reason to wait.
func TestLeavingServersAreIgnoredForRest(t *testing.T) {
	one, two := server(1, "a"), server(2, "a")
	one.Leaving = true
	r := rests{two.Instance: 20 * time.Second}
	s := newRestingScheduler(spec, r.remaining, one, two)
	task := s.Add(start, work("x", 1))
	s.Next(start)
	failure, ended := task.Ended()
	assert.Assert(t, ended && failure == stageplan.FailureResting, "%q", failure)
}
