// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"slices"
	"sync"
	"time"
)

// serverActivity is what this host receives from a backend server, on all connections together. It is safe
// for concurrent use.
type serverActivity struct {
	mu sync.Mutex
	// streams has the streams in progress, and recent the ones that ended last. waitingSince is when
	// the server last sent something or, if it has not since, when the first of those in progress was
	// sent.
	streams      map[*streamActivity]bool
	recent       []*streamActivity
	waitingSince time.Time
	// receivedAt is when the server last sent something; zero if it never has.
	receivedAt time.Time
	// asked is closed when the last question to the server has ended. Its result is kept until askedAt
	// plus probePause.
	asked   chan struct{}
	askedAt time.Time
	answer  finding
}

// streamActivity is what this host receives for one stream. The mutex of the server's activity guards it.
type streamActivity struct {
	server *serverActivity
	sentAt time.Time
	// receivedAt is when the server last sent something for the stream; zero if it never has.
	receivedAt time.Time
}

// maxRecentStreams limits the streams that are kept after their ends.
const maxRecentStreams = 16

// begin records that a stream is sent to the server. Its end must be called.
func (a *serverActivity) begin(now time.Time) *streamActivity {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.streams) == 0 {
		a.streams, a.waitingSince = make(map[*streamActivity]bool), now
	}
	s := &streamActivity{server: a, sentAt: now}
	a.streams[s] = true
	return s
}

// end records that the stream has ended.
func (s *streamActivity) end() {
	a := s.server
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.streams, s)
	if a.recent = append(a.recent, s); len(a.recent) > maxRecentStreams {
		a.recent = slices.Delete(a.recent, 0, 1)
	}
}

// received records that the server has sent something for the stream.
func (s *streamActivity) received(now time.Time) {
	a := s.server
	a.mu.Lock()
	defer a.mu.Unlock()
	s.receivedAt, a.receivedAt, a.waitingSince = now, now, now
}

// lastReceived returns when the server last sent something for the stream; zero if it never has.
func (s *streamActivity) lastReceived() time.Time {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.receivedAt
}

// earlierReceive reports whether the server has sent something within the given time for a stream that was
// sent before this one. If so, connections to it have not become silent all together.
func (s *streamActivity) earlierReceive(now time.Time, within time.Duration) bool {
	a := s.server
	a.mu.Lock()
	defer a.mu.Unlock()
	holds := func(other *streamActivity) bool {
		return other.sentAt.Before(s.sentAt) && now.Sub(other.receivedAt) < within
	}
	for other := range a.streams {
		if holds(other) {
			return true
		}
	}
	return slices.ContainsFunc(a.recent, holds)
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
	return len(a.streams) > 0 && now.Sub(a.waitingSince) >= duration
}

// ask returns what look finds out about the server. It does not call look while a call is in progress or the
// last one was a short while ago, and returns the result of that one.
func (a *serverActivity) ask(look func() finding) finding {
	a.mu.Lock()
	if a.asked == nil || !a.askedAt.IsZero() && time.Since(a.askedAt) >= probePause {
		asked := make(chan struct{})
		a.asked, a.askedAt = asked, time.Time{}
		a.mu.Unlock()
		result := look()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.askedAt, a.answer = time.Now(), result
		close(asked)
		return result
	}
	asked := a.asked
	a.mu.Unlock()
	<-asked
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answer
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
