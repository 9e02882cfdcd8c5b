// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package campaign_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/campaign"
)

var (
	from        = flag.Uint64("from", 1, "the first seed")
	count       = flag.Uint64("count", 12, "how many seeds")
	only        = flag.String("only", "", "the one kind of fault to make")
	nodes       = flag.Int("nodes", 9, "how many entry hosts")
	printCounts = flag.Bool("tell", false, "print how often each fault and recovery path happened")
)

// totals sums up the counts in the reports of all seeds.
type totals struct {
	mu       sync.Mutex
	faults   map[string]int
	paths    map[string]int64
	outcomes map[string]int
}

func (s *totals) addReport(r campaign.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, n := range r.Faults {
		s.faults[k] += n
	}
	for k, n := range r.Paths {
		s.paths[k] += n
	}
	for k, n := range r.Outcomes {
		s.outcomes[k] += n
	}
}

// TestEachFaultAlone injects each kind of fault alone, so that no check is skipped because of other
// faults.
func TestEachFaultAlone(t *testing.T) {
	for _, kind := range campaign.FaultKinds() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r, err := campaign.Run(t.Context(), campaign.Options{Seed: 1, Nodes: 5, Duration: 16 * time.Second, OnlyKind: kind})
				assert.NilError(t, err)
				for _, b := range r.Breaches {
					t.Errorf("%s: %s", kind, b)
				}
				assert.Assert(t, r.Faults[kind] > 0, "got no %q, want some", kind)
			})
		})
	}
}

func TestSeeds(t *testing.T) {
	sums := &totals{faults: make(map[string]int), paths: make(map[string]int64), outcomes: make(map[string]int)}
	t.Run("seeds", func(t *testing.T) {
		for seed := *from; seed < *from+*count; seed++ {
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					r, err := campaign.Run(t.Context(), campaign.Options{Seed: seed, Nodes: *nodes, Duration: 30 * time.Second, OnlyKind: *only})
					assert.NilError(t, err)
					for _, b := range r.Breaches {
						t.Errorf("seed %d: %s", seed, b)
					}
					sums.addReport(r)
				})
			})
		}
	})
	if *printCounts {
		logCounts(t, "fault", sums.faults)
		logCounts(t, "path", sums.paths)
		logCounts(t, "outcome", sums.outcomes)
	}
}

func logCounts[N int | int64](t *testing.T, kind string, counts map[string]N) {
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%s %s: %d", kind, k, counts[k])
	}
}
