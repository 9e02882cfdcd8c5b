// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package knownred

import (
	"io"
	"slices"
	"strings"
)

// Actions of go test -json.
const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
)

// testRun is the run of a top-level test with its subtests.
type testRun struct {
	name string
	// results are the results of the test itself, without its subtests. A test that
	// runs several times has several results.
	results []string
	// running counts the unfinished runs of the test and of each subtest by name.
	running map[string]int
	// failed is true if the test or a subtest failed.
	failed bool
	// reported is true after the report line of the test. Output that follows is not
	// the output of the test itself.
	reported bool
	// races is the number of data races reported in the output of the test. raceFailed is
	// true if the testing package failed the test because of one of them.
	races      int
	raceFailed bool
	output     []string
}

// packageRun is the part of a run that belongs to one package.
type packageRun struct {
	tests map[string]*testRun
	// testOrder has the tests in the order in which they started.
	testOrder []*testRun
	// result is the action of the last event, or "" until the package has finished.
	result      string
	failedBuild bool
	// testsDone is true after the line by which the testing package reports that all
	// tests have run and some failed. outputAfterTests is true if another line followed.
	testsDone        bool
	outputAfterTests bool
	// races is true if a data race was reported outside the run of a test.
	races  bool
	output []string
}

func newPackageRun() *packageRun {
	return &packageRun{tests: map[string]*testRun{}}
}

func (p *packageRun) addEvent(e event) {
	if e.Test != "" {
		top, _, _ := strings.Cut(e.Test, "/")
		p.addTestEvent(p.testRunOf(top), e)
		return
	}
	switch e.Action {
	case actionOutput:
		p.addOutput(e)
	case actionPass, actionFail, actionSkip:
		p.result = e.Action
		p.failedBuild = e.FailedBuild != ""
	}
}

func (p *packageRun) addOutput(e event) {
	p.output = append(p.output, e.Output)
	if strings.Contains(e.Output, raceText) {
		p.races = true
	}
	switch {
	case e.Output == failedText:
		p.testsDone = true
	case p.testsDone && !strings.HasPrefix(e.Output, "FAIL\t"+e.Package+"\t"):
		p.outputAfterTests = true
	}
}

// testRunOf returns the run of a top-level test, and creates it at its first event.
func (p *packageRun) testRunOf(top string) *testRun {
	t := p.tests[top]
	if t == nil {
		t = &testRun{name: top, running: map[string]int{}}
		p.tests[top] = t
		p.testOrder = append(p.testOrder, t)
	}
	return t
}

func (p *packageRun) addTestEvent(t *testRun, e event) {
	switch e.Action {
	case actionRun:
		t.running[e.Test]++
		if e.Test == t.name {
			t.reported = false
		}
	case actionOutput:
		p.addTestOutput(t, e)
	case actionPass, actionFail, actionSkip:
		t.running[e.Test]--
		t.failed = t.failed || e.Action == actionFail
		if e.Test == t.name {
			t.results = append(t.results, e.Action)
		}
	}
}

func (p *packageRun) addTestOutput(t *testRun, e event) {
	if !strings.HasPrefix(e.Output, progressPrefix) {
		t.output = append(t.output, e.Output)
	}
	if strings.Contains(e.Output, raceFailureText) {
		t.raceFailed = true
	}
	// A race after the report line comes from goroutines that the test left running.
	if strings.Contains(e.Output, raceText) {
		t.races++
		p.races = p.races || t.reported
	}
	if e.Test == t.name && isReport(e.Output, t.name) {
		t.reported = true
	}
}

// isReport reports whether line is the report line of the test with the given name.
func isReport(line, name string) bool {
	rest, ok := strings.CutPrefix(line, reportPrefix)
	if !ok {
		return false
	}
	_, rest, _ = strings.Cut(rest, ": ")
	return strings.HasPrefix(rest, name+" (")
}

// faults returns the faults of the package. Failures of listed tests are not faults.
func (p *packageRun) faults(name string, listed map[Test]bool) []Fault {
	var list []Fault
	addFault := func(k Kind, test string) {
		list = append(list, Fault{Kind: k, Test: Test{Package: name, Name: test}})
	}
	anyFailed := false
	races := p.races
	for _, t := range p.testOrder {
		isListed := listed[Test{Package: name, Name: t.name}]
		anyFailed = anyFailed || t.failed
		if t.failed && !isListed {
			addFault(TestFailed, t.name)
		}
		if t.unfinished() {
			addFault(TestUnfinished, t.name)
		}
		races = races || t.races > 0 && (!isListed || !t.raceFailed)
	}
	if races {
		addFault(PackageRace, "")
	}
	switch {
	case p.result == "":
		addFault(PackageUnfinished, "")
	case p.result != actionFail:
	case p.failedBuild:
		addFault(PackageNotBuilt, "")
	case !p.testsDone:
		addFault(PackageStopped, "")
	case p.outputAfterTests || !anyFailed:
		addFault(PackageFailed, "")
	}
	return list
}

func (t *testRun) unfinished() bool {
	for _, n := range t.running {
		if n != 0 {
			return true
		}
	}
	return false
}

// print writes the output that go test prints for the package without -json.
func (p *packageRun) print(out io.Writer) {
	lines := p.output
	if p.result != actionFail {
		lines = slices.DeleteFunc(slices.Clone(lines), isOmittedOnPass)
	}
	if p.result == actionFail {
		for _, t := range p.testOrder {
			if t.failed || t.unfinished() {
				writeLines(out, t.output)
			}
		}
	}
	writeLines(out, lines)
}

// isOmittedOnPass reports whether go test without -json omits the line for a package that
// passes.
func isOmittedOnPass(line string) bool {
	return !strings.HasPrefix(line, "ok  \t") && !strings.HasPrefix(line, "?   \t")
}

func writeLines(out io.Writer, lines []string) {
	for _, l := range lines {
		_, _ = io.WriteString(out, l)
	}
}
