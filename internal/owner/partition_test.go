// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/owner"
)

func TestDividedFindsItemsAfterGrowthAndShrinking(t *testing.T) {
	d := owner.NewPartitionedMap[string, int](24, xxhash.Sum64String)
	name := func(i int) string { return fmt.Sprintf("server-%d", i) }
	for i := range 500 {
		d.Put(name(i), i)
	}
	assert.Assert(t, d.Repartition())
	assert.Assert(t, !d.Repartition())
	assert.Equal(t, d.Parts(), 21)
	for i := range 470 {
		d.Remove(name(i))
	}
	d.Repartition()
	assert.Equal(t, d.Len(), 30)
	assert.Equal(t, d.Parts(), 2)
	for i := 470; i < 500; i++ {
		assert.Equal(t, d.Part(d.PartOf(name(i)))[name(i)], i)
	}
	assert.Equal(t, len(d.Part(2)), 0)
}

// With a hash modulo the number of parts, one server more or less across a boundary gave
// nearly all prompts another owner and another home.
func TestAdditionalPartMovesOnlyItsShare(t *testing.T) {
	for _, parts := range []int{3, 36, 72} {
		moved := 0
		const keys = 2000
		for k := range uint64(keys) {
			hash := xxhash.Sum64String(fmt.Sprint(k))
			before, after := owner.Part(hash, parts), owner.Part(hash, parts+1)
			if before == after {
				continue
			}
			moved++
			assert.Equal(t, after, parts, "keys move only to the new part")
		}
		assert.Assert(t, moved < 2*keys/(parts+1), "%d of %d keys moved, %d parts", moved, keys, parts)
	}
}

func BenchmarkPart(b *testing.B) {
	for _, parts := range []int{8, 36, 72} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			for i := range b.N {
				owner.Part(uint64(i), parts)
			}
		})
	}
}
