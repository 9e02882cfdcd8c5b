// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/verdict"
)

func TestIsolatedHostServesThroughAnother(t *testing.T) {
	for _, route := range []string{"once", "again", "stream"} {
		withSite(t, 3, 10, func(t *testing.T, s *site) {
			s.isolate(0)
			began := time.Now()
			var sink recorder
			assert.NilError(t, s.serve(t.Context(), route, &sink), route)
			assert.Equal(t, sink.body.String(), "answer")
			assert.Equal(t, s.runs.Load(), int32(1))
			assert.Equal(t, <-s.ids, "id-1")
			assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%v", time.Since(began))
			assert.Equal(t, s.hosts[0].count("sent"), int64(1))
			counted := int64(0)
			for _, h := range s.hosts {
				counted += h.count("requests")
			}
			assert.Equal(t, counted, int64(1), "the request counts at two hosts")
		})
	}
}

// A request that was handed over must not be handed over again, whatever its host learns.
func TestHostsThatBelieveEachOtherInTouchDoNotLoop(t *testing.T) {
	for _, aware := range []bool{false, true} {
		withSite(t, 2, 10, func(t *testing.T, s *site) {
			s.isolate(0)
			s.cut(1)
			if aware {
				s.hosts[1].isolated.Store(true)
			} else {
				time.AfterFunc(time.Second, func() { s.hosts[1].isolated.Store(true) })
			}
			err := s.serve(t.Context(), "once", &recorder{})
			assert.Equal(t, verdict.As(err).Verdict, verdict.NotRun, "%v", err)
			assert.Assert(t, verdict.As(err).RetryAfter > 0)
			assert.Equal(t, s.hosts[0].count("sent")+s.hosts[1].count("sent"), int64(1))
			assert.Equal(t, s.hosts[1].count("sent"), int64(0))
			assert.Equal(t, s.runs.Load(), int32(0))
		})
	}
}

func TestHostServesItselfIfNoneIsInTouch(t *testing.T) {
	withSite(t, 3, 10, func(t *testing.T, s *site) {
		s.hosts[0].isolated.Store(true)
		s.hosts[0].targets = nil
		assert.NilError(t, s.serve(t.Context(), "once", &recorder{}))
		assert.Equal(t, s.hosts[0].count("sent"), int64(0))
	})
	withSite(t, 3, 10, func(t *testing.T, s *site) {
		for _, h := range s.hosts {
			h.isolated.Store(true)
		}
		var sink recorder
		assert.NilError(t, s.serve(t.Context(), "again", &sink))
		assert.Equal(t, sink.body.String(), "answer")
		assert.Equal(t, s.runs.Load(), int32(1))
	})
}

// Requests that hang when a host loses its servers used to be refused in the end.
func TestRequestsThatArrivedBeforeIsolationAreHandedOver(t *testing.T) {
	for _, route := range []string{"once", "again", "stream"} {
		withSite(t, 2, 10, func(t *testing.T, s *site) {
			s.cut(0)
			time.AfterFunc(time.Second, func() { s.hosts[0].isolated.Store(true) })
			var sink recorder
			began := time.Now()
			assert.NilError(t, s.serve(t.Context(), route, &sink), route)
			assert.Assert(t, time.Since(began) < 1500*time.Millisecond, "%s: handed over only after %v", route, time.Since(began))
			assert.Equal(t, sink.body.String(), "answer", route)
			assert.Equal(t, s.runs.Load(), int32(1), route)
			assert.Equal(t, s.hosts[0].count("sent"), int64(1), route)
		})
	}
}

// killWhileRunning kills the host that runs the request at the backend server.
func (s *site) killWhileRunning() {
	first := true
	s.answer = func(w http.ResponseWriter, r *http.Request) {
		if !first {
			_, _ = io.WriteString(w, "answer")
			return
		}
		first = false
		s.network.Kill(netip.MustParseAddrPort(r.RemoteAddr).Addr())
		<-r.Context().Done()
	}
}

func TestKilledHostsRequestRunsAgainOnlyIfItMay(t *testing.T) {
	for _, c := range []struct {
		route   string
		reserve float64
		want    verdict.Verdict
		runs    int32
	}{
		{route: "again", reserve: 10, want: verdict.Ran, runs: 2},
		{route: "again", reserve: 0, want: verdict.Ran, runs: 2},
		{route: "once", reserve: 10, want: verdict.Unknown, runs: 1},
		{route: "stream", reserve: 10, want: verdict.Unknown, runs: 1},
	} {
		t.Run(fmt.Sprint(c.route, c.reserve), func(t *testing.T) {
			withSite(t, 4, c.reserve, func(t *testing.T, s *site) {
				s.isolate(0)
				s.killWhileRunning()
				err := s.serve(t.Context(), c.route, &recorder{})
				assert.Equal(t, verdict.Of(err), c.want, "%v", err)
				assert.Equal(t, s.runs.Load(), c.runs)
			})
		})
	}
}

