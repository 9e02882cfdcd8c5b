// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/verdict"
)

func TestUnknownNeverBecomesNotRun(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, verdict.ReasonOverload, "full")
	settled := &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonOverload, Settled: true}
	cases := []struct {
		name      string
		err       error
		of, after verdict.Verdict
	}{
		{"a plain error", errors.New("x"), verdict.Unknown, verdict.Unknown},
		{"the zero error", &verdict.Error{}, verdict.Unknown, verdict.Unknown},
		{"not run", notRun, verdict.NotRun, verdict.Unknown},
		{"not run, wrapped", fmt.Errorf("more: %w", notRun), verdict.NotRun, verdict.Unknown},
		{"settled", settled, verdict.NotRun, verdict.NotRun},
		{"unknown around not run", verdict.New(verdict.Unknown, verdict.ReasonInternal, "%w", notRun), verdict.Unknown, verdict.Unknown},
		{"ran", verdict.New(verdict.Ran, verdict.ReasonInternal, "x"), verdict.Ran, verdict.Ran},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, verdict.Of(c.err), c.of)
			assert.Equal(t, verdict.Of(verdict.AfterSend(c.err)), c.after)
		})
	}
}

func TestTextRoundTripKeepsVerdict(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.Unknown, verdict.NotRun, verdict.Ran} {
		text, err := v.MarshalText()
		assert.NilError(t, err)
		var got verdict.Verdict
		assert.NilError(t, got.UnmarshalText(text))
		assert.Equal(t, got, v)
	}
	var got verdict.Verdict
	assert.ErrorContains(t, got.UnmarshalText([]byte("maybe")), "none of")
}
