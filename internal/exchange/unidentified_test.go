// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/exchange"
)

// callUnidentified makes a call whose answer has marks as its body, separated by commas. It reports whether the
// answer was accepted.
func callUnidentified(t *testing.T, pool *exchange.Pool, id string) (body string, accepted bool) {
	t.Helper()
	call := get(id)
	call.Matches, call.Unidentified = nil, true
	a, err := pool.Do(t.Context(), call)
	assert.NilError(t, err)
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	var marks []string
	if len(data) > 0 {
		marks = strings.Split(string(data), ",")
	}
	return string(data), a.Accept(marks)
}

// A copy of the answer to an earlier call, at the place of the answer to the next one, was taken for that, and so
// were all later answers on the connection for those of the calls after theirs.
func TestCopyOfEarlierAnswerIsAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		// first is the answer to the first call, which comes once more where the next one should, after a
		// while.
		first string
		delay time.Duration
	}{
		"with marks":       {"a,b", 0},
		"with marks, late": {"a,b", 5 * time.Millisecond},
		"without any":      {"", 0},
		"without, late":    {"", 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool, _ := serve(t, func(conn net.Conn, r *bufio.Reader) {
					owed := false
					for {
						id, ok := request(r)
						if !ok {
							return
						}
						if id == "1" {
							_, _ = io.WriteString(conn, answer(id, c.first))
							owed = true
							continue
						}
						if owed {
							owed = false
							_, _ = io.WriteString(conn, answer("1", c.first))
							time.Sleep(c.delay)
						}
						_, _ = io.WriteString(conn, answer(id, id+"-"))
					}
				})
				body, accepted := callUnidentified(t, pool, "1")
				assert.Assert(t, accepted)
				assert.Equal(t, body, c.first)
				for _, id := range []string{"2", "3", "4"} {
					body, accepted := callUnidentified(t, pool, id)
					if accepted {
						assert.Assert(t, strings.HasPrefix(body, id+"-"), "call %s got %q", id, body)
					}
					time.Sleep(c.delay / 2)
				}
				// The server ends.
				time.Sleep(time.Second)
			})
		})
	}
}

// A connection was opened for each call, although nothing told that its answers were not those of the calls.
func TestConnectionOfAcceptedAnswersIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, opened := serve(t, func(conn net.Conn, r *bufio.Reader) {
			for {
				id, ok := request(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(conn, answer(id, id))
			}
		})
		for i := range 200 {
			_, accepted := callUnidentified(t, pool, fmt.Sprint(i))
			assert.Assert(t, accepted)
		}
		assert.Equal(t, opened.Load(), int32(1))
	})
}
