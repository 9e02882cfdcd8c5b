// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stagepool"
)

// hangingDriver is a driver whose stage server never answers. It records how long each call
// lasted until it was cancelled.
type hangingDriver struct {
	*fleet
	mu        sync.Mutex
	callTimes []time.Duration
}

func (s *hangingDriver) RunBatch(ctx context.Context, _ stageplan.Server, _ []stageplan.Item) ([]stageplan.Outcome, error) {
	began := time.Now()
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callTimes = append(s.callTimes, time.Since(began))
	return nil, ctx.Err()
}

// slowSpec is a service whose calls are expected to take 3 s.
var slowSpec = stageplan.Spec{Service: "read", Size: 4, Slots: 1, CallTime: 3 * time.Second, PieceTime: time.Millisecond, ResultTTL: 4 * time.Second}

func startHanging(ctx context.Context, spec stageplan.Spec) (*hangingDriver, *stagepool.Group) {
	f, _ := newFleet(ctx, 1)
	s := &hangingDriver{fleet: f}
	g := newGroup(ctx, f.peers, f.peers[0], s, s.fleet)
	g.Configure(map[string]stageplan.Spec{"read": spec}, map[string][]stageplan.Server{"read": {server(1, "a")}})
	return s, g
}

func runWithTimeout(ctx context.Context, g *stagepool.Group, request string, after time.Duration) {
	ctx, stop := context.WithTimeout(ctx, after)
	defer stop()
	w := work(request, 1)
	w.Latest, w.Deadline = time.Now().Add(10*time.Second), time.Now().Add(20*time.Second)
	g.Run(ctx, w)
}

// Both callers of a call's pieces give up after 100 ms. Without cancellation the call would
// occupy the stage server until it is overdue: after twice the expected 3 s, limited to the
// 5 s that a call may take.
func TestCallIsCancelledWhenAllCallersGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, g := startHanging(ctx, slowSpec)
		var all sync.WaitGroup
		for _, request := range []string{"x", "y"} {
			all.Go(func() { runWithTimeout(ctx, g, request, 100*time.Millisecond) })
		}
		all.Wait()
		time.Sleep(480 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Assert(t, len(s.callTimes) > 0, "the call is still under way")
		for _, callTime := range s.callTimes {
			assert.Assert(t, callTime <= 500*time.Millisecond, "kept %v", callTime)
		}
	})
}

// An overdue call is still awaited, but not longer than its caller waits. Guards against servers that
// work on for callers that have left.
func TestOverdueCallsAreCancelledWhenTheirCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		spec := slowSpec
		spec.CallTime = 100 * time.Millisecond
		s, g := startHanging(ctx, spec)
		runWithTimeout(ctx, g, "x", time.Second)
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Assert(t, len(s.callTimes) >= 2, "the call was sent again")
		for _, callTime := range s.callTimes {
			assert.Assert(t, callTime <= 1100*time.Millisecond, "kept %v", callTime)
		}
	})
}

// A call is not cancelled when only one of its two callers gives up.
func TestCallContinuesWhileOneCallerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, _ := newFleet(ctx, 1)
		g := newGroup(ctx, f.peers, f.peers[0], &slowDriver{fleet: f}, f)
		g.Configure(map[string]stageplan.Spec{"read": slowSpec}, map[string][]stageplan.Server{"read": {server(1, "a")}})
		// The first call keeps the server busy, so that the next two requests share a call.
		go ask(ctx, g, "first", "")
		time.Sleep(10 * time.Millisecond)
		go runWithTimeout(ctx, g, "x", 3500*time.Millisecond)
		answer := ask(ctx, g, "y", "")
		assert.Equal(t, answer.Failure, stageplan.Failure(""))
	})
}

// slowDriver is a driver whose calls take the expected time of slowSpec.
type slowDriver struct{ *fleet }

func (l *slowDriver) RunBatch(ctx context.Context, s stageplan.Server, items []stageplan.Item) ([]stageplan.Outcome, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(slowSpec.CallTime):
	}
	return l.fleet.RunBatch(ctx, s, items)
}

// The results of a short call that nobody needs any more must be freed, or they would occupy
// the server's memory until they expire.
func TestShortCallCompletesAfterItsCallersAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, groups := newFleet(ctx, 1, server(1, "a"))
		runWithTimeout(ctx, groups[0], "x", 10*time.Millisecond)
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.DeepEqual(t, f.freed, []string{"s1/x"})
		cancel()
	})
}
