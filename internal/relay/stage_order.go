// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"errors"
	"fmt"
)

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
