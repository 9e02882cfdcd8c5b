// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Wingvaled is the daemon of wingvale, the same on every entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/wingvale/wingvale/internal/daemon"
	"github.com/wingvale/wingvale/internal/settings"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

type arguments struct {
	Settings string `arg:"" type:"path" help:"The node's settings, an INI file."`
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("wingvaled"), kong.Description("Runs one wingvale entry host until it is told to stop."))
	s, err := settings.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if err := daemon.Run(s, os.Stderr); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
