// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Wingvaled is the wingvale daemon. The same program runs on every entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/wingvale/wingvale/internal/daemon"
	"github.com/wingvale/wingvale/internal/settings"
	"github.com/wingvale/wingvale/platform"
)

// Exit codes of the daemon.
const (
	exitFailed   = 1
	exitSettings = 2
)

// arguments declares the commands and flags that kong parses.
type arguments struct {
	Run      runCommand      `cmd:"" default:"withargs" help:"Run one entry host with the interface of wingvale."`
	Platform platformCommand `cmd:"" help:"Run one entry host on the users' platform."`
}

type runCommand struct {
	Settings string `arg:"" type:"path" help:"The node's settings, an INI file."`
}

type platformCommand struct {
	Settings    string        `arg:"" optional:"" type:"path" help:"The node's settings, an INI file; by default at the path that the platform gives."`
	ClockOffset time.Duration `help:"Offset added to the node's wall clock; for tests of clock skew."`
}

// settingsError marks an error in the settings, which has its own exit code.
type settingsError struct{ error }

// Run runs the daemon until it is stopped.
func (c *runCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return settingsError{err}
	}
	return daemon.Run(s, os.Stderr)
}

// Run runs the daemon on the users' platform until it is stopped.
func (c *platformCommand) Run() error {
	path := c.Settings
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			return settingsError{err}
		}
	}
	s, err := settings.LoadGateway(path)
	if err != nil {
		return settingsError{err}
	}
	s.ClockOffset = c.ClockOffset
	return daemon.RunGateway(path, s, os.Stdout)
}

func main() {
	var a arguments
	ctx := kong.Parse(&a, kong.Name("wingvaled"), kong.Description("Runs one wingvale entry host until it is told to stop."))
	err := ctx.Run()
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var invalidSettings settingsError
	if errors.As(err, &invalidSettings) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}
