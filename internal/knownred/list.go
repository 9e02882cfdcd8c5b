// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package knownred

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// MaxTests is the maximum number of tests in a list.
const MaxTests = 3

// fieldsPerLine is the number of fields of a line: the test, its cause and its issue.
const fieldsPerLine = 3

// topLevelName matches the name of a test, a fuzz target or an example, but not of a subtest.
var topLevelName = regexp.MustCompile(`^(Test|Fuzz|Example)[\pL\pN_]*$`)

// Errors of Parse.
var (
	ErrBadLine   = errors.New("want PACKAGE TEST | CAUSE | ISSUE")
	ErrDuplicate = errors.New("listed twice")
	ErrTooMany   = fmt.Errorf("more than %d tests", MaxTests)
)

// Test names a top-level test.
type Test struct {
	// Package is the import path.
	Package string
	Name    string
}

// String returns the test as a list writes it: the package, a space and the name.
func (t Test) String() string {
	return t.Package + " " + t.Name
}

// Entry is one line of a list. Parse returns no entry with an empty field.
type Entry struct {
	Test  Test
	Cause string
	Issue string
}

// Parse reads a list. For a bad list the error wraps ErrBadLine, ErrDuplicate or ErrTooMany.
func Parse(r io.Reader) ([]Entry, error) {
	var list []Entry
	seen := map[Test]bool{}
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if seen[e.Test] {
			return nil, fmt.Errorf("line %d: %s: %w", n, e.Test, ErrDuplicate)
		}
		seen[e.Test] = true
		list = append(list, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("known-red list: %w", err)
	}
	if len(list) > MaxTests {
		return nil, ErrTooMany
	}
	return list, nil
}

func parseLine(line string) (Entry, error) {
	parts := strings.Split(line, "|")
	if len(parts) != fieldsPerLine {
		return Entry{}, ErrBadLine
	}
	names := strings.Fields(parts[0])
	if len(names) != 2 || !topLevelName.MatchString(names[1]) {
		return Entry{}, ErrBadLine
	}
	e := Entry{
		Test:  Test{Package: names[0], Name: names[1]},
		Cause: strings.TrimSpace(parts[1]),
		Issue: strings.TrimSpace(parts[2]),
	}
	if e.Cause == "" || e.Issue == "" {
		return Entry{}, ErrBadLine
	}
	return e, nil
}
