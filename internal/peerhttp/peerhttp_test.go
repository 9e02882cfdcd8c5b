// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peerhttp_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/memnet"
	"github.com/wingvale/wingvale/internal/peerhttp"
)

var (
	clientAddr = netip.MustParseAddr("10.0.0.1")
	serverAddr = netip.MustParseAddrPort("10.0.0.2:80")
)

// site is a client host that calls a server host.
type site struct {
	network *memnet.Network
	client  *http.Client
	// opened counts connections, and calls the calls that the server received.
	opened atomic.Int32
	calls  atomic.Int32
	// delay is the time until the server answers, in nanoseconds.
	delay atomic.Int64
}

func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(s.delay.Load())):
		w.Header().Set("Told", "yes")
		_, _ = w.Write(body)
	}
}

func (s *site) silenceConnections() {
	s.network.Silence(func(_, _ netip.Addr) bool { return true })
}

// call makes a call and returns how long it took.
func (s *site) call(ctx context.Context) (time.Duration, error) {
	startedAt := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+serverAddr.String()+"/", strings.NewReader("hello"))
	if err != nil {
		return 0, err
	}
	response, err := s.client.Do(r)
	if err != nil {
		return time.Since(startedAt), err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && (string(body) != "hello" || response.Header.Get("Told") != "yes") {
		err = errors.New("unexpected response")
	}
	return time.Since(startedAt), err
}

// callWithin makes a call with a timeout.
func (s *site) callWithin(within time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return s.call(ctx)
}

// openConnections makes concurrent calls, so that their connections are kept idle.
func (s *site) openConnections(t *testing.T, count int) {
	t.Helper()
	s.delay.Store(int64(5 * time.Millisecond))
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			_, err := s.callWithin(time.Second)
			assert.Check(t, err)
		})
	}
	all.Wait()
	s.delay.Store(0)
}

func withSite(t *testing.T, do func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{network: memnet.New(func(_, _ netip.Addr) time.Duration { return time.Millisecond })}
		l, err := s.network.Listen(serverAddr)
		assert.NilError(t, err)
		server := &http.Server{Handler: peerhttp.KeepAlive(s)}
		go func() { _ = server.Serve(l) }()
		dial := s.network.Dialer(clientAddr)
		s.client = &http.Client{Transport: peerhttp.New(func(ctx context.Context, network, address string) (net.Conn, error) {
			s.opened.Add(1)
			return dial(ctx, network, address)
		}, tally.NoopScope)}
		do(t, s)
		s.client.CloseIdleConnections()
		s.network.Freeze(serverAddr.Addr(), false)
		_ = server.Close()
	})
}

// Guards against kept connections that have become silent: ten of them were used until a call timed
// out on each.
func TestSilentConnectionsAreDiscardedTogether(t *testing.T) {
	withSite(t, func(t *testing.T, s *site) {
		s.openConnections(t, 10)
		s.silenceConnections()
		took, err := s.callWithin(80 * time.Millisecond)
		assert.NilError(t, err)
		assert.Assert(t, took < 60*time.Millisecond, "took %v", took)
		opened := s.opened.Load()
		for range 10 {
			took, err := s.callWithin(80 * time.Millisecond)
			assert.NilError(t, err)
			assert.Assert(t, took < 10*time.Millisecond, "took %v", took)
		}
		assert.Equal(t, s.opened.Load(), opened)
	})
}

func TestConcurrentCallsAreAllAnswered(t *testing.T) {
	withSite(t, func(t *testing.T, s *site) {
		s.openConnections(t, 10)
		s.silenceConnections()
		var all sync.WaitGroup
		for range 30 {
			all.Go(func() {
				_, err := s.callWithin(80 * time.Millisecond)
				assert.Check(t, err)
			})
		}
		all.Wait()
	})
}

func TestPatientCallIsRetried(t *testing.T) {
	withSite(t, func(t *testing.T, s *site) {
		s.delay.Store(int64(300 * time.Millisecond))
		startedAt := time.Now()
		time.AfterFunc(100*time.Millisecond, s.silenceConnections)
		ctx, cancel := context.WithTimeout(peerhttp.Patient(t.Context()), 5*time.Second)
		defer cancel()
		_, err := s.call(ctx)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(startedAt) < time.Second, "took %v", time.Since(startedAt))
	})
}

func TestPatientCallWithSignsOfLifeIsMadeOnce(t *testing.T) {
	withSite(t, func(t *testing.T, s *site) {
		s.delay.Store(int64(5 * time.Second))
		_, err := s.call(peerhttp.Patient(t.Context()))
		assert.NilError(t, err)
		assert.Equal(t, s.calls.Load(), int32(1))
	})
}

// A paused host must not get a new connection for each call.
func TestPausedHostIsHedgedOnce(t *testing.T) {
	withSite(t, func(t *testing.T, s *site) {
		s.openConnections(t, 1)
		opened := s.opened.Load()
		s.network.Freeze(serverAddr.Addr(), true)
		for range 5 {
			took, err := s.callWithin(80 * time.Millisecond)
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.Equal(t, took, 80*time.Millisecond)
		}
		// Each call that timed out closed its connection, so that the next one opens another.
		assert.Assert(t, s.opened.Load()-opened <= 6, "%d connections for 5 calls", s.opened.Load()-opened)
	})
}
