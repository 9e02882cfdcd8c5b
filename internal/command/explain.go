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

// sinceForm is how the time of day is given.
const sinceForm = "15:04:05"

type explainCommand struct {
	Outcome string   `help:"Requests that ended so, as refused or cut." placeholder:"NAME"`
	Since   string   `help:"Requests that ended from this time of day on." placeholder:"HH:MM:SS"`
	Slowest int      `default:"3" help:"How many, those that took longest."`
	Args    []string `arg:"" name:"[id] file" help:"The id of a request, and logs of hosts, the more the better. Without an id: requests that the flags choose."`
}

// Run reads the logs and prints the way of each request that is asked for.
func (c explainCommand) Run(o *output) error {
	filter, err := c.filter()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	id, files := c.split()
	if len(files) == 0 {
		return fmt.Errorf("%w: no log of a host is given", errUsage)
	}
	logs, err := readLogs(files)
	if err != nil {
		return err
	}
	if logs.Unread > 0 {
		o.printf("%d lines could not be read\n", logs.Unread)
	}
	requests := []string{id}
	if id == "" {
		requests = logs.Requests(filter)
	}
	if len(requests) == 0 {
		return errors.New("no request in these logs ended so")
	}
	for _, id := range requests {
		story, err := logs.Of(id)
		if err != nil {
			return err
		}
		if err := story.Write(o.out); err != nil {
			return err
		}
	}
	return nil
}

// split tells the id of a request from files: the first argument is one unless a file has
// that name.
func (c explainCommand) split() (id string, files []string) {
	if _, err := os.Stat(c.Args[0]); errors.Is(err, fs.ErrNotExist) {
		return c.Args[0], c.Args[1:]
	}
	return "", c.Args
}

// filter checks what is asked for.
func (c explainCommand) filter() (explain.Filter, error) {
	if c.Slowest < 1 {
		return explain.Filter{}, fmt.Errorf("--slowest %d: want 1 and more", c.Slowest)
	}
	f := explain.Filter{Outcome: c.Outcome, Slowest: c.Slowest}
	if c.Since == "" {
		return f, nil
	}
	since, err := time.Parse(sinceForm, c.Since)
	if err != nil {
		return explain.Filter{}, fmt.Errorf("--since %q: want HH:MM:SS", c.Since)
	}
	f.Since = since
	return f, nil
}

// readLogs reads files of lines.
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
