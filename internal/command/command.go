// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package command implements the wingvale command-line tool.
package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"github.com/alecthomas/kong"

	"github.com/wingvale/wingvale/verdict"
)

// Exit codes of the wingvale command.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitNotRun  = 3
	ExitUnknown = 4
)

// Version is the release version. It can be overridden at link time.
var Version = "0.1.0"

// arguments declares the commands and flags that kong parses.
type arguments struct {
	Check   checkCommand   `cmd:"" help:"Check settings files and published values without starting anything."`
	Request requestCommand `cmd:"" help:"Send one request and print its answer as it comes."`
	Entries entriesCommand `cmd:"" help:"Ask a node which addresses callers should use."`
	Dump    dumpCommand    `cmd:"" help:"Print the state of a node, read from its peer address."`
	Load    loadCommand    `cmd:"" help:"Offer requests at a rate; print attainment, latency and cost by stage."`
	Standin standinCommand `cmd:"" help:"Serve stand-ins of a site's platform and backend servers on loopback."`
	Soak    soakCommand    `cmd:"" help:"Run real daemons on loopback, inject faults from outside, and check the invariants."`
	Explain explainCommand `cmd:"" help:"Trace a request through the logs of hosts: which host decided what, on which state, and why the request ended as it did."`
	Demo    demoCommand    `cmd:"" help:"Run both example sites in this process, with a stop and a failure under load."`
	Version versionCommand `cmd:"" help:"Print the release."`

	SoakServer soakServerCommand `cmd:"" hidden:"" help:"Run the connections of a backend server as a process of its own; for soak."`
	KnownRed   knownRedCommand   `cmd:"" hidden:"" help:"Check the events of go test -json against the list of tests known to fail; for .ci/run."`
}

// output holds the writers for standard output and standard error of a command.
type output struct {
	out io.Writer
	err io.Writer
}

// exitPanic carries an exit code out of the parser. Main panics with it where kong would
// end the process, for example after printing the help.
type exitPanic int

// Main runs the command that args name and returns its exit code.
func Main(args []string, out, errOut io.Writer) (code int) {
	defer func() {
		r := recover()
		if e, ok := r.(exitPanic); ok {
			code = int(e)
		} else if r != nil {
			panic(r)
		}
	}()
	var a arguments
	parser, err := kong.New(&a,
		kong.Name("wingvale"),
		kong.Description("Operates and calls wingvale.\n\nExit codes: 0 done, 1 failed, 2 bad usage or settings, 3 the request did not run, 4 it may have run."),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
		kong.UsageOnError(),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "wingvale:", err)
		return ExitUsage
	}
	if err := ctx.Run(&output{out: out, err: errOut}); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitCode(err)
	}
	return ExitDone
}

var errUsage = errors.New("bad usage or settings")

func exitCode(err error) int {
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		return ExitFailed
	}
	if e.Verdict == verdict.NotRun {
		return ExitNotRun
	}
	return ExitUnknown
}

const (
	outputJSON = "json"
)

// format is the --output flag, which several commands embed.
type format struct {
	Output string `enum:"text,json" default:"text" help:"text for people, json for machines."`
}

func (f format) json() bool {
	return f.Output == outputJSON
}

func (o *output) printJSON(v any) error {
	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (o *output) printf(text string, args ...any) {
	_, _ = fmt.Fprintf(o.out, text, args...)
}

// parseAddresses parses IP addresses with ports. Its error wraps errUsage.
func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	list := make([]netip.AddrPort, 0, len(texts))
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, fmt.Errorf("%w: %q: want an IP address and a port, such as 10.0.0.1:7000", errUsage, t)
		}
		list = append(list, a)
	}
	return list, nil
}

type versionCommand struct{}

// Run prints the release version.
func (versionCommand) Run(o *output) error {
	o.printf("wingvale %s\n", Version)
	return nil
}
