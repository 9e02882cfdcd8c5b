// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/verdict"
)

const (
	// maxFloodBytes is how much may be read of what a server sends without end.
	maxFloodBytes = 1 << 20
	// floodPatience is how long the caller waits.
	floodPatience = 8 * time.Second
)

// floods are bytes that are no answer. The server sends the first text once, and then the second one without
// end.
var floods = map[string][2]string{
	"first line":                {"", "x"},
	"status line":               {"HTTP/1.1 200 ", "x"},
	"header field":              {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"header fields":             {"HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n"},
	"distinct header fields":    {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n", "X: abcdefgh\r\n"},
	"interim answers":           {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"long interim answers":      {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 8000) + "\r\n\r\n"},
	"empty lines":               {"", "\r\n"},
	"answer without id":         {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "x"},
	"answers without id":        {"", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"},
	"chunks without id":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"},
	"body without id or length": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"answers of others":         {"", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nabc"},
	"answer of another request": {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"},
}

// flood writes bytes without end until the connection is closed.
func flood(conn net.Conn, texts [2]string) {
	_, _ = io.WriteString(conn, texts[0])
	block := strings.Repeat(texts[1], 1+4096/len(texts[1]))
	for {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
}

// A server that sent bytes without end which are no answer took up all memory of the host, and its callers waited
// until their time was over.
func TestBytesWithoutEndAreRead(t *testing.T) {
	for name, texts := range floods {
		for _, reused := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", reused connection"}[reused], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var closed atomic.Bool
					pool, _, count := serveCounted(t, func(conn net.Conn, r *bufio.Reader) {
						if reused {
							id, _ := request(r)
							_, _ = io.WriteString(conn, answer(id, "first"))
						}
						if _, ok := request(r); ok {
							flood(conn, texts)
							closed.Store(true)
						}
					})
					if reused {
						_, err := read(t, pool, get("0"))
						assert.NilError(t, err)
					}
					ctx, cancel := context.WithTimeout(t.Context(), floodPatience)
					defer cancel()
					began := time.Now()
					_, err := pool.Do(ctx, get("1"))
					assert.Equal(t, verdict.Of(err), verdict.Unknown, "%v", err)
					assert.Assert(t, time.Since(began) < time.Second, "the caller waited for %v", time.Since(began))
					synctest.Wait()
					assert.Assert(t, count.Load() < maxFloodBytes, "%d bytes were read", count.Load())
					assert.Assert(t, closed.Load())
				})
			})
		}
	}
}

// A caller waited until its time was over for the answer of a server that had sent one without an id on a new
// connection, which can't be the answer to an earlier request.
func TestAnswerWithoutIDOnNewConnectionIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
			if _, ok := request(r); ok {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				_, _ = request(r)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), floodPatience)
		defer cancel()
		began := time.Now()
		_, err := pool.Do(ctx, get("1"))
		v := verdict.As(err)
		assert.Equal(t, v.Verdict, verdict.Unknown)
		assert.Equal(t, v.Reason, verdict.ReasonBadAnswer)
		assert.Assert(t, time.Since(began) < time.Second, "the caller waited for %v", time.Since(began))
	})
}
