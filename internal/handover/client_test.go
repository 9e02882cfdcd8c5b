// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package handover_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/handover"
	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/peerhttp"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/verdict"
)

var (
	sender   = netip.MustParseAddr("10.0.0.1")
	receiver = netip.MustParseAddrPort("10.0.0.2:80")
)

// hopLimit is the number of requests that may be handed over at once.
const hopLimit = 5

type serveFunc = func(ctx context.Context, r *relay.Request, sink relay.Sink) error

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// hop is a host that hands requests over to another one.
type hop struct {
	network *memnet.Network
	client  *handover.Client
	scope   tally.TestScope
	// calls counts the requests that the other host served.
	calls atomic.Int32
	// dials counts the connections to it.
	dials atomic.Int32
	// targets are the hosts that reach backend servers.
	targets atomic.Pointer[[]handover.Target]
	// isolated is whether the other host reaches no backend server.
	isolated atomic.Bool
}

func newClient(httpClient *http.Client, scope tally.Scope, limit int, targets ...handover.Target) *handover.Client {
	return newClientOf(httpClient, scope, limit, func() []handover.Target { return targets })
}

func newClientOf(httpClient *http.Client, scope tally.Scope, limit int, targets func() []handover.Target) *handover.Client {
	return handover.New(handover.Options{
		Isolated: func() bool { return true }, Targets: targets,
		HTTP: httpClient, Log: discardLog(), Scope: scope, Random: rand.New(rand.NewPCG(1, 1)), Limit: limit,
	})
}

// withHop runs a test over a network in memory, where wrap may replace the handler of the other
// host.
func withHop(t *testing.T, serve serveFunc, wrap func(http.Handler) http.Handler, do func(t *testing.T, h *hop)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &hop{network: memnet.New(func(_, _ netip.Addr) time.Duration { return time.Millisecond }), scope: tally.NewTestScope("", nil)}
		l, err := h.network.Listen(receiver)
		assert.NilError(t, err)
		var handler http.Handler = handover.NewHandler(handover.HandlerOptions{
			Isolated: h.isolated.Load,
			Serve: func(ctx context.Context, r *relay.Request, sink relay.Sink) error {
				h.calls.Add(1)
				return serve(ctx, r, sink)
			},
			Log: discardLog(), Scope: tally.NoopScope,
		})
		if wrap != nil {
			handler = wrap(handler)
		}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(l) }()
		dial := h.network.Dialer(sender)
		httpClient := &http.Client{Transport: peerhttp.New(func(ctx context.Context, network, address string) (net.Conn, error) {
			h.dials.Add(1)
			return dial(ctx, network, address)
		}, tally.NoopScope)}
		h.setTargets(receiver)
		h.client = newClientOf(httpClient, h.scope, hopLimit, func() []handover.Target { return *h.targets.Load() })
		defer func() {
			httpClient.CloseIdleConnections()
			h.network.HealAll()
			h.network.Freeze(receiver.Addr(), false)
			_ = server.Close()
			time.Sleep(time.Minute)
		}()
		do(t, h)
	})
}

// setTargets sets the hosts that reach backend servers.
func (h *hop) setTargets(peers ...netip.AddrPort) {
	var targets []handover.Target
	for _, peer := range peers {
		targets = append(targets, handover.Target{Peer: peer})
	}
	h.targets.Store(&targets)
}

// handOver hands a request over.
func (h *hop) handOver(ctx context.Context, sink relay.Sink, repeatable bool) relay.HandoffResult {
	handoff := relay.Handoff{Request: newRequest(time.Now())}
	if repeatable {
		handoff.TakeRetry = func(int) bool { return true }
	}
	return h.client.HandOver(ctx, handoff, sink)
}

func answerTwoParts(_ context.Context, _ *relay.Request, sink relay.Sink) error {
	sink.Start(http.StatusOK, http.Header{"Kind": {"caf\xe9"}})
	if err := sink.Write([]byte("one ")); err != nil {
		return relay.ErrCut
	}
	time.Sleep(time.Second)
	if err := sink.Write([]byte("two")); err != nil {
		return relay.ErrCut
	}
	return nil
}

func assertFailed(t *testing.T, result relay.HandoffResult, want verdict.Verdict, started bool) {
	t.Helper()
	assert.Assert(t, result.Err != nil)
	assert.Equal(t, verdict.Of(result.Err), want, "%v", result.Err)
	assert.Equal(t, result.Started, started)
	assert.Assert(t, result.Broken)
}

