// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peerhttp

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"
)

// keepAliveInterval is how often a host sends an informational response while it works on a call.
const keepAliveInterval = 150 * time.Millisecond

type patientKey struct{}

// Patient returns a context that marks calls whose responses may take long. Their handlers must be
// wrapped in KeepAlive.
func Patient(ctx context.Context) context.Context {
	return context.WithValue(ctx, patientKey{}, true)
}

func isPatient(ctx context.Context) bool {
	return ctx.Value(patientKey{}) != nil
}

// KeepAlive returns a handler that sends informational responses until h responds, so that the
// caller knows that the connection works. The response must not be streamed.
func KeepAlive(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := &keepAliveWriter{w: w, header: make(http.Header)}
		s.mu.Lock()
		s.timer = time.AfterFunc(keepAliveInterval, s.sendKeepAlive)
		s.mu.Unlock()
		defer s.stop()
		h.ServeHTTP(s, r)
	})
}

// keepAliveWriter sends informational responses before the response.
type keepAliveWriter struct {
	w http.ResponseWriter
	// header is the header of the response, which the informational responses must not include.
	header http.Header

	mu         sync.Mutex
	timer      *time.Timer
	headerSent bool
}

func (s *keepAliveWriter) sendKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headerSent {
		return
	}
	s.w.WriteHeader(http.StatusProcessing)
	s.timer.Reset(keepAliveInterval)
}

// stop ends the informational responses.
func (s *keepAliveWriter) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headerSent = true
	s.timer.Stop()
}

// Header returns the header of the response.
func (s *keepAliveWriter) Header() http.Header { return s.header }

// WriteHeader sends the header of the response.
func (s *keepAliveWriter) WriteHeader(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(status)
}

// start sends the header of the response, once. The mutex must be held.
func (s *keepAliveWriter) start(status int) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	maps.Copy(s.w.Header(), s.header)
	s.w.WriteHeader(status)
}

// Write writes part of the response.
func (s *keepAliveWriter) Write(part []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(http.StatusOK)
	return s.w.Write(part)
}
