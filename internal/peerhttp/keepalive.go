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

// signInterval is how often a host sends a sign of life while it works on a call.
const signInterval = 150 * time.Millisecond

type patientKey struct{}

// Patient marks calls whose responses may take long. Their handlers must be wrapped in KeepAlive.
func Patient(ctx context.Context) context.Context {
	return context.WithValue(ctx, patientKey{}, true)
}

func isPatient(ctx context.Context) bool {
	return ctx.Value(patientKey{}) != nil
}

// KeepAlive returns a handler that sends signs of life, as informational responses, until h
// responds. The response must not be streamed.
func KeepAlive(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := &signWriter{w: w, header: make(http.Header)}
		s.mu.Lock()
		s.timer = time.AfterFunc(signInterval, s.sendSign)
		s.mu.Unlock()
		defer s.stop()
		h.ServeHTTP(s, r)
	})
}

// signWriter writes signs of life before the response.
type signWriter struct {
	w http.ResponseWriter
	// header is the header of the response, which signs of life must not include.
	header http.Header

	mu         sync.Mutex
	timer      *time.Timer
	headerSent bool
}

func (s *signWriter) sendSign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headerSent {
		return
	}
	s.w.WriteHeader(http.StatusProcessing)
	s.timer.Reset(signInterval)
}

// stop ends the signs of life.
func (s *signWriter) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headerSent = true
	s.timer.Stop()
}

// Header returns the header of the response.
func (s *signWriter) Header() http.Header { return s.header }

// WriteHeader sends the header of the response.
func (s *signWriter) WriteHeader(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(status)
}

// start sends the header of the response, once. The mutex must be held.
func (s *signWriter) start(status int) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	maps.Copy(s.w.Header(), s.header)
	s.w.WriteHeader(status)
}

// Write writes part of the response.
func (s *signWriter) Write(part []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start(http.StatusOK)
	return s.w.Write(part)
}
