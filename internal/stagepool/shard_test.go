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

// manyServers returns perZone servers in each of five availability zones.
func manyServers(perZone int) []stageplan.Server {
	var list []stageplan.Server
	for zone := range 5 {
		for i := range perZone {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(10 + zone), byte(i >> 8), byte(i)}), 80)
			list = append(list, stageplan.Server{Instance: fmt.Sprintf("%d-%d", zone, i), Address: address, Zone: string(rune('a' + zone)), Region: "r"})
		}
	}
	return list
}

// Shards must stay small: the owner of a shard examines all of its servers for each call,
// and a zone of 180 servers has 800 calls per second.
func TestShardSizeIsBounded(t *testing.T) {
	for _, perZone := range []int{6, 30, 180, 360} {
		servers := manyServers(perZone)
		shards := stagepool.Shards("read", servers)
		seen := make(map[string]bool)
		for _, shard := range shards {
			assert.Assert(t, len(shard) <= 2*stagepool.ShardSize, "%d servers in a shard, %d a zone", len(shard), perZone)
			for _, s := range shard {
				assert.Assert(t, !seen[s.Instance], "%s is in two shards", s.Instance)
				seen[s.Instance] = true
			}
		}
		assert.Equal(t, len(seen), len(servers))
	}
}

func TestWorkIsSpreadOverAllShardsOfItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, groups := newFleet(ctx, 8, manyServers(60)...)
		for i := range 200 {
			assert.Equal(t, ask(ctx, groups[i%len(groups)], fmt.Sprint("request-", i), "c").Failure, stageplan.Failure(""))
		}
		// Requests that are sent one after another use the same server of their shard.
		assert.Equal(t, len(f.calls), 3, "want one server in each of the three shards of the zone")
		for instance := range f.calls {
			assert.Equal(t, instance[0], byte('2'), "work must stay in its zone under light load")
		}
		cancel()
	})
}

// A host that knows of fewer servers may be asked for a part of a zone that it does not
// know. It must not answer that there are no servers.
func TestHostThatKnowsFewerServersAcceptsUnknownShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, groups := newFleet(ctx, 4, manyServers(120)...)
		fewerServers := manyServers(30)
		for _, g := range groups[1:] {
			g.Configure(map[string]stageplan.Spec{"read": spec}, map[string][]stageplan.Server{"read": fewerServers})
		}
		for i := range 60 {
			assert.Equal(t, ask(ctx, groups[0], fmt.Sprint("request-", i), "c").Failure, stageplan.Failure(""))
		}
		cancel()
	})
}

// Servers that Change removes or marks as leaving must get no further calls, as after a
// Configure without them.
func TestServersRemovedOrLeavingByChangeGetNoCalls(t *testing.T) {
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
			assert.Equal(t, f.calls[servers[i].Instance], 0, "%s was removed", servers[i].Instance)
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
	for _, perZone := range []int{30, 180, 360} {
		b.Run(fmt.Sprint(5*perZone), func(b *testing.B) {
			_, groups := newFleet(b.Context(), 1, manyServers(perZone)...)
			w := work("request", 8)
			w.Zone, w.Latest = "c", time.Now().Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				groups[0].ShardOf(w)
			}
		})
	}
}
