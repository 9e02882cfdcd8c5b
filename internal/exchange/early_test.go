// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/exchange"
)

// uploadBytes is more than the buffers of a loopback connection hold.
const uploadBytes = 16 << 20

// unmarkedAnswer has no length: its body lasts until its connection ends.
const unmarkedAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\npart"

// upload sends a long request to a server on loopback, which handles its connection with do after the head of the
// request, and returns the body of the answer.
func upload(t *testing.T, size int, do func(conn *net.TCPConn, request io.Reader)) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			do(conn.(*net.TCPConn), r.Body)
		}
	}()
	pool := exchange.NewPool((&net.Dialer{}).DialContext, exchange.Unobserved{})
	defer pool.Close()
	call := get("1")
	call.Address = netip.MustParseAddrPort(l.Addr().String())
	call.Method, call.Body = http.MethodPost, make([]byte, size)
	body, err := read(t, pool, call)
	<-done
	return body, err
}

// A part of an answer without a length arrived as a whole answer: its connection was reset while the upload was being
// written, and the writer got the error.
func TestResetDuringUploadLooksLikeEndOfAnswer(t *testing.T) {
	for name, do := range map[string]func(conn *net.TCPConn, request io.Reader){
		"reset": func(conn *net.TCPConn, _ io.Reader) {
			time.Sleep(50 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
		"close with the upload unread": func(_ *net.TCPConn, _ io.Reader) { time.Sleep(50 * time.Millisecond) },
		"reset after a part of the upload": func(conn *net.TCPConn, request io.Reader) {
			_, _ = io.CopyN(io.Discard, request, 1<<20)
			_ = conn.SetLinger(0)
		},
		"end of one direction, then a reset": func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		for range 5 {
			body, err := upload(t, uploadBytes, func(conn *net.TCPConn, request io.Reader) {
				_, _ = io.WriteString(conn, unmarkedAnswer)
				do(conn, request)
			})
			assert.Check(t, err != nil, "%s: %q arrived as a whole answer", name, body)
		}
	}
}

// An early answer without a length was taken for a broken one although its server read the rest of the upload.
func TestEarlyUnmarkedAnswerIsDropped(t *testing.T) {
	for name, do := range map[string]func(conn *net.TCPConn, request io.Reader){
		"read, then closed": func(_ *net.TCPConn, request io.Reader) { _, _ = io.Copy(io.Discard, request) },
		"end of one direction, then read": func(conn *net.TCPConn, request io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request)
		},
	} {
		for _, size := range []int{0, 100, 64 << 10, uploadBytes} {
			body, err := upload(t, size, func(conn *net.TCPConn, request io.Reader) {
				_, _ = io.WriteString(conn, unmarkedAnswer)
				do(conn, request)
			})
			assert.NilError(t, err, "%s, upload of %d bytes", name, size)
			assert.Equal(t, body, "part")
		}
	}
}

// An early answer of a stated length is whole whatever becomes of the upload.
func TestEarlyMarkedAnswerIsDropped(t *testing.T) {
	for _, marked := range []string{"Content-Length: 4\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"} {
		body, err := upload(t, uploadBytes, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n"+marked)
			time.Sleep(50 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		assert.NilError(t, err)
		assert.Equal(t, body, "part")
	}
}
