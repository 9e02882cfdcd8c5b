// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package boot_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/boot"
)

func TestClockIsAvailableAndMonotonic(t *testing.T) {
	before := boot.Clock()
	assert.Assert(t, before > 0)
	for range 1000 {
		now := boot.Clock()
		assert.Assert(t, now >= before)
		before = now
	}
}
