// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

var (
	caller = netip.MustParseAddr("10.0.0.1")
	server = netip.MustParseAddrPort("10.0.0.2:80")
)

// faultyServer closes connections as the test case requires. It counts the requests of
// which at least one byte arrived.
type faultyServer struct {
	mu       sync.Mutex
	arrivals int
}

func (h *faultyServer) arrivalCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.arrivals
}

// connHandler handles one request on a connection.
type connHandler func(conn net.Conn, r *http.Request)

func writeAnswer(conn net.Conn, r *http.Request, header, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		protocol.HeaderRequest, r.Header.Get(protocol.HeaderRequest),
		protocol.HeaderStage, r.Header.Get(protocol.HeaderStage),
		protocol.HeaderAttempt, r.Header.Get(protocol.HeaderAttempt), header, len(body), body)
}

func resultJSON(r *http.Request) string {
	return fmt.Sprintf(`{"request":%q,"stage":%q,"attempt":%s,"result":{}}`,
		r.Header.Get(protocol.HeaderRequest), r.Header.Get(protocol.HeaderStage), r.Header.Get(protocol.HeaderAttempt))
}

// serve answers the first request of each connection correctly, and passes the second to
// bad if that is set.
func (h *faultyServer) serve(l net.Listener, before func(net.Conn), bad connHandler) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for n := 0; ; n++ {
				if n > 0 && before != nil {
					before(conn)
				}
				if _, err := reader.Peek(1); err != nil {
					return
				}
				h.mu.Lock()
				h.arrivals++
				h.mu.Unlock()
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if n == 0 || bad == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					writeAnswer(conn, r, "", resultJSON(r))
					continue
				}
				bad(conn, r)
				return
			}
		}()
	}
}

func TestStageNeverResendsNorMisreportsNotRun(t *testing.T) {
	other := request.IssueID(request.Key{1}, server, 9, 9, 0).String()
	cases := []struct {
		name   string
		before func(net.Conn)
		bad    connHandler
		// want is the verdict of the second call, and arrivals the expected number of
		// requests counted by the server, including the first call.
		want     verdict.Verdict
		arrivals int
	}{
		{"sound", nil, nil, verdict.Ran, 2},
		{"closes the kept connection at once", func(c net.Conn) { _ = c.Close() }, nil, verdict.Ran, 2},
		{"closes when the request comes", nil, func(net.Conn, *http.Request) {}, verdict.Unknown, 2},
		{"closes after the body", nil, func(_ net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, verdict.Unknown, 2},
		{"closes amid the status line", nil, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 2") }, verdict.Unknown, 2},
		{"closes after the headers", nil, func(c net.Conn, r *http.Request) {
			writeAnswer(c, r, "", "")
		}, verdict.Unknown, 2},
		{"cuts the body short", nil, func(c net.Conn, r *http.Request) {
			text := resultJSON(r)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: a\r\n%s: 2\r\nContent-Length: %d\r\n\r\n%s",
				protocol.HeaderRequest, r.Header.Get(protocol.HeaderRequest), protocol.HeaderStage, protocol.HeaderAttempt, len(text)+1, text[:len(text)-1])
		}, verdict.Unknown, 2},
		{"answers for another request", nil, func(c net.Conn, r *http.Request) {
			r.Header.Set(protocol.HeaderRequest, other)
			writeAnswer(c, r, "", resultJSON(r))
		}, verdict.Unknown, 2},
		{"refuses for another request", nil, func(c net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 No\r\n%s: %s\r\n%s: true\r\nContent-Length: 0\r\n\r\n", protocol.HeaderRequest, other, protocol.HeaderNotStarted)
		}, verdict.Unknown, 2},
		{"answers a result for another request", nil, func(c net.Conn, r *http.Request) {
			text := strings.Replace(resultJSON(r), r.Header.Get(protocol.HeaderRequest), other, 1)
			writeAnswer(c, r, "", text)
		}, verdict.Unknown, 2},
		{"fails and says not started", nil, func(c net.Conn, r *http.Request) {
			// Unread data would reset the connection and lose the answer.
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 No\r\n%s: %s\r\n%s: a\r\n%s: 2\r\n%s: true\r\nContent-Length: 0\r\n\r\n",
				protocol.HeaderRequest, r.Header.Get(protocol.HeaderRequest), protocol.HeaderStage, protocol.HeaderAttempt, protocol.HeaderNotStarted)
		}, verdict.NotRun, 2},
		{"fails and says nothing", nil, func(c net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 No\r\n%s: %s\r\n%s: a\r\n%s: 2\r\nContent-Length: 0\r\n\r\n",
				protocol.HeaderRequest, r.Header.Get(protocol.HeaderRequest), protocol.HeaderStage, protocol.HeaderAttempt)
		}, verdict.Unknown, 2},
		{"redirects", nil, func(c net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 307 Go\r\nLocation: /elsewhere\r\n%s: %s\r\n%s: a\r\n%s: 2\r\nContent-Length: 0\r\n\r\n",
				protocol.HeaderRequest, r.Header.Get(protocol.HeaderRequest), protocol.HeaderStage, protocol.HeaderAttempt)
		}, verdict.Unknown, 2},
		{"answers twice", nil, func(c net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			writeAnswer(c, r, "", resultJSON(r))
			writeAnswer(c, r, "", resultJSON(r))
		}, verdict.Ran, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				arrivals, err := callTwice(t, c.before, c.bad)
				assert.Equal(t, verdict.Of(err), c.want, "got %v", err)
				assert.Equal(t, arrivals, c.arrivals)
			})
		})
	}
}

// callTwice makes two calls on one kept connection to a faulty server, which answers the
// first one correctly. It returns the error of the second call and the number of requests
// that arrived.
func callTwice(t *testing.T, before func(net.Conn), bad connHandler) (arrivals int, second error) {
	t.Helper()
	network := memnet.New(nil)
	l, err := network.Listen(server)
	assert.NilError(t, err)
	h := &faultyServer{}
	go h.serve(l, before, bad)
	client := backend.New(network.Dialer(caller))
	defer func() {
		client.Close()
		network.Kill(server.Addr())
	}()
	id := request.IssueID(request.Key{1}, server, 1, 1, 0)
	call := backend.Call{Server: server, Request: id, Stage: "a", Attempt: 1}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, _, err = client.Stage(ctx, call, protocol.StageCall{Input: "x"})
	assert.NilError(t, err)
	synctest.Wait()
	call.Attempt = 2
	_, _, second = client.Stage(ctx, call, protocol.StageCall{Input: "x"})
	synctest.Wait()
	return h.arrivalCount(), second
}

func TestStageIsNotRunIfNothingListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := backend.New(memnet.New(nil).Dialer(caller))
		call := backend.Call{Server: server, Request: request.IssueID(request.Key{1}, server, 1, 1, 0), Stage: "a", Attempt: 1}
		_, _, err := client.Stage(t.Context(), call, protocol.StageCall{})
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
	})
}