// Each host that is killed costs a retry, and an attempt of the request.
func TestRunsOnAllHostsStayWithinAttempts(t *testing.T) {
	withSite(t, 6, 100, func(t *testing.T, s *site) {
		s.isolate(0)
		s.answer = func(_ http.ResponseWriter, r *http.Request) {
			s.network.Kill(netip.MustParseAddrPort(r.RemoteAddr).Addr())
			<-r.Context().Done()
		}
		err := s.serve(t.Context(), "again", &recorder{})
		assert.Equal(t, verdict.Of(err), verdict.Unknown, "%v", err)
		assert.Equal(t, s.runs.Load(), int32(maxAttempts))
	})
}

func TestHandoversStayWithinRetryBudget(t *testing.T) {
	const requests = 20
	withSite(t, 60, 8, func(t *testing.T, s *site) {
		s.isolate(0)
		s.answer = func(_ http.ResponseWriter, r *http.Request) {
			s.network.Kill(netip.MustParseAddrPort(r.RemoteAddr).Addr())
			<-r.Context().Done()
		}
		for range requests {
			assert.Equal(t, verdict.Of(s.serve(t.Context(), "again", &recorder{})), verdict.Unknown)
		}
		// The budget of one host allows 0.7 × 8 retries, half of them at once.
		assert.Assert(t, s.runs.Load() <= requests+6, "%d runs", s.runs.Load())
		assert.Assert(t, s.runs.Load() > requests)
	})
}

func TestLeavingHostsAreSkipped(t *testing.T) {
	withSite(t, 3, 10, func(t *testing.T, s *site) {
		s.isolate(0)
		for i := range 10 {
			if i == 5 {
				s.hosts[1].core.StartDrain(relay.Drain{End: time.Now().Add(100 * time.Millisecond), OthersServe: func() bool { return true }})
			}
			assert.NilError(t, s.serve(t.Context(), "once", &recorder{}))
		}
		assert.Equal(t, s.runs.Load(), int32(10))
	})
}

// A caller without rights must cost no other host anything.
func TestIsolatedHostRefusesUnknownKeysItself(t *testing.T) {
	withSite(t, 2, 10, func(t *testing.T, s *site) {
		s.isolate(0)
		err := s.serve(t.Context(), "closed", &recorder{})
		assert.Equal(t, verdict.As(err).Reason, relay.ReasonNoKey)
		assert.Equal(t, s.hosts[0].count("sent"), int64(0))
	})
}

// A caller that learns that its request did not run may repeat it; a late error must say so only if
// it is true.
func TestDeadlineEndsHandover(t *testing.T) {
	withSite(t, 2, 10, func(t *testing.T, s *site) {
		s.isolate(0)
		s.answer = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		began := time.Now()
		err := s.serve(t.Context(), "once", &recorder{})
		assert.Equal(t, verdict.As(err).Verdict, verdict.Unknown)
		assert.Equal(t, verdict.As(err).Reason, relay.ReasonTimeout)
		assert.Assert(t, time.Since(began) <= 6*time.Second, "%v", time.Since(began))
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, s.active.Load(), int32(0))
	})
}

func TestDisconnectedCallerStopsBackendServer(t *testing.T) {
	withSite(t, 2, 10, func(t *testing.T, s *site) {
		s.isolate(0)
		s.answer = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		err := s.serve(ctx, "once", &recorder{})
		assert.Assert(t, errors.Is(err, relay.ErrDisconnected))
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, s.active.Load(), int32(0))
	})
}

// A stream that the backend server broke off must not look complete behind two hosts.
func TestCutAnswerOfBackendServerStaysCut(t *testing.T) {
	withSite(t, 2, 10, func(t *testing.T, s *site) {
		s.isolate(0)
		s.answer = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		var sink recorder
		err := s.serve(t.Context(), "stream", &sink)
		assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
		assert.Equal(t, sink.body.String(), "data: 1\n\n")
	})
}

// A stream that was running when its host lost the servers used to be cut off.
func TestRunningStreamIsResumedThroughAnotherHost(t *testing.T) {
	for _, resumes := range []bool{true, false} {
		withSite(t, 3, 10, func(t *testing.T, s *site) {
			s.answer = func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				if last := r.Header.Get("Last-Event"); last != "" && resumes {
					assert.Check(t, last == "1")
					_, _ = io.WriteString(w, "\ufeffid: 2\ndata: b\n\n")
					return
				} else if last != "" {
					w.WriteHeader(http.StatusGone)
					return
				}
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\nda")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			}
			time.AfterFunc(100*time.Millisecond, func() { s.isolate(0) })
			var sink recorder
			err := s.serve(t.Context(), "resumable", &sink)
			assert.Equal(t, sink.starts, 1)
			if resumes {
				assert.NilError(t, err)
				assert.Equal(t, sink.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
			} else {
				assert.Assert(t, errors.Is(err, relay.ErrCut), "%v", err)
				assert.Equal(t, sink.body.String(), "id: 1\ndata: a\n\n")
			}
			assert.Equal(t, s.runs.Load(), int32(2))
		})
	}
}
