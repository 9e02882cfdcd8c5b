// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// randomStages returns stages of a random graph, listed in random order.
func randomStages(random *rand.Rand) []relay.Stage {
	position := random.Perm(1 + random.IntN(6))
	stages := make([]relay.Stage, len(position))
	for i, at := range position {
		for _, before := range position[:i] {
			if random.IntN(3) == 0 {
				stages[at].After = append(stages[at].After, before)
			}
		}
	}
	return stages
}

// longestChain returns the number of stages of the longest chain from a stage to the end.
func longestChain(stages []relay.Stage, from int) int {
	longest := 0
	for i, stage := range stages {
		for _, before := range stage.After {
			if before == from {
				longest = max(longest, longestChain(stages, i))
			}
		}
	}
	return longest + 1
}

// Chains of stages counted as shorter than they are if a stage was listed before one that it comes after, so that
// requests were taken which could not be served in time.
func TestChainsAreMeasuredByOrderOfTheList(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 10000 {
		stages := randomStages(random)
		assert.NilError(t, relay.CheckStages(stages))
		depths := relay.StageDepths(&relay.Route{Stages: stages})
		for i, depth := range depths {
			assert.Equal(t, depth, longestChain(stages, i), "%+v", stages)
		}
	}
}

// Stages listed before the ones that they come after were not announced to their pools.
func TestLoadsOfReorderedStagesAreNotAnnounced(t *testing.T) {
	reversed := &relay.Route{Stages: []relay.Stage{{Service: "c", After: []int{1}}, {Service: "b", After: []int{2}}, {Service: "a"}}}
	assert.DeepEqual(t, relay.NextLoads(reversed, 2, 16, 8, 1), []stageplan.Load{{Service: "b", Pieces: 8}, {Service: "c", Pieces: 16}})
}

func TestCheckStagesRejectsCyclesAndUnknownStages(t *testing.T) {
	for _, stages := range [][]relay.Stage{
		{{After: []int{0}}}, {{After: []int{1}}}, {{After: []int{-1}}}, {{After: []int{1}}, {After: []int{0}}},
		{{After: []int{2}}, {After: []int{0}}, {After: []int{1}}, {}},
	} {
		assert.Assert(t, relay.CheckStages(stages) != nil, "%+v", stages)
	}
}

// neededBy returns the stages with pieces whose results a stage needs, by recursion.
func neededBy(stages []relay.Stage, pieces []int, stage int) map[int]bool {
	needed := make(map[int]bool)
	for _, before := range stages[stage].After {
		if pieces[before] > 0 {
			needed[before] = true
			continue
		}
		maps.Copy(needed, neededBy(stages, pieces, before))
	}
	return needed
}

// What came after a stage that a request left out got no inputs, and a request without its last stage was never
// served.
func TestStageAfterLeftOutOneGetsNoInputs(t *testing.T) {
	const graphs = 100000
	random := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for range graphs {
		stages := randomStages(random)
		pieces := make([]int, len(stages))
		for i := range pieces {
			pieces[i] = random.IntN(3)
		}
		after, last, served := relay.StageInputs(&relay.Route{Stages: stages}, pieces)
		wantServed, wantLast := true, make(map[int]bool)
		for i := range stages {
			wantLast[i] = pieces[i] > 0
		}
		for i, stage := range stages {
			if pieces[i] == 0 {
				continue
			}
			needed := neededBy(stages, pieces, i)
			wantServed = wantServed && (len(needed) > 0 || len(stage.After) == 0)
			for before := range needed {
				wantLast[before] = false
			}
			if served {
				assert.Equal(t, len(after[i]), len(needed), "stage %d of %+v with pieces %v", i, stages, pieces)
				for _, before := range after[i] {
					assert.Assert(t, needed[before], "stage %d of %+v with pieces %v", i, stages, pieces)
				}
			}
		}
		assert.Equal(t, served, wantServed, "%+v with pieces %v", stages, pieces)
		if !served {
			refused++
			continue
		}
		for i := range stages {
			assert.Equal(t, slices.Contains(last, i), wantLast[i], "stage %d of %+v with pieces %v", i, stages, pieces)
		}
	}
	assert.Assert(t, refused > graphs/100 && refused < graphs/2, "%d refused", refused)
}
