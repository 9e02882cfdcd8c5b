// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A server stopped in the middle of a head and closed or reset the connection, and its caller got an answer that was
// framed as whole.
func TestAnswerWithCutHeadReachesCaller(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"stream", "resumable", "once", "repeatable"} {
		for _, f := range framings {
			t.Run(fmt.Sprint(route, ", ", f), func(t *testing.T) {
				t.Parallel()
				head := &headWriter{}
				writeAnswer(head, &http.Request{Header: http.Header{headerID: {"r"}}}, f, typeEvents, "", 0)
				for cut := 0; cut < head.end(); cut += 7 {
					server := newScriptedServer(t, func(w io.Writer, _ *http.Request) bool {
						_, _ = w.Write(head.bytes[:cut])
						return cut%2 == 0
					})
					sink, err := newLoopbackSite(t, server).serve(t, route)
					assert.Check(t, isBroken(err), "cut at %d: %v", cut, err)
					assert.Check(t, sink.status == 0, "cut at %d: status %d reaches the caller", cut, sink.status)
				}
			})
		}
	}
}

// headWriter keeps the bytes of an answer without a body.
type headWriter struct{ bytes []byte }

// Write keeps bytes.
func (h *headWriter) Write(part []byte) (int, error) {
	h.bytes = append(h.bytes, part...)
	return len(part), nil
}

// end returns the length of the head without its last byte.
func (h *headWriter) end() int { return len(h.bytes) - 1 }
