// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/ratelimit"
	"github.com/wingvale/wingvale/verdict"
)

// fill takes count places of a run, and waits for those of requests that are ending.
func (s *loopbackSite) fill(t *testing.T, instance string, count int) {
	t.Helper()
	const patience = 10 * time.Second
	began := time.Now()
	for taken := 0; taken < count; {
		if s.limits.Acquire(t.Context(), instance) {
			taken++
			continue
		}
		s.limits.Released(instance)
		assert.Assert(t, time.Since(began) < patience, "only %d places of %s are free", taken, instance)
		time.Sleep(time.Millisecond)
	}
}

// A hedge that was not counted took another request of its host from the count when it ended, so that
// a server that became brittle was sent more than it has room for.
func TestHedgeIsReleasedButNotAcquired(t *testing.T) {
	asked := make(chan struct{}, 2)
	hedged := make(chan struct{})
	slowFirst := func(w io.Writer, r *http.Request) bool {
		asked <- struct{}{}
		if len(asked) == 1 {
			<-hedged
		} else {
			close(hedged)
		}
		writeAnswer(w, r, framingLength, "text/plain", "hello", len("hello"))
		return false
	}
	s := newLoopbackSite(t, newScriptedServer(t, slowFirst), newScriptedServer(t, slowFirst))
	instances := []string{plainService + "-0", plainService + "-1"}
	for _, instance := range instances {
		s.fill(t, instance, 1)
	}
	_, err := s.serve(t, "repeatable")
	assert.NilError(t, err)
	assert.Equal(t, len(asked), 2, "the request was hedged")
	for _, instance := range instances {
		s.limits.Merge([]ratelimit.Limit{{Instance: instance, Brittle: true, Rejections: 100, Version: 1}})
		s.fill(t, instance, loopbackSlots-1)
		assert.Assert(t, !s.limits.Acquire(t.Context(), instance), "%s is overfilled", instance)
	}
}

// Requests that were denied a place took those of requests that ended, and the server stayed idle.
func TestDeniedRequestsKeepPlaces(t *testing.T) {
	answer := func(w io.Writer, r *http.Request) bool {
		writeAnswer(w, r, framingLength, "text/plain", "hello", len("hello"))
		return false
	}
	const instance = plainService + "-0"
	s := newLoopbackSite(t, newScriptedServer(t, answer))
	s.limits.Merge([]ratelimit.Limit{{Instance: instance, Brittle: true, Rejections: 100, Version: 1}})
	for range 3 {
		s.fill(t, instance, loopbackSlots)
		_, err := s.serve(t, "once")
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		for range loopbackSlots {
			s.limits.Released(instance)
		}
	}
	_, err := s.serve(t, "once")
	assert.NilError(t, err)
}
