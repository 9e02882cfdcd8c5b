// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package knownred_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/knownred"
)

// stream builds the output of go test -json, with events in the same order.
type stream struct {
	text strings.Builder
}

func (s *stream) addEvent(action, pkg, test, output string) {
	line, err := json.Marshal(map[string]string{"Action": action, "Package": pkg, "Test": test, "Output": output})
	if err != nil {
		panic(err)
	}
	s.text.Write(append(line, '\n'))
}

func (s *stream) startTest(pkg, test string) {
	s.addEvent("run", pkg, test, "")
	s.addEvent("output", pkg, test, "=== RUN   "+test+"\n")
}

func (s *stream) finishTest(action, pkg, test string) {
	s.addEvent("output", pkg, test, fmt.Sprintf("--- %s: %s (0.00s)\n", strings.ToUpper(action), test))
	s.addEvent(action, pkg, test, "")
}

func (s *stream) runTest(action, pkg, test string) {
	s.startTest(pkg, test)
	s.addEvent("output", pkg, test, "    a_test.go:1: said by "+test+"\n")
	s.finishTest(action, pkg, test)
}

func (s *stream) passPackage(pkg string) {
	s.addEvent("output", pkg, "", "PASS\n")
	s.addEvent("output", pkg, "", "ok  \t"+pkg+"\t0.010s\n")
	s.addEvent("pass", pkg, "", "")
}

func (s *stream) failPackage(pkg string) {
	s.addEvent("output", pkg, "", "FAIL\n")
	s.stopPackage(pkg)
}

// stopPackage adds the end of a package whose test process ended before its tests had finished.
func (s *stream) stopPackage(pkg string) {
	s.addEvent("output", pkg, "", "FAIL\t"+pkg+"\t0.010s\n")
	s.addEvent("fail", pkg, "", "")
}

func (s *stream) reportRace(pkg, test string) {
	s.addEvent("output", pkg, test, "==================\n")
	s.addEvent("output", pkg, test, "WARNING: DATA RACE\n")
}

func (s *stream) endRun(status int) {
	_, _ = fmt.Fprintf(&s.text, "{\"Action\":%q,\"Status\":%d}\n", knownred.ActionEnd, status)
}

func entry(pkg, name string) knownred.Entry {
	return knownred.Entry{Test: knownred.Test{Package: pkg, Name: name}, Cause: "c", Issue: "i"}
}

func fault(kind knownred.Kind, pkg, name string) knownred.Fault {
	return knownred.Fault{Kind: kind, Test: knownred.Test{Package: pkg, Name: name}}
}

// judgeRun checks a run against a list with the one test TestKnown of package p.
func judgeRun(t *testing.T, run func(s *stream)) (knownred.Result, string) {
	t.Helper()
	var s stream
	run(&s)
	var out bytes.Buffer
	r, err := knownred.Judge([]knownred.Entry{entry("p", "TestKnown")}, strings.NewReader(s.text.String()), &out)
	assert.NilError(t, err)
	return r, out.String()
}

func TestListedFailureIsPassedOver(t *testing.T) {
	r, out := judgeRun(t, func(s *stream) {
		s.runTest("pass", "o", "TestA")
		s.passPackage("o")
		s.runTest("fail", "p", "TestKnown")
		s.runTest("pass", "p", "TestB")
		s.failPackage("p")
		s.endRun(1)
	})
	assert.DeepEqual(t, r, knownred.Result{PassedOver: []knownred.Entry{entry("p", "TestKnown")}})
	assert.Equal(t, out, "ok  \to\t0.010s\n    a_test.go:1: said by TestKnown\n--- FAIL: TestKnown (0.00s)\nFAIL\nFAIL\tp\t0.010s\n")
}

func TestSubtestFailureCountsAsListedTest(t *testing.T) {
	r, _ := judgeRun(t, func(s *stream) {
		s.startTest("p", "TestKnown")
		s.runTest("fail", "p", "TestKnown/one")
		s.runTest("pass", "p", "TestKnown/two")
		s.finishTest("fail", "p", "TestKnown")
		s.failPackage("p")
		s.endRun(1)
	})
	assert.DeepEqual(t, r, knownred.Result{PassedOver: []knownred.Entry{entry("p", "TestKnown")}})
}

func TestRaceInListedTestIsPassedOver(t *testing.T) {
	r, _ := judgeRun(t, func(s *stream) {
		s.startTest("p", "TestKnown")
		s.reportRace("p", "TestKnown")
		s.addEvent("output", "p", "TestKnown", "    testing.go:1: race detected during execution of test\n")
		s.finishTest("fail", "p", "TestKnown")
		s.failPackage("p")
		s.endRun(1)
	})
	assert.DeepEqual(t, r, knownred.Result{PassedOver: []knownred.Entry{entry("p", "TestKnown")}})
}

// withKnownFailure returns a run in which TestKnown of package p fails before the events of
// more.
func withKnownFailure(more func(s *stream)) func(s *stream) {
	return func(s *stream) {
		s.runTest("fail", "p", "TestKnown")
		more(s)
		s.endRun(1)
	}
}

