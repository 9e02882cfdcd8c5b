// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Wingvale is the command-line tool of wingvale for operators and callers.
package main

import (
	"os"

	"github.com/wingvale/wingvale/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
