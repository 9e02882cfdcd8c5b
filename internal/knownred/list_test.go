// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package knownred_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/knownred"
)

func TestParseReadsTestCauseAndIssue(t *testing.T) {
	list, err := knownred.Parse(strings.NewReader("# known\n\n  a/b TestOne | it is slow | #7 \na/b FuzzTwo|x|y\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []knownred.Entry{
		{Test: knownred.Test{Package: "a/b", Name: "TestOne"}, Cause: "it is slow", Issue: "#7"},
		{Test: knownred.Test{Package: "a/b", Name: "FuzzTwo"}, Cause: "x", Issue: "y"},
	})
}

func TestParseEmptyList(t *testing.T) {
	list, err := knownred.Parse(strings.NewReader(""))
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
}

func TestParseRejectsBadList(t *testing.T) {
	cases := []struct {
		name string
		text string
		want error
	}{
		{"no cause", "p TestA", knownred.ErrBadLine},
		{"no issue", "p TestA | c", knownred.ErrBadLine},
		{"an empty cause", "p TestA | | i", knownred.ErrBadLine},
		{"an empty issue", "p TestA | c | ", knownred.ErrBadLine},
		{"a field too many", "p TestA | c | i | x", knownred.ErrBadLine},
		{"no package", "TestA | c | i", knownred.ErrBadLine},
		{"two tests", "p TestA TestB | c | i", knownred.ErrBadLine},
		{"a subtest", "p TestA/sub | c | i", knownred.ErrBadLine},
		{"a pattern", "p Test.* | c | i", knownred.ErrBadLine},
		{"a whole package", "p ./... | c | i", knownred.ErrBadLine},
		{"a test twice", "p TestA | c | i\np TestA | d | j", knownred.ErrDuplicate},
		{"four tests", "p TestA | c | i\np TestB | c | i\np TestC | c | i\np TestD | c | i", knownred.ErrTooMany},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := knownred.Parse(strings.NewReader(c.text))
			assert.ErrorIs(t, err, c.want)
		})
	}
}