type runCase struct {
	name string
	run  func(s *stream)
	want []knownred.Fault
}

func checkFaults(t *testing.T, cases []runCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, _ := judgeRun(t, c.run)
			assert.DeepEqual(t, r.Faults, c.want)
		})
	}
}

func TestListedTestMustRunAndFail(t *testing.T) {
	checkFaults(t, []runCase{
		{"a listed test that passes", func(s *stream) {
			s.runTest("pass", "p", "TestKnown")
			s.passPackage("p")
			s.endRun(0)
		}, []knownred.Fault{fault(knownred.ListedPassed, "p", "TestKnown")}},
		{"a listed test that passes once of twice", func(s *stream) {
			s.runTest("fail", "p", "TestKnown")
			s.runTest("pass", "p", "TestKnown")
			s.failPackage("p")
			s.endRun(1)
		}, []knownred.Fault{fault(knownred.ListedPassed, "p", "TestKnown")}},
		{"a listed name that no test has", func(s *stream) {
			s.runTest("pass", "p", "TestKnownNot")
			s.passPackage("p")
			s.endRun(0)
		}, []knownred.Fault{fault(knownred.ListedNotRun, "p", "TestKnown")}},
		{"a listed test of another package", func(s *stream) {
			s.runTest("fail", "q", "TestKnown")
			s.failPackage("q")
			s.endRun(1)
		}, []knownred.Fault{fault(knownred.ListedNotRun, "p", "TestKnown"), fault(knownred.TestFailed, "q", "TestKnown")}},
		{"a listed test that is skipped", func(s *stream) {
			s.runTest("skip", "p", "TestKnown")
			s.passPackage("p")
			s.endRun(0)
		}, []knownred.Fault{fault(knownred.ListedSkipped, "p", "TestKnown")}},
	})
}

func TestUnlistedFailureIsFault(t *testing.T) {
	checkFaults(t, []runCase{
		{"another failed test of the package", withKnownFailure(func(s *stream) {
			s.runTest("fail", "p", "TestKnownToo")
			s.failPackage("p")
		}), []knownred.Fault{fault(knownred.TestFailed, "p", "TestKnownToo")}},
		{"another failed test of another package", withKnownFailure(func(s *stream) {
			s.failPackage("p")
			s.runTest("fail", "q", "TestA")
			s.failPackage("q")
		}), []knownred.Fault{fault(knownred.TestFailed, "q", "TestA")}},
		{"a package that does not build", withKnownFailure(func(s *stream) {
			s.failPackage("p")
			s.text.WriteString(`{"ImportPath":"q [q.test]","Action":"build-output","Output":"undefined: y\n"}` + "\n")
			s.text.WriteString(`{"ImportPath":"q [q.test]","Action":"build-fail"}` + "\n")
			s.addEvent("output", "q", "", "FAIL\tq [build failed]\n")
			s.text.WriteString(`{"Action":"fail","Package":"q","FailedBuild":"q [q.test]"}` + "\n")
		}), []knownred.Fault{fault(knownred.PackageNotBuilt, "q", "")}},
		{"a panic in the listed test", func(s *stream) {
			s.startTest("p", "TestKnown")
			s.addEvent("output", "p", "TestKnown", "--- FAIL: TestKnown (0.00s)\n")
			s.addEvent("output", "p", "TestKnown", "panic: x [recovered, repanicked]\n")
			s.addEvent("fail", "p", "TestKnown", "")
			s.stopPackage("p")
			s.endRun(1)
		}, []knownred.Fault{fault(knownred.PackageStopped, "p", "")}},
		{"a time-out in the listed test", func(s *stream) {
			s.startTest("p", "TestKnown")
			s.addEvent("output", "p", "TestKnown", "panic: test timed out after 10m0s\n")
			s.stopPackage("p")
			s.endRun(1)
		}, []knownred.Fault{fault(knownred.TestUnfinished, "p", "TestKnown"), fault(knownred.PackageStopped, "p", "")}},
		{"a time-out in a later test", withKnownFailure(func(s *stream) {
			s.startTest("p", "TestLong")
			s.addEvent("output", "p", "TestLong", "panic: test timed out after 10m0s\n")
			s.addEvent("fail", "p", "TestLong", "")
			s.stopPackage("p")
		}), []knownred.Fault{fault(knownred.TestFailed, "p", "TestLong"), fault(knownred.PackageStopped, "p", "")}},
		{"a test without an end", withKnownFailure(func(s *stream) {
			s.startTest("p", "TestGone")
			s.stopPackage("p")
		}), []knownred.Fault{fault(knownred.TestUnfinished, "p", "TestGone"), fault(knownred.PackageStopped, "p", "")}},
		{"an exit in a later test", withKnownFailure(func(s *stream) {
			s.stopPackage("p")
		}), []knownred.Fault{fault(knownred.PackageStopped, "p", "")}},
	})
}

