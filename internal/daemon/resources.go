// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/wingvale/wingvale/internal/settings"
)

// maxOpenFiles is the largest number of descriptors that is made use of.
const maxOpenFiles = 1 << 20

// cgroupMemory is the file with the limit of memory of the process's control group.
const cgroupMemory = "/sys/fs/cgroup/memory.max"

// withResources returns settings in which the resources that they don't state are those of the machine.
func withResources(s settings.Gateway) settings.Gateway {
	if s.MemoryMB == 0 {
		s.MemoryMB = float64(availableMemory()) / bytesPerMegabyte
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && (s.OpenFiles == 0 || files.Cur < uint64(s.OpenFiles)) {
		s.OpenFiles = int(min(files.Cur, maxOpenFiles))
	}
	return s
}

// availableMemory returns the memory of the control group or the machine in bytes; 0 if neither is known.
func availableMemory() uint64 {
	var memory uint64
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		memory = info.Totalram * uint64(info.Unit)
	}
	text, err := os.ReadFile(cgroupMemory)
	if err != nil {
		return memory
	}
	// The text is "max" without a limit.
	if limit, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err == nil && (memory == 0 || limit < memory) {
		memory = limit
	}
	return memory
}
