// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/wingvale/wingvale/internal/knownred"
)

type knownRedCommand struct {
	List   string `help:"The list of tests known to fail; an absent file is an empty list." default:"KNOWN-RED.txt" type:"path"`
	Events string `help:"The file with the events; - reads standard input." default:"-"`
}

// Run checks the events of go test -json against the list and prints the result.
func (c *knownRedCommand) Run(o *output) error {
	list, err := c.readList()
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errUsage, c.List, err)
	}
	events, err := c.openEvents()
	if err != nil {
		return err
	}
	defer func() { _ = events.Close() }()
	r, err := knownred.Judge(list, events, o.out)
	if err != nil {
		return err
	}
	for _, e := range list {
		o.printf("known red: %s: cause: %s; issue: %s\n", e.Test, e.Cause, e.Issue)
	}
	for _, f := range r.Faults {
		o.printf("fails: %s\n", f)
	}
	o.printf("%d passed over, %d faults\n", len(r.PassedOver), len(r.Faults))
	if len(r.Faults) > 0 {
		return fmt.Errorf("tests: %d faults", len(r.Faults))
	}
	return nil
}

func (c *knownRedCommand) openEvents() (*os.File, error) {
	if c.Events == "-" {
		return os.Stdin, nil
	}
	return os.Open(c.Events)
}

func (c *knownRedCommand) readList() ([]knownred.Entry, error) {
	text, err := os.ReadFile(c.List)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return knownred.Parse(strings.NewReader(string(text)))
}
