// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stagepool"
)

func TestBacklogCacheKeepsNewestUntilItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, other := stagepool.NewBacklogs(), stagepool.NewBacklogs()
		own.Store("read", 300*time.Millisecond, time.Now())
		time.Sleep(100 * time.Millisecond)
		other.Store("read", 500*time.Millisecond, time.Now())
		other.SendTo(own)
		got, ok := own.Wait("read")
		assert.Assert(t, ok && got == 500*time.Millisecond, "got %v", got)
		own.Store("read", time.Second, time.Now().Add(-time.Millisecond))
		got, _ = own.Wait("read")
		assert.Equal(t, got, 500*time.Millisecond, "an older backlog must not replace a newer one")
		time.Sleep(2 * time.Second)
		_, ok = own.Wait("read")
		assert.Assert(t, !ok, "too old")
	})
}

func TestForwardedBacklogKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := stagepool.NewBacklogs(), stagepool.NewBacklogs()
		first.Store("read", time.Second, time.Now())
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			first.SendTo(second)
			second.SendTo(first)
		}
		_, ok := second.Wait("read")
		assert.Assert(t, !ok, "two hosts keep an old backlog alive")
	})
}

func TestMessageHasBoundedNumberOfBacklogs(t *testing.T) {
	own, other := stagepool.NewBacklogs(), stagepool.NewBacklogs()
	for i := range 40 {
		own.Store(fmt.Sprint(i), time.Second, time.Now().Add(-time.Duration(i)*time.Millisecond))
	}
	own.SendTo(other)
	_, newest := other.Wait("0")
	_, oldest := other.Wait("39")
	assert.Assert(t, newest && !oldest)
}

// Owners forward the backlogs of other pools, so that a host knows the backlog of a pool that
// it has never called.
func TestOwnersForwardBacklogsOfOtherPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, groups := newFleet(ctx, 5, server(1, "a"))
		for _, g := range groups {
			g.Configure(
				map[string]stageplan.Spec{"read": spec, "rank": spec},
				map[string][]stageplan.Server{"read": {server(1, "a")}, "rank": {server(2, "a")}},
			)
		}
		run := func(g *stagepool.Group, service string) {
			w := work(service, 1)
			w.Service, w.Latest, w.Deadline = service, time.Now().Add(time.Second), time.Now().Add(8*time.Second)
			assert.Equal(t, g.Run(ctx, w).Failure, stageplan.Failure(""))
		}
		run(groups[0], "rank")
		run(groups[0], "read")
		run(groups[1], "read")
		_, ok := groups[1].Backlog("rank")
		assert.Assert(t, ok, "it never asked for that pool")
		cancel()
	})
}
