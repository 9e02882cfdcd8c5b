// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/handover"
	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// recorder is a sink that records an answer.
type recorder struct {
	status int
	header http.Header
	body   strings.Builder
	starts int
	// omitsEnd is the number of calls of OmitEnd.
	omitsEnd int
	// onWrite, if set, is called after each write.
	onWrite func(part string) error
}

func (r *recorder) OmitEnd() { r.omitsEnd++ }

func (r *recorder) Start(status int, header http.Header) {
	r.status, r.header = status, header
	r.starts++
}

func (r *recorder) Write(part []byte) error {
	r.body.Write(part)
	if r.onWrite != nil {
		return r.onWrite(string(part))
	}
	return nil
}

// Guards against an answer that looks complete because the connection between two hosts ended.
func TestAnswerCutAtAnyByteIsNotComplete(t *testing.T) {
	wire, _, err := handover.Frames(http.StatusOK, http.Header{"Kind": {"a", "b"}}, "data: 1\n\n", "data: 2\n\n")
	assert.NilError(t, err)
	for cut := range wire {
		var sink recorder
		started, err := handover.Receive(bytes.NewReader(wire[:cut]), &sink)
		assert.Assert(t, errors.Is(err, handover.ErrBroken), "cut at %d of %d: %v", cut, len(wire), err)
		assert.Equal(t, started, sink.starts == 1, "cut at %d", cut)
		assert.Assert(t, strings.HasPrefix("data: 1\n\ndata: 2\n\n", sink.body.String()))
	}
	var sink recorder
	started, err := handover.Receive(bytes.NewReader(wire), &sink)
	assert.NilError(t, err)
	assert.Assert(t, started)
	assert.Equal(t, sink.body.String(), "data: 1\n\ndata: 2\n\n")
	assert.DeepEqual(t, sink.header, http.Header{"Kind": {"a", "b"}})
}

func TestFramesOutOfOrderAreRejected(t *testing.T) {
	frame := func(kind byte, payload string) string {
		return string([]byte{kind, 0, 0, 0, byte(len(payload))}) + payload
	}
	head := frame('h', `{"status":200}`)
	for _, wire := range []string{
		frame('d', "x"), frame('e', ""), frame('c', ""), head + head, head + frame('v', `{"verdict":"not_run","reason":"overload"}`),
		head + frame('e', "x"), frame('?', ""), frame('h', `{"status":0}`), frame('h', `{}`), frame('h', `{"status":100}`),
		frame('v', `{}`), frame('v', `{"verdict":"not_run"}`), frame('v', `{"verdict":"maybe","reason":"overload"}`),
		frame('v', `{"verdict":"ran","reason":"x","retry_after_ns":-1}`), frame('p', "x"), "d\xff\xff\xff\xff", head + "d\xff\xff\xff\xff",
	} {
		_, err := handover.Receive(strings.NewReader(wire), &recorder{})
		assert.Assert(t, errors.Is(err, handover.ErrBroken), "%q: %v", wire, err)
	}
	_, err := handover.Receive(strings.NewReader(head+frame('c', "")), &recorder{})
	assert.Assert(t, errors.Is(err, relay.ErrCut))
}

func FuzzReceive(f *testing.F) {
	wire, ends, err := handover.Frames(http.StatusOK, http.Header{"Kind": {"a"}}, "one", "two")
	assert.NilError(f, err)
	for _, end := range ends {
		f.Add(wire[:end])
	}
	f.Add([]byte("v\x00\x00\x00\x29{\"verdict\":\"not_run\",\"reason\":\"overload\"}"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		var sink recorder
		reader := bytes.NewReader(wire)
		started, err := handover.Receive(reader, &sink)
		if started != (sink.starts == 1) || sink.starts > 1 {
			t.Fatalf("started %v, %d starts", started, sink.starts)
		}
		if err != nil {
			return
		}
		read := wire[:len(wire)-reader.Len()]
		if !started || !bytes.HasSuffix(read, []byte("e\x00\x00\x00\x00")) {
			t.Fatalf("%q counts as complete", read)
		}
	})
}

// newRequest returns a request with all fields set, some of them not UTF-8.
func newRequest(arrived time.Time) *relay.Request {
	return &relay.Request{
		ID: "id-1", Method: http.MethodPost, Target: "/a/b?c=%20\xff", Path: "/a/b", Host: "x.example",
		Header: http.Header{"Name": {"one", "caf\xe9", ""}, "Other": {"%41+"}}, Body: []byte("body \x00\xff"), Key: "k\xfe",
		Arrived: arrived, CallerTimeout: 4 * time.Second, Parts: []relay.Part{{ID: "p\xff", Tokens: 7}, {ID: "q", Tokens: 0}},
		TokensIn: 7, TokensOut: 8, LengthHint: 9, Pieces: []int{0, 3}, PieceKey: "pk", Runs: 2, Counted: true, LastEvent: "5", Continues: true, Origin: "first", Version: option.Some("v1"),
	}
}

func TestRequestArrivesUnchanged(t *testing.T) {
	now := time.Now()
	sent := newRequest(now.Add(-time.Second))
	wire, err := handover.EncodeRequest(sent, now)
	assert.NilError(t, err)
	got, err := handover.DecodeRequest(bytes.NewReader(wire), now)
	assert.NilError(t, err)
	sent.Forwarded = true
	assert.Assert(t, got.Arrived.Equal(sent.Arrived))
	got.Arrived = sent.Arrived
	assert.DeepEqual(t, got, sent)
	for cut := range wire {
		_, err := handover.DecodeRequest(bytes.NewReader(wire[:cut]), now)
		assert.Assert(t, err != nil, "cut at %d of %d", cut, len(wire))
	}
	_, err = handover.DecodeRequest(io.MultiReader(bytes.NewReader(wire), strings.NewReader("x")), now)
	assert.ErrorContains(t, err, "were stated")
}

func FuzzDecodeRequest(f *testing.F) {
	now := time.Now()
	wire, err := handover.EncodeRequest(newRequest(now), now)
	assert.NilError(f, err)
	f.Add(wire)
	f.Add([]byte("\x00\x00\x00\x02{}"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		r, err := handover.DecodeRequest(bytes.NewReader(wire), now)
		if err != nil {
			return
		}
		if !r.Forwarded || r.ID == "" || r.Runs < 0 || r.Arrived.After(now) {
			t.Fatalf("%+v", r)
		}
		again, err := handover.EncodeRequest(r, now)
		assert.NilError(t, err)
		got, err := handover.DecodeRequest(bytes.NewReader(again), now)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, r)
	})
}

// A host planned any number of pieces of a request that another one handed over.
func TestRequestWithTooManyPiecesIsAccepted(t *testing.T) {
	now := time.Now()
	for _, pieces := range [][]int{{stageplan.MaxPieces + 1}, {stageplan.MaxPieces, 1}, {-1}} {
		sent := newRequest(now)
		sent.Pieces = pieces
		wire, err := handover.EncodeRequest(sent, now)
		assert.NilError(t, err)
		_, err = handover.DecodeRequest(bytes.NewReader(wire), now)
		assert.ErrorContains(t, err, "pieces")
	}
}
