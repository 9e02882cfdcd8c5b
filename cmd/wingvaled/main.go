// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Wingvaled is the daemon of wingvale, the same on every entry host.
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

const (
	exitFailed   = 1
	exitSettings = 2
)

type arguments struct {
	Run      runCommand      `cmd:"" default:"withargs" help:"Run one entry host with its own interface."`
	Platform platformCommand `cmd:"" help:"Run one entry host on the users' platform."`
}

type runCommand struct {
	Settings string `arg:"" type:"path" help:"The node's settings, an INI file."`
}

type platformCommand struct {
	Settings    string        `arg:"" optional:"" type:"path" help:"The node's settings, an INI file; by default where the platform puts them."`
	ClockOffset time.Duration `help:"Added to the time of day that the node reads; for tests of clocks that are wrong."`
}

// settingsError is what is wrong with settings.
type settingsError struct{ error }

// Run runs the daemon.
func (c *runCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return settingsError{err}
	}
	return daemon.Run(s, os.Stderr)
}

// Run runs the daemon on the platform.
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
	var wrong settingsError
	if errors.As(err, &wrong) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}
