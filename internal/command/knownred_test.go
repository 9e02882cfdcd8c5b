// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package command_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/command"
)

const failedRun = `{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"--- FAIL: TestA (0.00s)\n"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Output":"FAIL\n"}
{"Action":"output","Package":"p","Output":"FAIL\tp\t0.010s\n"}
{"Action":"fail","Package":"p"}
{"Action":"go-test-end","Status":1}
`

func TestKnownRedPrintsEachListedTestWithItsCause(t *testing.T) {
	cases := []struct {
		name string
		list string
		want int
		text string
	}{
		{"listed", "p TestA | a cause | an issue\n", command.ExitDone, "known red: p TestA: cause: a cause; issue: an issue\n1 passed over, 0 faults"},
		{"not listed", "", command.ExitFailed, "fails: p TestA: failed"},
		{"listed without a test", "p TestA | c | i\np TestB | d | j\n", command.ExitFailed, "fails: p TestB: listed, but did not run"},
		{"a bad list", "p TestA\n", command.ExitUsage, "line 1: want PACKAGE TEST | CAUSE | ISSUE"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, text := runKnownRed(t, writeFile(t, "list", c.list))
			assert.Equal(t, code, c.want, text)
			assert.Assert(t, strings.Contains(text, c.text), "got %q, want %q", text, c.text)
		})
	}
}

func TestKnownRedTreatsMissingListAsEmpty(t *testing.T) {
	code, text := runKnownRed(t, filepath.Join(t.TempDir(), "none"))
	assert.Equal(t, code, command.ExitFailed)
	assert.Assert(t, strings.Contains(text, "fails: p TestA: failed"), "got %q", text)
}

func TestKnownRedIsHiddenFromHelp(t *testing.T) {
	var out bytes.Buffer
	assert.Equal(t, command.Main([]string{"--help"}, &out, &out), command.ExitDone)
	assert.Assert(t, !strings.Contains(out.String(), "known-red"), "got %q", out.String())
}

func runKnownRed(t *testing.T, list string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := command.Main([]string{"known-red", "--list", list, "--events", writeFile(t, "events", failedRun)}, &out, &out)
	return code, out.String()
}
