// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/verdict"
)

func TestSplitterReturnsCompleteEvents(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\nid: 3\ndata: half"
	for size := 1; size <= len(stream); size++ {
		var s relay.Splitter
		var got strings.Builder
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			got.WriteString(s.Add(rest[:n]))
			rest = rest[n:]
		}
		assert.Equal(t, got.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\n", "in parts of %d", size)
		assert.Equal(t, s.Last(), "2")
		assert.Equal(t, s.Rest(), "id: 3\ndata: half")
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2", 3)
	f.Fuzz(func(t *testing.T, stream string, size int) {
		var s relay.Splitter
		var got strings.Builder
		for rest := stream; rest != ""; {
			n := min(max(size, 1), len(rest))
			got.WriteString(s.Add(rest[:n]))
			rest = rest[n:]
		}
		if got.String()+s.Rest() != stream {
			t.Fatalf("%q became %q and %q", stream, got.String(), s.Rest())
		}
	})
}

// In any window, the retries of all hosts together stay within the share of the requests
// plus the reserve.
func TestRetriesOfAllHostsStayWithinBudget(t *testing.T) {
	checkRetriesOfAllHosts(t, 0, 1)
}

// Hosts spent their part of the reserve anew after each start.
func TestRetriesOfRestartedHostsExceedBudget(t *testing.T) {
	checkRetriesOfAllHosts(t, 3*time.Second, 10)
}

// checkRetriesOfAllHosts checks in each window how many retries hosts take which all start again each time
// that restartAfter has passed; 0 means never. They get requests on each tick whose number requestsEvery divides.
func checkRetriesOfAllHosts(t *testing.T, restartAfter time.Duration, requestsEvery int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const (
			hosts   = 9
			share   = 0.2
			reserve = 58.0
			window  = 10 * time.Second
			tick    = 50 * time.Millisecond
		)
		all := make([]relay.RetryBudget, hosts)
		start := func() {
			for i := range all {
				all[i] = relay.NewRetryBudget(share, reserve, window, hosts)
			}
		}
		start()
		startedAt := time.Now()
		var requests, taken []int
		for step := range 1200 {
			if restartAfter > 0 && time.Since(startedAt) >= restartAfter {
				start()
				startedAt = time.Now()
			}
			count, perHost := 0, 0
			if step%requestsEvery == 0 {
				perHost = step % 3
			}
			for _, r := range all {
				for range perHost {
					r.RecordRequest()
				}
				for r.TryTake() {
					count++
				}
			}
			requests, taken = append(requests, hosts*perHost), append(taken, count)
			time.Sleep(tick)
		}
		span := int(window / tick)
		for from := range len(taken) - span {
			asked, again := 0, 0
			for i := from; i < from+span; i++ {
				asked += requests[i]
				again += taken[i]
			}
			assert.Assert(t, float64(again) <= share*float64(asked)+reserve, "%d retries for %d requests", again, asked)
			assert.Assert(t, float64(again) >= share*float64(asked)/2, "%d retries for %d requests", again, asked)
		}
	})
}

// Two goroutines of a node may each set a configuration; the later call may have the older
// one.
// Retries that were taken and not used were lost, and requests that no server had run took the last one.
func TestUnusedRetriesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := relay.NewRetryBudget(0, 40, time.Hour, 1)
		small := relay.NewRetryBudget(0, 1, time.Hour, 10)
		assert.Check(t, b.TryTake())
		assert.Check(t, !b.TryTake(), "a host has more than one retry at its start")
		time.Sleep(30 * time.Hour)
		taken := 0
		for b.TryTakeSpare() {
			taken++
		}
		assert.Equal(t, taken, 13)
		assert.Check(t, b.TryTake(), "no retry is left for a request that may have run")
		assert.Check(t, !b.TryTake())
		b.GiveBack()
		assert.Check(t, b.TryTake())
		assert.Check(t, !b.TryTake())
		// With one retry at a time, requests that no server has run may take it.
		assert.Check(t, small.TryTakeSpare())
		assert.Check(t, !small.TryTake())
	})
}

func TestSetCatalogIgnoresOlderVersions(t *testing.T) {
	c := relay.New(relay.Options{Hosts: func() int { return 1 }, SinceBoot: steady, Random: rand.New(rand.NewPCG(1, 1))})
	c.SetCatalog(relay.NewCatalog(6, nil, nil, nil, relay.Limits{}))
	c.SetCatalog(relay.NewCatalog(4, nil, nil, nil, relay.Limits{}))
	assert.Equal(t, c.Catalog().Version, uint64(6))
	c.SetCatalog(relay.NewCatalog(7, nil, nil, nil, relay.Limits{}))
	assert.Equal(t, c.Catalog().Version, uint64(7))
}

