// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package queue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/queue"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func item(workspace string, weight int, slack, cost time.Duration) queue.Item {
	return queue.Item{Workspace: workspace, Weight: weight, Latest: start.Add(slack), Cost: cost}
}

func drain(q *queue.Queue[string], interactiveOnly bool) []string {
	var out []string
	for {
		v, ok := q.Pop(interactiveOnly)
		if !ok {
			return out
		}
		out = append(out, v)
	}
}

func TestLeastSlackGoesFirstWithinShare(t *testing.T) {
	q := queue.New[string](queue.FairSlack)
	q.Push("late", item("a", 1, 3*time.Second, time.Millisecond))
	q.Push("soon", item("b", 1, time.Second, time.Millisecond))
	q.Push("middle", item("a", 1, 2*time.Second, time.Millisecond))
	assert.DeepEqual(t, drain(q, false), []string{"soon", "middle", "late"})
	assert.Equal(t, q.Work(), time.Duration(0))
}

func TestBusyWorkspaceCannotStarveOthers(t *testing.T) {
	q := queue.New[string](queue.FairSlack)
	for range 200 {
		q.Push("flood", item("large", 1, time.Second, 100*time.Millisecond))
	}
	for range 10 {
		q.Push("other", item("small", 1, 2*time.Second, 100*time.Millisecond))
	}
	others := 0
	for range 24 {
		v, _ := q.Pop(false)
		if v == "other" {
			others++
		}
	}
	assert.Equal(t, others, 10, "small must get its half share although the flood has less slack")
}

func TestSharesFollowWeights(t *testing.T) {
	q := queue.New[string](queue.FairSlack)
	for range 400 {
		q.Push("three", item("three", 3, time.Second, 100*time.Millisecond))
		q.Push("one", item("one", 1, time.Second, 100*time.Millisecond))
	}
	three := 0
	for range 200 {
		if v, _ := q.Pop(false); v == "three" {
			three++
		}
	}
	assert.Assert(t, three >= 140 && three <= 160, "got %d of 200, want about 150", three)
}

func TestBackgroundWorkYieldsToInteractive(t *testing.T) {
	q := queue.New[string](queue.FairSlack)
	patient := item("a", 1, time.Hour, time.Second)
	patient.Background = true
	q.Push("patient", patient)
	q.Push("urgent", item("b", 1, 2*time.Hour, time.Second))
	assert.DeepEqual(t, drain(q, true), []string{"urgent"})
	assert.DeepEqual(t, drain(q, false), []string{"patient"})
}

func TestArrivalPolicyIgnoresShares(t *testing.T) {
	q := queue.New[string](queue.Arrival)
	q.Push("1", item("a", 1, time.Hour, time.Second))
	q.Push("2", item("b", 100, time.Second, time.Second))
	q.Push("3", item("a", 1, time.Minute, time.Second))
	assert.DeepEqual(t, drain(q, false), []string{"1", "2", "3"})
}
