// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package wire_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/wire"
)

// answering is a transport that answers with the same bytes, and records whether the body was closed.
type answering struct {
	answer string
	closed bool
}

func (a *answering) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(a.answer)), r)
	if err == nil {
		response.Body = closeRecorder{ReadCloser: response.Body, closed: &a.closed}
	}
	return response, err
}

type closeRecorder struct {
	io.ReadCloser
	closed *bool
}

func (c closeRecorder) Close() error {
	*c.closed = true
	return c.ReadCloser.Close()
}

// Clients that use net/http took answers with invalid heads.
func TestTransportTakesInvalidHead(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 101 X\r\n", "HTTP/1.1 200 OK\r\nBad Name: x\r\n"} {
		next := &answering{answer: head + "Content-Length: 0\r\n\r\n"}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/", http.NoBody)
		assert.NilError(t, err)
		_, err = wire.CheckedTransport(next).RoundTrip(r)
		assert.ErrorContains(t, err, "invalid head", head)
		assert.Check(t, next.closed, "%q: the connection is kept", head)
	}
	next := &answering{answer: "HTTP/1.1 200 OK\r\nA-Name: x\r\nContent-Length: 2\r\n\r\nok"}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/", http.NoBody)
	assert.NilError(t, err)
	response, err := wire.CheckedTransport(next).RoundTrip(r)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.NilError(t, response.Body.Close())
}

// Clients that use net/http took an answer whose server stopped in the middle of its head.
func TestTransportTakesCutHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	cuts := make(chan int, 1)
	go func() {
		for cut := range cuts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, head[:cut])
			_ = c.Close()
		}
	}()
	defer close(cuts)
	client := &http.Client{Transport: wire.CheckedTransport(&http.Transport{DisableKeepAlives: true})}
	for cut := range head {
		cuts <- cut
		// A POST with a body is sent once.
		response, err := client.Post("http://"+l.Addr().String(), "", io.MultiReader(strings.NewReader("x")))
		assert.Check(t, err != nil, "cut at %d: %+v", cut, response)
		if err == nil {
			_ = response.Body.Close()
		}
	}
}
