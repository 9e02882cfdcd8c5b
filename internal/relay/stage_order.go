// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"errors"
	"fmt"
	"slices"

	"github.com/wingvale/wingvale/verdict"
)

// ReasonLeftOut means that the request leaves out all stages that one of its others needs results of.
const ReasonLeftOut verdict.Reason = "stages_left_out"

var errStageCycle = errors.New("relay: stages come after each other in a cycle")

// CheckStages returns an error unless each stage comes after existing ones and none comes after itself, also by
// way of others. Stages may be listed in any order.
func CheckStages(stages []Stage) error {
	for i, stage := range stages {
		for _, before := range stage.After {
			if before < 0 || before >= len(stages) {
				return fmt.Errorf("relay: stage %d comes after stage %d, which does not exist", i, before)
			}
		}
	}
	if len(orderStages(stages)) < len(stages) {
		return errStageCycle
	}
	return nil
}

// orderStages returns the stages in an order in which each follows all that it comes after. Of those that may
// come next, the first in the list does. Stages of a cycle, and those after them, are missing.
func orderStages(stages []Stage) []int {
	order := make([]int, 0, len(stages))
	ordered := make([]bool, len(stages))
	for range stages {
		for i, stage := range stages {
			if !ordered[i] && allOf(ordered, stage.After) {
				ordered[i] = true
				order = append(order, i)
				break
			}
		}
	}
	return order
}

// allOf reports whether the flags at all indexes are set.
func allOf(flags []bool, indexes []int) bool {
	for _, i := range indexes {
		if !flags[i] {
			return false
		}
	}
	return true
}

// stageInputs returns, for each stage, the stages with pieces whose results it needs. In place of a stage that the
// request leaves out, these are the ones that it comes after. The order is that of orderStages.
func (j *job) stageInputs(order []int) [][]int {
	after := make([][]int, len(j.route.Stages))
	for _, i := range order {
		for _, before := range j.route.Stages[i].After {
			needed := []int{before}
			if j.pieceCount(before) == 0 {
				needed = after[before]
			}
			for _, n := range needed {
				if !slices.Contains(after[i], n) {
					after[i] = append(after[i], n)
				}
			}
		}
	}
	return after
}

// checkLeftOut refuses a request at once if one of its stages needs results and would get none, because the request
// leaves out all stages before it.
func (j *job) checkLeftOut() error {
	if !j.leavesStagesOut() {
		return nil
	}
	for i, after := range j.stageInputs(orderStages(j.route.Stages)) {
		if j.pieceCount(i) > 0 && len(after) == 0 && len(j.route.Stages[i].After) > 0 {
			return verdict.New(verdict.NotRun, ReasonLeftOut, "relay: stage %d needs results, and the request leaves out all stages before it", i)
		}
	}
	return nil
}

// leavesStagesOut reports whether a stage has no pieces.
func (j *job) leavesStagesOut() bool {
	for i := range j.route.Stages {
		if j.pieceCount(i) == 0 {
			return true
		}
	}
	return false
}