func TestRequestAndAnswerPassThrough(t *testing.T) {
	var got *relay.Request
	serve := func(ctx context.Context, r *relay.Request, sink relay.Sink) error {
		got = r
		return answerTwoParts(ctx, r, sink)
	}
	withHop(t, serve, nil, func(t *testing.T, h *hop) {
		sent := newRequest(time.Now().Add(-time.Second))
		var sink recorder
		result := h.client.HandOver(t.Context(), relay.Handoff{Request: sent}, &sink)
		assert.NilError(t, result.Err)
		assert.Equal(t, result.Host, receiver)
		assert.Equal(t, sink.body.String(), "one two")
		assert.DeepEqual(t, sink.header, http.Header{"Kind": {"caf\xe9"}})
		assert.Assert(t, got.Forwarded)
		assert.Equal(t, string(got.Body), string(sent.Body))
		assert.Equal(t, got.ID, sent.ID)
		left := time.Until(sent.Arrived.Add(sent.CallerTimeout))
		assert.Assert(t, time.Until(got.Arrived.Add(got.CallerTimeout)) <= left, "the other host has more time than is left")
	})
}

// Streams of events are useless if a hop delays them.
func TestAnswerArrivesPieceByPiece(t *testing.T) {
	started := time.Now()
	withHop(t, answerTwoParts, nil, func(t *testing.T, h *hop) {
		started = time.Now()
		var arrivals []time.Duration
		sink := recorder{onWrite: func(string) error { arrivals = append(arrivals, time.Since(started)); return nil }}
		assert.NilError(t, h.handOver(t.Context(), &sink, false).Err)
		assert.Equal(t, len(arrivals), 2)
		assert.Assert(t, arrivals[0] < 100*time.Millisecond && arrivals[1] >= time.Second, "%v", arrivals)
	})
}

func TestErrorsArriveUnchanged(t *testing.T) {
	for _, want := range []*verdict.Error{
		verdict.New(verdict.NotRun, verdict.ReasonOverload, "full \xff").WithRetryAfter(1234 * time.Microsecond),
		verdict.New(verdict.Unknown, verdict.ReasonConnection, "lost"),
		verdict.New(verdict.Ran, verdict.ReasonServerFailed, "failed"),
	} {
		serve := func(_ context.Context, r *relay.Request, _ relay.Sink) error {
			if want.Verdict != verdict.NotRun {
				r.OnSend(r.Runs + 2)
			}
			return want
		}
		withHop(t, serve, nil, func(t *testing.T, h *hop) {
			result := h.handOver(t.Context(), &recorder{}, true)
			got := verdict.As(result.Err)
			assert.Equal(t, got.Verdict, want.Verdict)
			assert.Equal(t, got.Reason, want.Reason)
			assert.Equal(t, got.RetryAfter, want.RetryAfter)
			assert.ErrorContains(t, got, want.Err.Error())
			assert.Assert(t, !result.Broken && !result.Started)
			runs := 4
			if want.Verdict == verdict.NotRun {
				runs = 2
			}
			assert.Equal(t, result.Runs, runs)
		})
	}
}

// Guards against an answer that was not known to be whole becoming so between two hosts.
func TestOmittedEndArrives(t *testing.T) {
	for _, omit := range []bool{false, true} {
		serve := func(_ context.Context, _ *relay.Request, sink relay.Sink) error {
			if omit {
				sink.OmitEnd()
			}
			sink.Start(http.StatusOK, nil)
			return nil
		}
		withHop(t, serve, nil, func(t *testing.T, h *hop) {
			var sink recorder
			assert.NilError(t, h.handOver(t.Context(), &sink, true).Err)
			assert.Equal(t, sink.omitsEnd == 1, omit)
		})
	}
}

func TestCutAnswerArrivesCut(t *testing.T) {
	serve := func(_ context.Context, _ *relay.Request, sink relay.Sink) error {
		sink.Start(http.StatusOK, nil)
		return relay.ErrCut
	}
	withHop(t, serve, nil, func(t *testing.T, h *hop) {
		result := h.handOver(t.Context(), &recorder{}, true)
		assert.Assert(t, errors.Is(result.Err, relay.ErrCut))
		assert.Assert(t, result.Started && !result.Broken)
	})
}

// Guards against a hop that ends in good order, or in a reset, being taken for the end of the
// answer.
func TestHopThatEndsAfterAnyFrameIsNotComplete(t *testing.T) {
	wire, ends, err := handover.Frames(http.StatusOK, nil, "one", "two")
	assert.NilError(t, err)
	for _, reset := range []bool{false, true} {
		for i, end := range append([]int{0}, ends[:len(ends)-1]...) {
			replace := func(http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = w.Write(wire[:end])
					_ = http.NewResponseController(w).Flush()
					if reset {
						panic(http.ErrAbortHandler)
					}
				})
			}
			withHop(t, nil, replace, func(t *testing.T, h *hop) {
				var sink recorder
				result := h.handOver(t.Context(), &sink, true)
				assertFailed(t, result, verdict.Unknown, i >= 2)
				assert.Equal(t, result.Runs, 3)
				assert.Equal(t, sink.starts == 1, result.Started)
			})
		}
	}
}

