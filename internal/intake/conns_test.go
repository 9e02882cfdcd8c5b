// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package intake_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/intake"
)

// serveWithin serves with at most max connections, and returns a function that connects.
func serveWithin(t *testing.T, limit int, h http.Handler) (dial func() net.Conn) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := intake.NewConns(intake.ConnsOptions{Listener: "test", Max: limit, Log: log, Scope: tally.NoopScope})
	s := &http.Server{Handler: h, ConnState: c.Track}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// request sends a request, and reports whether the first byte of an answer comes.
func request(c net.Conn) bool {
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// Connections that send nothing kept new ones out.
func TestSilentConnectionsKeepNewOnesOut(t *testing.T) {
	dial := serveWithin(t, 4, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	for range 20 {
		dial()
	}
	for range 10 {
		assert.Assert(t, request(dial()))
	}
}

// A connection with a request in progress was closed for a new one.
func TestConnectionWithRequestIsClosedForNewOne(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 4)
	dial := serveWithin(t, 4, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		w.WriteHeader(http.StatusOK)
	}))
	answers := make(chan bool, 4)
	for range 4 {
		c := dial()
		go func() { answers <- request(c) }()
		<-started
	}
	for range 8 {
		assert.Check(t, !request(dial()), "a fifth connection is served")
	}
	close(release)
	for range 4 {
		assert.Check(t, <-answers)
	}
}
