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

// stuck is a stage server that answers nothing, and notes for how long its
// calls were kept.
type stuck struct {
	*fleet
	mu   sync.Mutex
	kept []time.Duration
}

func (s *stuck) RunBatch(ctx context.Context, _ stageplan.Server, _ []stageplan.Item) ([]stageplan.Outcome, error) {
	began := time.Now()
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = append(s.kept, time.Since(began))
	return nil, ctx.Err()
}

// slow is a pool whose calls are expected to take long.
var slow = stageplan.Spec{Service: "read", Size: 4, Slots: 1, CallTime: 3 * time.Second, PieceTime: time.Millisecond, Hold: 4 * time.Second}

func startStuck(ctx context.Context, spec stageplan.Spec) (*stuck, *stagepool.Group) {
	f, _ := newFleet(ctx, 1)
	s := &stuck{fleet: f}
	g := newGroup(ctx, f.peers, f.peers[0], s, s.fleet)
	g.Configure(map[string]stageplan.Spec{"read": spec}, map[string][]stageplan.Server{"read": {server(1, "a")}})
	return s, g
}

func leaveAfter(ctx context.Context, g *stagepool.Group, request string, after time.Duration) {
	ctx, leave := context.WithTimeout(ctx, after)
	defer leave()
	w := work(request, 1)
	w.Latest, w.Deadline = time.Now().Add(10*time.Second), time.Now().Add(20*time.Second)
	g.Run(ctx, w)
}

// Both callers of a call's pieces left after 100 ms; the call was kept until it
// was overdue, twice the 3 s that it was expected to take, cut to the 5 s that a
// call may take at most. A stage server was at work all that time for nobody.
func TestACallThatNobodyWaitsForIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, g := startStuck(ctx, slow)
		var all sync.WaitGroup
		for _, request := range []string{"x", "y"} {
			all.Go(func() { leaveAfter(ctx, g, request, 100*time.Millisecond) })
		}
		all.Wait()
		time.Sleep(480 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Assert(t, len(s.kept) > 0, "the call is still under way")
		for _, kept := range s.kept {
			assert.Assert(t, kept <= 500*time.Millisecond, "kept %v", kept)
		}
	})
}

// One of the callers of a call waits on, so that the call goes on.
func TestACallThatSomebodyWaitsForGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, _ := newFleet(ctx, 1)
		g := newGroup(ctx, f.peers, f.peers[0], &takesLong{fleet: f}, f)
		g.Configure(map[string]stageplan.Spec{"read": slow}, map[string][]stageplan.Server{"read": {server(1, "a")}})
		// A first call keeps the server busy, so that the next two share one.
		go ask(ctx, g, "first", "")
		time.Sleep(10 * time.Millisecond)
		go leaveAfter(ctx, g, "x", 3500*time.Millisecond)
		answer := ask(ctx, g, "y", "")
		assert.Equal(t, answer.Failure, stageplan.Failure(""))
	})
}

// takesLong answers after as long as is expected.
type takesLong struct{ *fleet }

func (l *takesLong) RunBatch(ctx context.Context, s stageplan.Server, items []stageplan.Item) ([]stageplan.Outcome, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(slow.CallTime):
	}
	return l.fleet.RunBatch(ctx, s, items)
}

// The results of a short call are still given up: they take up room otherwise
// until they expire.
func TestAShortCallThatNobodyWaitsForIsLeftToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, groups := newFleet(ctx, 1, server(1, "a"))
		leaveAfter(ctx, groups[0], "x", 10*time.Millisecond)
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.DeepEqual(t, f.freed, []string{"s1/x"})
		cancel()
	})
}
