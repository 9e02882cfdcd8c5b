// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/dispatch"
	"github.com/wingvale/wingvale/internal/limit"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/verdict"
)

var addresses = []netip.AddrPort{
	netip.MustParseAddrPort("10.0.0.1:80"),
	netip.MustParseAddrPort("10.0.0.2:80"),
	netip.MustParseAddrPort("10.0.0.3:80"),
	netip.MustParseAddrPort("10.0.0.4:80"),
}

func newPool(servers int, perServer float64) *dispatch.Pool {
	p := dispatch.New(dispatch.Options{Zone: "a", Limit: limit.Options{Initial: perServer, Fixed: true}})
	p.SetServers(serverList(servers))
	return p
}

func serverList(servers int) []dispatch.Server {
	var all []dispatch.Server
	for _, a := range addresses[:servers] {
		all = append(all, dispatch.Server{Address: a, Zone: "a"})
	}
	return all
}

func task(within time.Duration) dispatch.Task {
	t := dispatch.Task{}
	t.Workspace, t.Weight, t.Latest, t.Cost = "w", 1, time.Now().Add(within), time.Second
	return t
}

func TestAcquireFailsWithNotRunAfterLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1, 1)
		g, err := p.Acquire(t.Context(), task(time.Hour))
		assert.NilError(t, err)
		began := time.Now()
		_, err = p.Acquire(t.Context(), task(3*time.Second))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.Equal(t, verdict.As(err).Reason, verdict.ReasonDeadline)
		assert.Equal(t, time.Since(began), 3*time.Second, "must fail as soon as the latest start has passed")
		g.Done(dispatch.Outcome{})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = p.Acquire(ctx, task(time.Hour))
		if err != nil {
			assert.Equal(t, verdict.As(err).Reason, verdict.ReasonCancelled)
		}
	})
}

// failCall makes one call that fails and returns its server.
func failCall(t *testing.T, p *dispatch.Pool, o dispatch.Outcome) netip.AddrPort {
	t.Helper()
	g, err := p.Acquire(t.Context(), task(time.Hour))
	assert.NilError(t, err)
	o.Failed = true
	g.Done(o)
	return g.Server
}

func countEjected(p *dispatch.Pool) int {
	count := 0
	for _, s := range p.State(10).Servers {
		if s.Ejected {
			count++
		}
	}
	return count
}

func TestUnreachableServerIsEjectedAtOnceAndRetriedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(4, 4)
		unreachable := failCall(t, p, dispatch.Outcome{Unreachable: true})
		assert.Equal(t, countEjected(p), 1)
		for range 50 {
			g, err := p.Acquire(t.Context(), task(time.Hour))
			assert.NilError(t, err)
			assert.Assert(t, g.Server != unreachable)
			g.Done(dispatch.Outcome{})
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, countEjected(p), 0)
		retried := false
		for range 50 {
			g, err := p.Acquire(t.Context(), task(time.Hour))
			assert.NilError(t, err)
			retried = retried || g.Server == unreachable
			g.Done(dispatch.Outcome{})
		}
		assert.Assert(t, retried)
	})
}

func TestEjectionIsIgnoredWhenMostServersAreEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(4, 4)
		for range 20 {
			failCall(t, p, dispatch.Outcome{Unreachable: true})
		}
		g, err := p.Acquire(t.Context(), task(time.Second))
		assert.NilError(t, err, "with most servers ejected, ejection is passed over")
		g.Done(dispatch.Outcome{})
		assert.Assert(t, p.Predict("w", 1, "", time.Second).Share > 0)
	})
}

func TestLeavingServerGetsNoGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(2, 4)
		p.Observe(addresses[0], protocol.Load{Instance: "x", Slots: 4, Leaving: true}, nil)
		for range 20 {
			g, err := p.Acquire(t.Context(), task(time.Hour))
			assert.NilError(t, err)
			assert.Equal(t, g.Server, addresses[1])
			g.Done(dispatch.Outcome{})
		}
	})
}

func TestServerHoldingPrefixIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(4, 4)
		p.SetPrefixHolder(7, addresses[2], true)
		shortTask := task(time.Hour)
		shortTask.Prefix, shortTask.Cost = 7, 10*time.Millisecond
		g, err := p.Acquire(t.Context(), shortTask)
		assert.NilError(t, err)
		assert.Equal(t, g.Server, addresses[2])
		g.Done(dispatch.Outcome{})
		p.SetPrefixHolder(7, addresses[2], false)
		elsewhere := 0
		for range 40 {
			g, err := p.Acquire(t.Context(), shortTask)
			assert.NilError(t, err)
			if g.Server != addresses[2] {
				elsewhere++
			}
			g.Done(dispatch.Outcome{})
		}
		assert.Assert(t, elsewhere > 10, "got %d of 40 at other servers", elsewhere)
	})
}

func TestPredictGivesEachWorkspaceItsFairShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1, 1)
		g, err := p.Acquire(t.Context(), task(time.Hour))
		assert.NilError(t, err)
		for range 100 {
			p.Commit("flood", 1, time.Second)
		}
		assert.Assert(t, p.Predict("flood", 1, "", time.Second).Wait >= 100*time.Second)
		assert.Assert(t, p.Predict("small", 1, "", time.Second).Wait <= 2*time.Second)
		g.Done(dispatch.Outcome{})
	})
}