func TestHostKilledMidway(t *testing.T) {
	for _, started := range []bool{false, true} {
		serve := func(ctx context.Context, _ *relay.Request, sink relay.Sink) error {
			if started {
				sink.Start(http.StatusOK, nil)
				_ = sink.Write([]byte("one"))
			}
			<-ctx.Done()
			return relay.ErrDisconnected
		}
		withHop(t, serve, nil, func(t *testing.T, h *hop) {
			time.AfterFunc(300*time.Millisecond, func() { h.network.Kill(receiver.Addr()) })
			began := time.Now()
			assertFailed(t, h.handOver(t.Context(), &recorder{}, false), verdict.Unknown, started)
			assert.Assert(t, time.Since(began) < 400*time.Millisecond)
		})
	}
}

func TestUnreachableHostHasNotRun(t *testing.T) {
	faults := map[string]func(h *hop){
		"refused":  func(h *hop) { h.network.Kill(receiver.Addr()) },
		"cut":      func(h *hop) { h.network.Cut(sender, receiver.Addr()) },
		"cut back": func(h *hop) { h.network.Cut(receiver.Addr(), sender) },
		"frozen":   func(h *hop) { h.network.Freeze(receiver.Addr(), true) },
	}
	for name, fault := range faults {
		for _, kept := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				withHop(t, answerTwoParts, nil, func(t *testing.T, h *hop) {
					if kept {
						assert.NilError(t, h.handOver(t.Context(), &recorder{}, false).Err)
					}
					before := h.calls.Load()
					fault(h)
					began := time.Now()
					assertFailed(t, h.handOver(t.Context(), &recorder{}, false), verdict.NotRun, false)
					assert.Assert(t, time.Since(began) <= 600*time.Millisecond, "%v", time.Since(began))
					h.network.HealAll()
					h.network.Freeze(receiver.Addr(), false)
					time.Sleep(10 * time.Second)
					assert.Equal(t, h.calls.Load(), before, "it ran after it was reported as not run")
				})
			})
		}
	}
}

// A request that takes long to send must not be taken for one that the other host did not accept.
func TestLargeRequestOverSlowLink(t *testing.T) {
	withHop(t, answerTwoParts, nil, func(t *testing.T, h *hop) {
		h.network.SetRate(sender, memnet.Mbit(8))
		request := newRequest(time.Now())
		request.Body = make([]byte, 3<<20)
		assert.NilError(t, h.client.HandOver(t.Context(), relay.Handoff{Request: request}, &recorder{}).Err)
	})
}

// Connections between hosts may become silent for good.
func TestSilentConnectionHasNotRun(t *testing.T) {
	withHop(t, answerTwoParts, nil, func(t *testing.T, h *hop) {
		assert.NilError(t, h.handOver(t.Context(), &recorder{}, false).Err)
		assert.NilError(t, h.handOver(t.Context(), &recorder{}, false).Err)
		assert.Equal(t, h.dials.Load(), int32(1), "the connection was not kept")
		h.network.Silence(func(_, _ netip.Addr) bool { return true })
		assertFailed(t, h.handOver(t.Context(), &recorder{}, false), verdict.NotRun, false)
		assert.Equal(t, h.calls.Load(), int32(2))
	})
}

// A host of an earlier build does not know the call.
func TestHostWithoutHandlerHasNotRun(t *testing.T) {
	notFound := func(http.Handler) http.Handler { return http.NotFoundHandler() }
	withHop(t, nil, notFound, func(t *testing.T, h *hop) {
		assertFailed(t, h.handOver(t.Context(), &recorder{}, false), verdict.NotRun, false)
	})
}

func TestIsolatedHostRefusesAtOnce(t *testing.T) {
	withHop(t, answerTwoParts, nil, func(t *testing.T, h *hop) {
		h.isolated.Store(true)
		began := time.Now()
		result := h.handOver(t.Context(), &recorder{}, false)
		assert.Equal(t, verdict.As(result.Err).Verdict, verdict.NotRun)
		assert.Equal(t, verdict.As(result.Err).Reason, verdict.ReasonNoServer)
		assert.Assert(t, !result.Broken)
		assert.Equal(t, h.calls.Load(), int32(0))
		assert.Assert(t, time.Since(began) < 10*time.Millisecond)
	})
}

