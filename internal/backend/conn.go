// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/verdict"
)

// Dial connects to an address given as IP address and port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Limits of the connections to one backend server.
const (
	maxIdlePerServer = 64
	idleTimeout      = 30 * time.Second
	dialTimeout      = time.Second
)

// trackedConn counts writes, so that after a failure it is known whether any byte may have
// reached the server.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// writes counts the writes that sent, or may still send, a byte.
	writes int
	// sealed makes all further writes fail.
	sealed bool
}

var errSealed = errors.New("backend: connection is closed for writing")

func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		c.mu.Lock()
		c.writes--
		c.mu.Unlock()
	}
	return n, err
}

func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes, closes the connection, and returns the number of writes,
// including one in progress.
func (c *trackedConn) seal() int {
	c.mu.Lock()
	c.sealed = true
	count := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return count
}

// newTransport returns a transport with tracked connections. It uses no proxy and HTTP/1.1
// only, because HTTP/2 resends requests by itself.
func newTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: wire.MaxHeadBytes,
	}
}

// singleUseBody prevents http.Transport from resending a request: it can neither be
// rewound nor inspected.
type singleUseBody struct{ io.Reader }

// Close does nothing.
func (singleUseBody) Close() error { return nil }

// roundTrip sends a request once. The verdict of an error reports whether the request may
// have reached the server. The request must be a POST without Idempotency-Key, and its
// body a singleUseBody of at least one byte.
func roundTrip(rt http.RoundTripper, request *http.Request) (*http.Response, error) {
	var mu sync.Mutex
	var conn *trackedConn
	before := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		if c, ok := info.Conn.(*trackedConn); ok {
			conn, before = c, c.writeCount()
		}
	}}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := rt.RoundTrip(request.WithContext(ctx))
	if err == nil {
		return response, nil
	}
	mu.Lock()
	defer mu.Unlock()
	if conn == nil || conn.seal() == before {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConnection, "backend: nothing was sent: %w", err)
	}
	return nil, verdict.New(verdict.Unknown, verdict.ReasonConnection, "backend: no answer: %w", err)
}
