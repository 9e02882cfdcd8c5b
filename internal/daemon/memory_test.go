// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package daemon_test

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/daemon"
	"github.com/wingvale/wingvale/internal/settings"
)

func TestMemoryLimitFollowsSettings(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	daemon.LimitMemory(settings.Gateway{})
	assert.Equal(t, debug.SetMemoryLimit(-1), before, "no limit is set")
	daemon.LimitMemory(settings.Gateway{MemoryMB: 200})
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(140<<20))
}
