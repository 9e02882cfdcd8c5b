// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package boot reads a clock that also advances while the host is suspended.
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the host booted, including suspensions. It returns 0 if the
// system has no such clock.
func Clock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
