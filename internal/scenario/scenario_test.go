// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package scenario_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/scenario"
)

// inline runs a script in the test's own goroutine, as a bubble needs it.
type inline struct{ *testing.T }

type failed struct{}

// Run runs f in place.
func (t inline) Run(_ string, f func(testscript.T)) {
	defer func() {
		if r := recover(); r != nil && r != (failed{}) {
			panic(r)
		}
	}()
	f(t)
}

// Fatal and FailNow end the script only, so that its world is closed.
func (t inline) Fatal(args ...any) {
	t.Error(args...)
	panic(failed{})
}

func (t inline) FailNow() {
	t.Fail()
	panic(failed{})
}

// Skip is a failure: no script may skip.
func (t inline) Skip(args ...any) {
	t.Fatal(fmt.Sprint("skipped: ", fmt.Sprint(args...)))
}

// Parallel does nothing.
func (inline) Parallel() {}

// Verbose asks for the script's log only where it fails.
func (inline) Verbose() bool { return false }

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := scenario.New()
				defer w.Close()
				testscript.RunT(inline{t}, testscript.Params{Files: []string{file}, Cmds: w.Commands()})
			})
		})
	}
}
