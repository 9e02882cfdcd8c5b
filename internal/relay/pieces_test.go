// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// A host planned any number of pieces that a request stated, and ended by its memory.
func TestAnyNumberOfPiecesIsPlanned(t *testing.T) {
	const most = stageplan.MaxPieces
	for _, pieces := range [][]int{{most + 1}, {1, most}, {most, 0, 1}, {20_000_000}, {math.MaxInt, math.MaxInt}, {1, math.MaxInt}, {-1}, {5, -1}} {
		_, err := relay.CountPieces(pieces)
		assert.Check(t, err != nil, fmt.Sprint(pieces))
	}
	for _, c := range []struct {
		pieces []int
		total  int
	}{{nil, 0}, {[]int{0}, 0}, {[]int{6, 1, 8, 40}, 55}, {[]int{most}, most}, {[]int{0, most - 1, 1}, most}} {
		total, err := relay.CountPieces(c.pieces)
		assert.NilError(t, err, fmt.Sprint(c.pieces))
		assert.Equal(t, total, c.total)
	}
}
