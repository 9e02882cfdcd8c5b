// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package choose_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/choose"
)

func candidates(n int) []choose.Candidate {
	list := make([]choose.Candidate, n)
	for i := range list {
		list[i] = choose.Candidate{Limit: 4, Slots: 4, Slowdown: 1, SameZone: true, Usable: true}
	}
	return list
}

func TestPoliciesChooseOnlyUsableServersBelowLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	costs := choose.Costs{Work: 100 * time.Millisecond, CrossZoneTime: time.Millisecond, CacheMissTime: 20 * time.Millisecond}
	for name, policy := range map[string]choose.Policy{"least time": choose.LeastTime, "least in flight": choose.LeastInFlight, "random": choose.Random} {
		for _, n := range []int{1, 3, 40, 250} {
			list := candidates(n)
			for i := range list {
				list[i].Usable = i == n/2
			}
			assert.Equal(t, policy(list, costs, random), n/2, "%s of %d", name, n)
			list[n/2].InFlight = 4
			assert.Equal(t, policy(list, costs, random), -1, "%s of %d, none below its limit", name, n)
		}
		assert.Equal(t, policy(nil, costs, random), -1, "%s of none", name)
	}
}

func TestLeastTimeWeighsPreferencesAsTime(t *testing.T) {
	costs := choose.Costs{Work: 100 * time.Millisecond, CrossZoneTime: 5 * time.Millisecond, CacheMissTime: 20 * time.Millisecond}
	cases := []struct {
		name   string
		change func(a, b *choose.Candidate)
		want   int
	}{
		{"near before far", func(a, _ *choose.Candidate) { a.SameZone = false }, 1},
		{"warm before cold", func(_, b *choose.Candidate) { b.HasPrefix = true }, 1},
		{"idle and far before busy and near", func(a, b *choose.Candidate) { b.SameZone, a.InFlight = false, 2 }, 1},
		{"busy and warm loses to idle", func(a, _ *choose.Candidate) { a.HasPrefix, a.InFlight = true, 2 }, 1},
		{"slow loses", func(a, _ *choose.Candidate) { a.Slowdown = 3 }, 1},
		{"a fresh report counts", func(a, _ *choose.Candidate) { a.Reported = 4 }, 1},
		{"an old report does not outweigh a zone", func(a, b *choose.Candidate) { a.Reported, a.Age, b.SameZone = 4, 10*time.Second, false }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := candidates(2)
			c.change(&list[0], &list[1])
			for seed := range uint64(8) {
				assert.Equal(t, choose.LeastTime(list, costs, rand.New(rand.NewPCG(seed, 1))), c.want)
			}
		})
	}
}

func TestNodesWithTheSameReportDoNotHerd(t *testing.T) {
	// 100 nodes see the same 50 servers, one of which looks idle.
	list := candidates(50)
	for i := range list {
		list[i].Reported = 3
	}
	list[7].Reported = 0
	chosen := 0
	for seed := range uint64(100) {
		if choose.LeastTime(list, choose.Costs{Work: time.Second}, rand.New(rand.NewPCG(seed, 1))) == 7 {
			chosen++
		}
	}
	assert.Assert(t, chosen < 20, "got %d of 100 nodes at one server, want fewer than 20", chosen)
}

func BenchmarkLeastTime250(b *testing.B) {
	list := candidates(250)
	random := rand.New(rand.NewPCG(1, 1))
	costs := choose.Costs{Work: time.Second, CrossZoneTime: time.Millisecond, CacheMissTime: time.Millisecond}
	b.ReportAllocs()
	for b.Loop() {
		choose.LeastTime(list, costs, random)
	}
}
