// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package request_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

func TestIDRoundTripKeepsFieldsAndSeal(t *testing.T) {
	key := request.Key{1, 2, 3}
	for _, issuer := range []string{"10.0.0.1:7000", "[2001:db8::1]:7000"} {
		id := request.IssueID(key, netip.MustParseAddrPort(issuer), 42, 7, 1234567*time.Microsecond)
		got, err := request.ParseID(id.String())
		assert.NilError(t, err)
		assert.Equal(t, got, id)
		assert.Assert(t, got.Verify(key))
		assert.Assert(t, !got.Verify(request.Key{9}))
		got.Sequence++
		assert.Assert(t, !got.Verify(key), "a made-up id must not pass")
	}
}

func TestFailedRoundTripKeepsVerdict(t *testing.T) {
	for _, e := range []*verdict.Error{
		verdict.New(verdict.NotRun, verdict.ReasonOverload, "full").WithRetryAfter(time.Second),
		verdict.New(verdict.Unknown, verdict.ReasonConnection, "cut"),
		{Verdict: verdict.NotRun, Reason: verdict.ReasonLeaving, Settled: true},
	} {
		got := request.NewFailed(e).Err()
		assert.Equal(t, got.Verdict, e.Verdict)
		assert.Equal(t, got.Reason, e.Reason)
		assert.Equal(t, got.RetryAfter, e.RetryAfter)
		assert.Equal(t, got.Settled, e.Settled)
	}
	lie := request.Failed{Verdict: verdict.Unknown, Settled: true}
	assert.Assert(t, !lie.Err().Settled, "only not run can be settled")
}

func FuzzParseID(f *testing.F) {
	f.Add(request.IssueID(request.Key{}, netip.MustParseAddrPort("10.0.0.1:1"), 1, 1, 1).String())
	f.Add("wv" + strings.Repeat("0", 80))
	f.Fuzz(func(t *testing.T, text string) {
		id, err := request.ParseID(text)
		if err == nil && id.String() != text {
			t.Errorf("got %s from %s", id, text)
		}
	})
}

func FuzzDecodeEvent(f *testing.F) {
	f.Add("chunk", []byte(`{"chunk":{"attempt":1,"seq":0,"text":"a"}}`))
	f.Add("done", []byte(`{"done":{"id":"","attempt":1}}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		e, err := request.DecodeEvent(kind, data)
		if err == nil && string(e.Type) != kind {
			t.Errorf("got type %q of kind %q", e.Type, kind)
		}
	})
}