func TestTargetsArePickedByWeight(t *testing.T) {
	r := relay.Route{Targets: []relay.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	assert.Equal(t, relay.PickTarget(r, 0), "a")
	assert.Equal(t, relay.PickTarget(r, 0.89), "a")
	assert.Equal(t, relay.PickTarget(r, 0.95), "b")
	assert.Equal(t, relay.PickTarget(r, 0.9999), "b")
}

func TestReturningCallersAreRecognizedByRemainingTime(t *testing.T) {
	c := relay.New(relay.Options{Hosts: func() int { return 1 }, SinceBoot: steady, Random: rand.New(rand.NewPCG(1, 1))})
	r := &relay.Route{Name: "r", Timeout: 10 * time.Second}
	assert.Assert(t, relay.IsFirstAttempt(c, r, 10*time.Second))
	assert.Assert(t, relay.IsFirstAttempt(c, r, 9*time.Second))
	assert.Assert(t, !relay.IsFirstAttempt(c, r, 7*time.Second))
	shorter := &relay.Route{Name: "r", Timeout: 5 * time.Second}
	assert.Assert(t, relay.IsFirstAttempt(c, shorter, 5*time.Second), "the route's time was shortened")
	assert.Assert(t, !relay.IsFirstAttempt(c, shorter, 3*time.Second))
}

// During a burst of 25 % over the capacity of the stages, callers that retried after a
// refusal were treated as new ones. Their objective was counted from the retry, so they
// were scheduled before requests that could still be in time. Only 868 of 1,351 requests
// were in time; 479 callers were treated that way.
func TestReturningCallersKeepFirstObjective(t *testing.T) {
	c := relay.New(relay.Options{Hosts: func() int { return 1 }, SinceBoot: steady, Random: rand.New(rand.NewPCG(1, 1))})
	r := &relay.Route{Name: "r", Timeout: 10 * time.Second, Objective: 2 * time.Second}
	assert.Equal(t, relay.Objective(c, r, 10*time.Second), 2*time.Second)
	assert.Equal(t, relay.Objective(c, r, 7*time.Second), -time.Second, "3 s have passed")
	assert.Equal(t, relay.Objective(c, r, 9*time.Second), 2*time.Second)
	assert.Equal(t, relay.Objective(c, r, 3*time.Second), 2*time.Second, "the caller has a shorter time limit of its own")
}

// The time to refusal used to be recorded for all reasons together.
func TestRefusalTimesAreRecordedByReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		log := logrus.New()
		log.SetOutput(io.Discard)
		c := relay.New(relay.Options{Hosts: func() int { return 1 }, SinceBoot: steady, Random: rand.New(rand.NewPCG(1, 1)), Log: log, Scope: scope})
		err := c.Serve(t.Context(), &relay.Request{Arrived: time.Now()}, nil)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		count := int64(0)
		for _, h := range scope.Snapshot().Histograms() {
			if h.Name() == "refusal_seconds" && h.Tags()["reason"] == "not_ready" {
				for _, n := range h.Durations() {
					count += n
				}
			}
		}
		assert.Equal(t, count, int64(1))
	})
}

// steady is the clock of a host that is never suspended.
func steady() time.Duration { return time.Since(start) }

var start = time.Now()

// A host that was suspended for 4 s used to tell a server that the caller still waited for
// 5 s.
func TestRemainingTimeCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		began := time.Now()
		c := relay.New(relay.Options{
			Hosts: func() int { return 1 }, Random: rand.New(rand.NewPCG(1, 1)),
			SinceBoot: func() time.Duration { return time.Since(began) + suspended },
		})
		assert.Equal(t, relay.Remaining(c, 5*time.Second, func() { suspended = 4 * time.Second }), time.Second)
		assert.Equal(t, relay.Remaining(c, 5*time.Second, func() { time.Sleep(time.Second) }), 4*time.Second)
	})
}

// Guards against the load model being used by deployments whose engines have many slots.
func TestHasFewSlotEngines(t *testing.T) {
	for slots, want := range map[int]bool{0: false, 1: true, 12: true, 16: true, 17: false, 64: false} {
		services := []relay.Service{{Name: "plain"}, {Name: "engine", Engine: &relay.Engine{Slots: slots}}}
		catalog := relay.NewCatalog(1, nil, services, nil, relay.Limits{})
		assert.Equal(t, catalog.HasFewSlotEngines(), want, "%d slots", slots)
	}
}
