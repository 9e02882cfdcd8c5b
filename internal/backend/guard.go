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

	"github.com/wingvale/wingvale/verdict"
)

// Dial connects to an address given as IP number and port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Limits of connections to one backend server.
const (
	maxIdlePerServer  = 64
	idleTimeout       = 30 * time.Second
	headerLimit       = 64 << 10
	connectionTimeout = time.Second
)

// guardedConn counts writes, so that after a failure it is known whether any
// byte may have reached the far side.
type guardedConn struct {
	net.Conn

	mu sync.Mutex
	// writes counts the writes that sent, or may yet send, a byte.
	writes int
	// sealed refuses every further write.
	sealed bool
}

var errSealed = errors.New("backend: the connection was given up")

func (c *guardedConn) Write(b []byte) (int, error) {
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

func (c *guardedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops all writing, closes the connection, and returns the count. A
// write that is under way counts.
func (c *guardedConn) seal() int {
	c.mu.Lock()
	c.sealed = true
	count := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return count
}

// newTransport returns a transport whose connections are guarded, and that
// follows no proxy and speaks HTTP/1.1 only: HTTP/2 has resends of its own.
func newTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectionTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: headerLimit,
	}
}

// onceBody keeps http.Transport from sending a request again: it can neither
// be rewound nor looked into.
type onceBody struct{ io.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }

// exchange sends request once and says, for a failure, whether it may have
// reached the server. The request must be a POST without Idempotency-Key, with
// a body that is a onceBody of at least one byte.
func exchange(rt http.RoundTripper, request *http.Request) (*http.Response, error) {
	var mu sync.Mutex
	var conn *guardedConn
	before := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		if c, ok := info.Conn.(*guardedConn); ok {
			conn, before = c, c.count()
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