// A request whose caller has gone must not go on running.
func TestOtherHostStopsWhenCallerDisconnects(t *testing.T) {
	stopped := make(chan struct{})
	serve := func(ctx context.Context, _ *relay.Request, _ relay.Sink) error {
		<-ctx.Done()
		close(stopped)
		return relay.ErrDisconnected
	}
	withHop(t, serve, nil, func(t *testing.T, h *hop) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		result := h.handOver(ctx, &recorder{}, false)
		assert.Equal(t, verdict.Of(result.Err), verdict.Unknown)
		select {
		case <-stopped:
		case <-time.After(100 * time.Millisecond):
			t.Error("the other host still works on it")
		}
	})
}

// A caller that reads slowly must not make the other host look silent, and one that closes its
// connection must stop it.
func TestSinkDelaysAndErrors(t *testing.T) {
	withHop(t, answerTwoParts, nil, func(t *testing.T, h *hop) {
		sink := recorder{onWrite: func(string) error { time.Sleep(2 * handover.SilenceTimeout); return nil }}
		assert.NilError(t, h.handOver(t.Context(), &sink, true).Err)
		sink = recorder{onWrite: func(string) error { return io.ErrClosedPipe }}
		result := h.handOver(t.Context(), &sink, true)
		assert.Assert(t, errors.Is(result.Err, relay.ErrCut))
	})
}

// workFor returns a function that answers after a while.
func workFor(d time.Duration) serveFunc {
	return func(_ context.Context, _ *relay.Request, sink relay.Sink) error {
		time.Sleep(d)
		sink.Start(http.StatusOK, nil)
		return nil
	}
}

// hush makes the other host silent for 3 s, one second from now.
func (h *hop) hush() {
	time.AfterFunc(time.Second, func() { h.network.Cut(receiver.Addr(), sender) })
	time.AfterFunc(4*time.Second, h.network.HealAll)
}

func TestSilentHostIsGivenUpOnlyIfRequestMayRunAgain(t *testing.T) {
	other := netip.MustParseAddrPort("10.0.0.3:80")
	for _, repeatable := range []bool{false, true} {
		withHop(t, workFor(5*time.Second), nil, func(t *testing.T, h *hop) {
			h.hush()
			h.setTargets(receiver)
			result := h.handOver(t.Context(), &recorder{}, repeatable)
			assert.NilError(t, result.Err, "no other host can take the request")
		})
		withHop(t, workFor(5*time.Second), nil, func(t *testing.T, h *hop) {
			assert.NilError(t, h.handOver(t.Context(), &recorder{}, repeatable).Err, "a host that works for long is not silent")
		})
	}
	withHop(t, workFor(5*time.Second), nil, func(t *testing.T, h *hop) {
		h.hush()
		began := time.Now()
		time.AfterFunc(500*time.Millisecond, func() { h.setTargets(receiver, other) })
		result := h.handOver(t.Context(), &recorder{}, true)
		assertFailed(t, result, verdict.Unknown, false)
		assert.Check(t, result.RetryTaken)
		assert.Check(t, time.Since(began) <= time.Second+handover.SilenceTimeout+handover.SilenceTimeout/4, "%v", time.Since(began))
	})
}

// Requests at a silent host were ended, and failed then because no retry was left.
func TestSilentHostIsLeftWithoutRetry(t *testing.T) {
	withHop(t, workFor(5*time.Second), nil, func(t *testing.T, h *hop) {
		h.hush()
		h.setTargets(receiver, netip.MustParseAddrPort("10.0.0.3:80"))
		asked := 0
		result := h.client.HandOver(t.Context(), relay.Handoff{Request: newRequest(time.Now()), TakeRetry: func(runs int) bool {
			asked++
			assert.Check(t, runs >= 1)
			return false
		}}, &recorder{})
		assert.NilError(t, result.Err)
		assert.Check(t, asked > 0)
		assert.Check(t, !result.RetryTaken)
	})
}

// An answer that had begun was cut off when the other host was silent for a while. Only one that is gone must
// be left.
func TestAnswerOfSilentHostIsCut(t *testing.T) {
	for _, gone := range []bool{false, true} {
		serve := func(_ context.Context, _ *relay.Request, sink relay.Sink) error {
			sink.Start(http.StatusOK, nil)
			time.Sleep(5 * time.Second)
			return sink.Write([]byte("end"))
		}
		withHop(t, serve, nil, func(t *testing.T, h *hop) {
			h.hush()
			h.setTargets(receiver, netip.MustParseAddrPort("10.0.0.3:80"))
			if gone {
				time.AfterFunc(2*time.Second, func() { h.setTargets() })
			}
			result := h.handOver(t.Context(), &recorder{}, true)
			if gone {
				assertFailed(t, result, verdict.Unknown, true)
				return
			}
			assert.NilError(t, result.Err)
		})
	}
}
