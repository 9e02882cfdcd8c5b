// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// ActionEnd is the action of the last event of a run. The caller of go test appends
// this event with the exit status: {"Action":"go-test-end","Status":1}.
const ActionEnd = "go-test-end"

// Exit statuses of go test for a complete run.
const (
	statusPassed = 0
	statusFailed = 1
)

// maxEventBytes is the length of the longest event that is read. go test splits the
// output of a test into events of a few kilobytes.
const maxEventBytes = 16 << 20

// Texts that the testing package and the race detector print.
const (
	raceText        = "WARNING: DATA RACE"
	raceFailureText = "race detected during execution of test"
	failedText      = "FAIL\n"
	progressPrefix  = "=== "
	reportPrefix    = "--- "
)

// ErrBadEvent is returned for a line that is not an event.
var ErrBadEvent = errors.New("not an event of go test -json")

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	// ListedPassed is a listed test that passes. It must be removed from the list.
	ListedPassed Kind = "listed, but passes: take it off the list"
	// ListedSkipped is a listed test that is skipped.
	ListedSkipped Kind = "listed, but skipped"
	// ListedNotRun is a listed test that did not run.
	ListedNotRun Kind = "listed, but did not run"
	// TestFailed is a failed test that is not listed.
	TestFailed Kind = "failed"
	// TestUnfinished is a test that started and did not finish.
	TestUnfinished Kind = "did not end"
	// PackageNotBuilt is a package whose tests did not build.
	PackageNotBuilt Kind = "did not build"
	// PackageStopped is a package that stopped before all of its tests had run,
	// for example after a panic, a timeout or a call of os.Exit.
	PackageStopped Kind = "stopped before its tests ended"
	// PackageRace is a data race outside the listed tests.
	PackageRace Kind = "a data race outside the listed tests"
	// PackageFailed is a package that failed without a failed test, or that printed
	// something after its tests had finished.
	PackageFailed Kind = "failed beside its tests"
	// PackageUnfinished is a package that started and did not finish.
	PackageUnfinished Kind = "package did not end"
	// RunInconsistent is a run whose exit status is missing or does not match the results of its
	// packages, or that has no packages.
	RunInconsistent Kind = "go test did not end as its packages did"
)

// Fault is a reason why a run fails.
type Fault struct {
	Kind Kind
	// Test is the test that the fault is about. Its name is empty for a fault of a
	// package, and its package is also empty for a fault of the whole run.
	Test Test
}

// String returns the fault as one line.
func (f Fault) String() string {
	if f.Test == (Test{}) {
		return string(f.Kind)
	}
	return strings.TrimSpace(f.Test.String()) + ": " + string(f.Kind)
}

// Result is the result of checking a run.
type Result struct {
	// PassedOver are the listed tests that failed or did not finish, in the order of the
	// list. A test that did not finish is also a fault.
	PassedOver []Entry
	// Faults are the faults of listed tests in the order of the list, then those of packages
	// by name and their tests in the order in which they started, then those of the run.
	Faults []Fault
}

// event is a line of go test -json.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
	Status      int
}

// judge collects the events of a run.
type judge struct {
	listed   map[Test]bool
	packages map[string]*packageRun
	out      io.Writer
	// ended is true after the ActionEnd event, which has the exit status.
	ended      bool
	exitStatus int
}

// Judge reads the events of a run of go test -json, followed by an ActionEnd event, and
// checks the run against a list. It writes the output that go test prints without -json,
// one package at a time. It returns an error only if the events can't be read; the error
// wraps ErrBadEvent if a line is not an event.
func Judge(list []Entry, events io.Reader, out io.Writer) (Result, error) {
	j := &judge{listed: map[Test]bool{}, packages: map[string]*packageRun{}, out: out}
	for _, e := range list {
		j.listed[e.Test] = true
	}
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil || e.Action == "" {
			return Result{}, fmt.Errorf("%w: %q", ErrBadEvent, lines.Text())
		}
		j.addEvent(e)
	}
	if err := lines.Err(); err != nil {
		return Result{}, fmt.Errorf("events: %w", err)
	}
	return j.result(list), nil
}

func (j *judge) addEvent(e event) {
	switch {
	case e.Action == ActionEnd:
		j.ended, j.exitStatus = true, e.Status
	case e.Action == "build-output":
		_, _ = io.WriteString(j.out, e.Output)
	case e.Package != "":
		p := j.packages[e.Package]
		if p == nil {
			p = newPackageRun()
			j.packages[e.Package] = p
		}
		p.addEvent(e)
		if p.result != "" {
			p.print(j.out)
		}
	}
}

func (j *judge) result(list []Entry) Result {
	var r Result
	for _, e := range list {
		if kind := j.checkListed(e.Test); kind != "" {
			r.Faults = append(r.Faults, Fault{Kind: kind, Test: e.Test})
			continue
		}
		r.PassedOver = append(r.PassedOver, e)
	}
	names := make([]string, 0, len(j.packages))
	for name := range j.packages {
		names = append(names, name)
	}
	slices.Sort(names)
	wantStatus := statusPassed
	for _, name := range names {
		p := j.packages[name]
		r.Faults = append(r.Faults, p.faults(name, j.listed)...)
		if p.result == actionFail {
			wantStatus = statusFailed
		}
	}
	if !j.ended || j.exitStatus != wantStatus || len(names) == 0 {
		r.Faults = append(r.Faults, Fault{Kind: RunInconsistent})
	}
	return r
}

// checkListed returns the kind of fault of a listed test, or "" if the test failed or did
// not finish.
func (j *judge) checkListed(t Test) Kind {
	p := j.packages[t.Package]
	if p == nil || p.tests[t.Name] == nil {
		return ListedNotRun
	}
	results := p.tests[t.Name].results
	switch {
	case slices.Contains(results, actionPass):
		return ListedPassed
	case slices.Contains(results, actionSkip):
		return ListedSkipped
	case slices.Contains(results, actionFail), p.tests[t.Name].unfinished():
		// The faults of the package include a test that did not finish.
		return ""
	}
	return ListedNotRun
}
