// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"
)

// Backlogs is what one host knows of all pools.
type Backlogs struct{ o *backlogs }

// NewBacklogs returns what a host knows that heard of none.
func NewBacklogs() Backlogs { return Backlogs{o: newBacklogs()} }

// Note takes an backlog in.
func (o Backlogs) Note(shard string, wait time.Duration, at time.Time) {
	var waits stageplan.Queue
	for i := range waits {
		waits[i] = wait
	}
	o.o.note(shard, Backlog{Waits: waits, At: at})
}

// Tell passes all on to another host.
func (o Backlogs) Tell(other Backlogs) { other.o.take(time.Now(), o.o.messages(time.Now())) }

// Wait returns the wait at a shard, and whether it is believed.
func (o Backlogs) Wait(shard string) (time.Duration, bool) {
	backlog, ok := o.o.of(shard)
	return backlog.Waits.Longest(), ok
}

// ShardSize is about the most servers of a shard.
const ShardSize = shardSize

// Shards returns the servers of each shard of a service, by its name.
func Shards(service string, servers []stageplan.Server) map[string][]stageplan.Server {
	of := newServiceServers(service)
	for _, s := range servers {
		of.put(s)
	}
	of.divide(service)
	shards := make(map[string][]stageplan.Server)
	for _, name := range of.shards {
		shards[name] = of.servers(shardNamed(name))
	}
	return shards
}

// ShardOf returns the shard for work.
func (g *Group) ShardOf(w stageplan.Work) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shard(w)
}