func TestRaceOutsideListedTestsIsFault(t *testing.T) {
	checkFaults(t, []runCase{
		{"a race after the listed test's report", func(s *stream) {
			s.startTest("p", "TestKnown")
			s.addEvent("output", "p", "TestKnown", "--- FAIL: TestKnown (0.00s)\n")
			s.reportRace("p", "TestKnown")
			s.addEvent("fail", "p", "TestKnown", "")
			s.failPackage("p")
			s.endRun(1)
		}, []knownred.Fault{fault(knownred.PackageRace, "p", "")}},
		{"a race that the listed test isn't given", func(s *stream) {
			s.startTest("p", "TestKnown")
			s.reportRace("p", "TestKnown")
			s.finishTest("fail", "p", "TestKnown")
			s.failPackage("p")
			s.endRun(1)
		}, []knownred.Fault{fault(knownred.PackageRace, "p", "")}},
		{"a race in a test that passes", withKnownFailure(func(s *stream) {
			s.startTest("p", "TestB")
			s.reportRace("p", "TestB")
			s.finishTest("pass", "p", "TestB")
			s.failPackage("p")
		}), []knownred.Fault{fault(knownred.PackageRace, "p", "")}},
		{"a race outside tests", withKnownFailure(func(s *stream) {
			s.reportRace("p", "")
			s.failPackage("p")
		}), []knownred.Fault{fault(knownred.PackageRace, "p", "")}},
		{"a race after the tests", withKnownFailure(func(s *stream) {
			s.addEvent("output", "p", "", "FAIL\n")
			s.reportRace("p", "")
			s.stopPackage("p")
		}), []knownred.Fault{fault(knownred.PackageRace, "p", ""), fault(knownred.PackageFailed, "p", "")}},
	})
}

func TestPackageFailureOutsideTestsIsFault(t *testing.T) {
	checkFaults(t, []runCase{
		{"something said after the tests", withKnownFailure(func(s *stream) {
			s.addEvent("output", "p", "", "FAIL\n")
			s.addEvent("output", "p", "", "left over: 3 goroutines\n")
			s.stopPackage("p")
		}), []knownred.Fault{fault(knownred.PackageFailed, "p", "")}},
		{"a package that fails without a failed test", withKnownFailure(func(s *stream) {
			s.failPackage("p")
			s.runTest("pass", "q", "TestA")
			s.addEvent("output", "q", "", "testing: race detected outside of test execution\n")
			s.failPackage("q")
		}), []knownred.Fault{fault(knownred.PackageFailed, "q", "")}},
		{"an exit after tests that pass", withKnownFailure(func(s *stream) {
			s.failPackage("p")
			s.runTest("pass", "q", "TestA")
			s.addEvent("output", "q", "", "PASS\n")
			s.stopPackage("q")
		}), []knownred.Fault{fault(knownred.PackageStopped, "q", "")}},
		{"a package without an end", withKnownFailure(func(s *stream) {
			s.failPackage("p")
			s.addEvent("start", "q", "", "")
		}), []knownred.Fault{fault(knownred.PackageUnfinished, "q", "")}},
	})
}

func TestIncompleteRunIsFault(t *testing.T) {
	checkFaults(t, []runCase{
		{"no exit status", func(s *stream) {
			s.runTest("fail", "p", "TestKnown")
			s.failPackage("p")
		}, []knownred.Fault{fault(knownred.RunInconsistent, "", "")}},
		{"a killed run", func(s *stream) {
			s.runTest("fail", "p", "TestKnown")
			s.failPackage("p")
			s.endRun(137)
		}, []knownred.Fault{fault(knownred.RunInconsistent, "", "")}},
		{"a failed run of packages that pass", func(s *stream) {
			s.runTest("pass", "p", "TestKnown")
			s.passPackage("p")
			s.endRun(1)
		}, []knownred.Fault{fault(knownred.ListedPassed, "p", "TestKnown"), fault(knownred.RunInconsistent, "", "")}},
		{"no package", func(s *stream) {
			s.endRun(0)
		}, []knownred.Fault{fault(knownred.ListedNotRun, "p", "TestKnown"), fault(knownred.RunInconsistent, "", "")}},
	})
}

func TestRunWithoutListMustPass(t *testing.T) {
	judge := func(run func(s *stream)) []knownred.Fault {
		var s stream
		run(&s)
		r, err := knownred.Judge(nil, strings.NewReader(s.text.String()), &bytes.Buffer{})
		assert.NilError(t, err)
		return r.Faults
	}
	assert.Equal(t, len(judge(func(s *stream) {
		s.runTest("pass", "p", "TestA")
		s.passPackage("p")
		s.addEvent("output", "n", "", "?   \tn\t[no test files]\n")
		s.addEvent("skip", "n", "", "")
		s.endRun(0)
	})), 0)
	assert.DeepEqual(t, judge(func(s *stream) {
		s.runTest("fail", "p", "TestA")
		s.failPackage("p")
		s.endRun(1)
	}), []knownred.Fault{fault(knownred.TestFailed, "p", "TestA")})
}

func TestJudgeRejectsLineThatIsNotAnEvent(t *testing.T) {
	for _, text := range []string{"FAIL\tp\n", "{}\n", "{\"Action\":\n"} {
		_, err := knownred.Judge(nil, strings.NewReader(text), &bytes.Buffer{})
		assert.ErrorIs(t, err, knownred.ErrBadEvent)
	}
}
