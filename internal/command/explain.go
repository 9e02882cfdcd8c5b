// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/wingvale/wingvale/internal/explain"
)

// sinceLayout is the layout of --since, a time of day.
const sinceLayout = "15:04:05"

type explainCommand struct {
	Outcome string   `help:"Only requests with this outcome, such as refused or cut." placeholder:"NAME"`
	Since   string   `help:"Only requests that ended at or after this time of day." placeholder:"HH:MM:SS"`
	Slowest int      `default:"3" help:"How many requests to explain, the slowest first."`
	Summary bool     `help:"Instead of single requests, sum up how requests ended and where the time of late ones went, by route, workspace, zone and pool. All arguments are log files."`
	Args    []string `arg:"" name:"[id] file" help:"The id of a request, and log files of as many hosts as possible. Without an id, the flags select the requests."`
}

// Run reads the logs and prints the trace of each selected request.
func (c explainCommand) Run(o *output) error {
	filter, err := c.filter()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.Summary {
		return c.printSummary(o, filter)
	}
	id, files := c.splitArgs()
	if len(files) == 0 {
		return fmt.Errorf("%w: no log file given", errUsage)
	}
	logs, err := readLogs(files)
	if err != nil {
		return err
	}
	if logs.Unparsed > 0 {
		o.printf("%d lines could not be read\n", logs.Unparsed)
	}
	requests := []string{id}
	if id == "" {
		requests = logs.Requests(filter)
	}
	if len(requests) == 0 {
		return errors.New("no request in these logs matches")
	}
	for _, id := range requests {
		trace, err := logs.RequestTrace(id)
		if err != nil {
			return err
		}
		if err := trace.Write(o.out); err != nil {
			return err
		}
	}
	return nil
}

// printSummary reads the logs one after another and prints their summary.
func (c explainCommand) printSummary(o *output, filter explain.Filter) error {
	if filter.Outcome != "" {
		return fmt.Errorf("%w: --summary counts all outcomes; it does not go with --outcome", errUsage)
	}
	summary := explain.NewSummary(filter.Since)
	for _, path := range c.Args {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		err = summary.Read(file)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return summary.Write(o.out)
}

// splitArgs separates the request id from the log files. The first argument is an id unless
// a file of that name exists.
func (c explainCommand) splitArgs() (id string, files []string) {
	if _, err := os.Stat(c.Args[0]); errors.Is(err, fs.ErrNotExist) {
		return c.Args[0], c.Args[1:]
	}
	return "", c.Args
}

// filter returns the filter that the flags describe, or an error for a bad flag.
func (c explainCommand) filter() (explain.Filter, error) {
	if c.Slowest < 1 {
		return explain.Filter{}, fmt.Errorf("--slowest %d: want at least 1", c.Slowest)
	}
	f := explain.Filter{Outcome: c.Outcome, MaxRequests: c.Slowest}
	if c.Since == "" {
		return f, nil
	}
	since, err := time.Parse(sinceLayout, c.Since)
	if err != nil {
		return explain.Filter{}, fmt.Errorf("--since %q: want HH:MM:SS", c.Since)
	}
	f.Since = since
	return f, nil
}

// readLogs reads one log file per host.
func readLogs(paths []string) (*explain.Logs, error) {
	logs := &explain.Logs{}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, unread, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		logs.Add(lines, unread)
	}
	return logs, nil
}
