// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"
)

// serverActivity is what this host receives from a backend server, on all connections together. It is safe
// for concurrent use.
type serverActivity struct {
	mu sync.Mutex
	// streams is the number of streams in progress, and waitingSince is when the server last sent
	// something or, if it has not since, when the first of them was sent.
	streams      int
	waitingSince time.Time
	// receivedAt is when the server last sent something; zero if it never has.
	receivedAt time.Time
}

// begin records that a stream is sent to the server, until the returned function is called.
func (a *serverActivity) begin(now time.Time) (end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.streams == 0 {
		a.waitingSince = now
	}
	a.streams++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.streams--
	}
}

// received records that the server has sent something.
func (a *serverActivity) received(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receivedAt, a.waitingSince = now, now
}

// sinceReceived returns how long ago the server last sent something; it reports false if it never has.
func (a *serverActivity) sinceReceived(now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.receivedAt), !a.receivedAt.IsZero()
}

// sends reports whether the server has sent something within the given time.
func (a *serverActivity) sends(now time.Time, within time.Duration) bool {
	since, ok := a.sinceReceived(now)
	return ok && since < within
}

// silent reports whether the server has sent nothing for the given time although it has streams in progress.
func (a *serverActivity) silent(now time.Time, duration time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.streams > 0 && now.Sub(a.waitingSince) >= duration
}

// activity returns the activity of a server. That of a server which is not known is recorded for the
// caller alone.
func (s *serverSet) activity(instance string) *serverActivity {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.byID[instance]; k != nil {
		return k.activity
	}
	return &serverActivity{}
}

// sendingServers returns how many servers of a service other than the given one have sent something within
// the given time.
func (s *serverSet) sendingServers(service, except string, within time.Duration) int {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, k := range s.serversOf(service) {
		if k.Instance != except && k.activity.sends(now, within) {
			count++
		}
	}
	return count
}

// silentServers returns the servers of a service that have sent nothing for the given time although they
// have streams in progress.
func (s *serverSet) silentServers(service string, duration time.Duration) []string {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []string
	for _, k := range s.serversOf(service) {
		if k.activity.silent(now, duration) {
			silent = append(silent, k.Instance)
		}
	}
	return silent
}
