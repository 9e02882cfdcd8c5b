// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package harness

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// Request is one attempt of a caller.
type Request struct {
	ID       string
	Method   string
	Host     string
	Path     string
	Key      string
	Header   http.Header
	Body     []byte
	Deadline time.Duration
}

// Reply is what a caller has received.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is the error of an attempt without an answer, or with one that is not whole.
	Err error
}

// NewID returns a new id of an attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// NewClient returns a client that opens a connection for each request.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// Send sends one attempt to a node and reads the whole answer.
func Send(client *http.Client, node netip.AddrPort, q Request) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+node.String()+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return Reply{Err: err}
	}
	r.Host = q.Host
	for name, values := range q.Header {
		r.Header[name] = values
	}
	r.Header.Set("Attempt-Id", q.ID)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	if q.Key != "" {
		r.Header.Set("Authorization", "Bearer "+q.Key)
	}
	response, err := client.Do(r)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: body, Err: err}
}
