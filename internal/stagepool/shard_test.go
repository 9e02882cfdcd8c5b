// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/stageplan"
	"github.com/wingvale/wingvale/internal/stagepool"
)

// manyServers returns so many in each of five availability zones.
func manyServers(each int) []stageplan.Server {
	var list []stageplan.Server
	for zone := range 5 {
		for i := range each {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(10 + zone), byte(i >> 8), byte(i)}), 80)
			list = append(list, stageplan.Server{Instance: fmt.Sprintf("%d-%d", zone, i), Address: address, Zone: string(rune('a' + zone)), Region: "r"})
		}
	}
	return list
}

// One host owned the 180 servers of a zone, and looked at all of them for each of their
// 800 calls a second.
func TestNoHostOwnsManyServersOfAService(t *testing.T) {
	for _, each := range []int{6, 30, 180, 360} {
		servers := manyServers(each)
		shards := stagepool.Shards("read", servers)
		held := make(map[string]bool)
		for _, shard := range shards {
			assert.Assert(t, len(shard) <= 2*stagepool.ShardSize, "%d servers in a shard, %d a zone", len(shard), each)
			for _, s := range shard {
				assert.Assert(t, !held[s.Instance], "%s is in two shards", s.Instance)
				held[s.Instance] = true
			}
		}
		assert.Equal(t, len(held), len(servers))
	}
}

func TestWorkSpreadsOverAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, groups := newFleet(ctx, 8, manyServers(60)...)
		for i := range 200 {
			assert.Equal(t, ask(ctx, groups[i%len(groups)], fmt.Sprint("request-", i), "c").Failure, stageplan.Failure(""))
		}
		// One after another, each shard's requests go to the same server.
		assert.Equal(t, len(f.calls), 3, "of the 60 servers of their zone, in three shards")
		for instance := range f.calls {
			assert.Equal(t, instance[0], byte('2'), "light work leaves its zone")
		}
		cancel()
	})
}

// A host that has heard of fewer servers is asked for a part that it doesn't know, and
// must not say that there are no servers.
func TestHostsThatKnowOfFewerServersServeAllTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, groups := newFleet(ctx, 4, manyServers(120)...)
		few := manyServers(30)
		for _, g := range groups[1:] {
			g.Configure(map[string]stageplan.Spec{"read": spec}, map[string][]stageplan.Server{"read": few})
		}
		for i := range 60 {
			assert.Equal(t, ask(ctx, groups[0], fmt.Sprint("request-", i), "c").Failure, stageplan.Failure(""))
		}
		cancel()
	})
}

// What a change leads to must be what the whole list would lead to.
func TestChangesLeadWhereTheWholeListDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		servers := manyServers(30)
		f, groups := newFleet(ctx, 1, servers...)
		var changes []listed.Change[stageplan.Server]
		for i := range servers[:140] {
			changes = append(changes, listed.Change[stageplan.Server]{Service: "read", Old: &servers[i]})
		}
		groups[0].Change(changes)
		for i := range 40 {
			assert.Equal(t, ask(ctx, groups[0], fmt.Sprint("request-", i), "").Failure, stageplan.Failure(""))
		}
		for i := range servers[:140] {
			assert.Equal(t, f.calls[servers[i].Instance], 0, "%s is gone", servers[i].Instance)
		}
		leaving := servers[149]
		leaving.Leaving = true
		groups[0].Change([]listed.Change[stageplan.Server]{{Service: "read", Old: &servers[149], New: &leaving}})
		before := f.calls[leaving.Instance]
		for i := range 40 {
			assert.Equal(t, ask(ctx, groups[0], fmt.Sprint("later-", i), "").Failure, stageplan.Failure(""))
		}
		assert.Equal(t, f.calls[leaving.Instance], before)
		cancel()
	})
}

func BenchmarkShard(b *testing.B) {
	for _, each := range []int{30, 180, 360} {
		b.Run(fmt.Sprint(5*each), func(b *testing.B) {
			_, groups := newFleet(b.Context(), 1, manyServers(each)...)
			w := work("request", 8)
			w.Zone, w.Latest = "c", time.Now().Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				groups[0].ShardOf(w)
			}
		})
	}
}
