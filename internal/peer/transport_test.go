// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	// directDelay is the one-way latency between two hosts.
	directDelay = time.Millisecond
	// headBytes is about the size of the header of a message.
	headBytes = 250
)

// directTransport passes requests to the handlers of other hosts without connections, so that
// fleets of many hundred hosts fit in a test. Each message takes its time on a link of 10 Mbit/s.
// It is safe for concurrent use.
type directTransport struct {
	mu sync.Mutex
	// hosts has the handlers by address.
	hosts map[string]http.Handler
	// sent counts the bytes of all messages.
	sent int64
}

func newDirectTransport() *directTransport {
	return &directTransport{hosts: make(map[string]http.Handler)}
}

// serve sets the handler of an address; nil refuses connections.
func (d *directTransport) serve(address string, h http.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts[address] = h
}

func (d *directTransport) bytes() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sent
}

var errConnectionRefused = errors.New("connection refused")

// RoundTrip serves a request with the handler of its host.
func (d *directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	size := max(r.ContentLength, 0)
	d.transmit(size)
	d.mu.Lock()
	h := d.hosts[r.URL.Host]
	d.mu.Unlock()
	if h == nil {
		return nil, errConnectionRefused
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	d.transmit(int64(w.Body.Len()))
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// transmit waits for the time that a message of the size takes.
func (d *directTransport) transmit(size int64) {
	d.mu.Lock()
	d.sent += size + headBytes
	d.mu.Unlock()
	time.Sleep(directDelay + time.Duration(float64(size+headBytes)/smallLink*float64(time.Second)))
}
