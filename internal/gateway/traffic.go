// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"io"
	"net/http"
	"path"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/handover"
)

// traffic counts the bytes of message bodies sent to and received from other nodes, by kind of
// message. Headers are not counted.
type traffic struct{ scope tally.Scope }

// messageKind derives the kind of a message, one of a small set, from its path.
func messageKind(urlPath string) string {
	switch {
	case strings.Contains(urlPath, "stage"):
		return "stages"
	case strings.Contains(urlPath, "engine"):
		return "engines"
	case urlPath == handover.Path:
		return "handover"
	}
	switch path.Base(urlPath) {
	case "Exchange", "Probe":
		return "heartbeat"
	case "Compare", "Fetch", "Confirm":
		return "synchronise"
	case "Push", "Advertise":
		return "push"
	case "Part":
		return "part"
	default:
		return "other"
	}
}

func (t traffic) counters(urlPath string) (sent, received tally.Counter) {
	s := t.scope.Tagged(map[string]string{"message": messageKind(urlPath)})
	return s.Counter("bytes_sent"), s.Counter("bytes_received")
}

// maxPeerMessage limits the answer of a peer, except one that is an answer to a caller.
const maxPeerMessage = 8 << 20

// client returns a transport that counts the bodies of requests and responses, and limits those of responses.
func (t traffic) client(next http.RoundTripper) http.RoundTripper {
	return countingTransport{traffic: t, next: next}
}

// handler returns a handler that counts the bodies of requests and responses.
func (t traffic) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent, received := t.counters(r.URL.Path)
		r.Body = countingBody{ReadCloser: r.Body, counter: received}
		next.ServeHTTP(countingWriter{ResponseWriter: w, counter: sent}, r)
	})
}

type countingTransport struct {
	traffic traffic
	next    http.RoundTripper
}

// RoundTrip counts a request when it is sent and its response as it is read.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent, received := c.traffic.counters(r.URL.Path)
	sent.Inc(max(r.ContentLength, 0))
	response, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = countingBody{ReadCloser: response.Body, counter: received}
	if r.URL.Path != handover.Path {
		response.Body = http.MaxBytesReader(nil, response.Body, maxPeerMessage)
	}
	return response, nil
}

// CloseIdleConnections makes http.Client.CloseIdleConnections work.
func (c countingTransport) CloseIdleConnections() {
	(&http.Client{Transport: c.next}).CloseIdleConnections()
}

type countingBody struct {
	io.ReadCloser
	counter tally.Counter
}

// Read counts the bytes read.
func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.counter.Inc(int64(n))
	return n, err
}

type countingWriter struct {
	http.ResponseWriter
	counter tally.Counter
}

// Write counts the bytes written.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.counter.Inc(int64(n))
	return n, err
}

// Unwrap makes http.ResponseController work.
func (w countingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
