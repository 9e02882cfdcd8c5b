// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"
	"github.com/wingvale/wingvale/internal/stagepool/stagepb"
)

// Backlogs is the backlog cache of one host.
type Backlogs struct{ cache *backlogCache }

// NewBacklogs returns an empty cache.
func NewBacklogs() Backlogs { return Backlogs{cache: newBacklogCache()} }

// Store stores a backlog with the given wait, measured at the given time.
func (b Backlogs) Store(shard string, wait time.Duration, at time.Time) {
	var waits stageplan.QueueWaits
	for i := range waits {
		waits[i] = wait
	}
	b.cache.store(shard, Backlog{Waits: waits, MeasuredAt: at})
}

// SendTo merges the backlogs into the cache of another host.
func (b Backlogs) SendTo(other Backlogs) { other.cache.merge(time.Now(), b.cache.messages(time.Now())) }

// Wait returns the wait at a shard, and whether it has not expired.
func (b Backlogs) Wait(shard string) (time.Duration, bool) {
	backlog, ok := b.cache.lookup(shard)
	return backlog.Waits.Longest(), ok
}

// ShardSize is about the most servers in a shard.
const ShardSize = shardSize

// Shards divides the servers of a service and returns those of each shard by its name.
func Shards(service string, servers []stageplan.Server) map[string][]stageplan.Server {
	svc := newServiceServers(service)
	for _, s := range servers {
		svc.put(s)
	}
	svc.updateShards(service)
	shards := make(map[string][]stageplan.Server)
	for _, name := range svc.shards {
		shards[name] = svc.servers(parseShard(name))
	}
	return shards
}

// ShardOf returns the name of the shard that is to run w.
func (g *Group) ShardOf(w stageplan.Work) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shardFor(w)
}

// TimesFromMessage returns the times that an owner states.
func TimesFromMessage(m *stagepb.RunReply) stageplan.Times { return timesFromMessage(m) }

// MostHeld returns the most pieces that the pools of a host hold.
func MostHeld(groups []*Group) int {
	most := 0
	for _, g := range groups {
		most = max(most, g.pieces.count())
	}
	return most
}
