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

// inlineT runs a script in the goroutine of the test, which a synctest bubble requires.
type inlineT struct{ *testing.T }

// scriptFailed is the panic value that ends a failed script.
type scriptFailed struct{}

// Run runs f in the current goroutine.
func (t inlineT) Run(_ string, f func(testscript.T)) {
	defer func() {
		if r := recover(); r != nil && r != (scriptFailed{}) {
			panic(r)
		}
	}()
	f(t)
}

// Fatal fails the test and ends the script only, so that its Environment is still closed.
func (t inlineT) Fatal(args ...any) {
	t.Error(args...)
	panic(scriptFailed{})
}

// FailNow is like Fatal without a message.
func (t inlineT) FailNow() {
	t.Fail()
	panic(scriptFailed{})
}

// Skip fails the test, because scripts must not be skipped.
func (t inlineT) Skip(args ...any) {
	t.Fatal(fmt.Sprint("skipped: ", fmt.Sprint(args...)))
}

// Parallel does nothing. It is required by testscript.T.
func (inlineT) Parallel() {}

// Verbose returns false, so that the log of a script is printed only if it fails.
func (inlineT) Verbose() bool { return false }

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				env := scenario.New()
				defer env.Close()
				testscript.RunT(inlineT{t}, testscript.Params{Files: []string{file}, Cmds: env.Commands()})
			})
		})
	}
}
