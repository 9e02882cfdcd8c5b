// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/stageplan"

	"github.com/wingvale/wingvale/internal/stagepool/stagepb"
)

const (
	// backlogFor is how long what a pool said of its waiting work is believed:
	// a few calls.
	backlogFor = 1500 * time.Millisecond
	// backlogsMost bounds the backlogs in one message, the newest first.
	backlogsMost = 16
)

// Backlog is what the owner of a shard's servers last said of them.
type Backlog struct {
	// Waits is how long new work that can be in time waits there.
	Waits stageplan.Queue
	// Call is how long a call takes.
	Call time.Duration
	// At is when it held, by this host's clock.
	At time.Time
}

// backlogs has the newest backlog of each shard that is known of. Owners hear
// those of other pools from the hosts that ask them and pass them on, so that a
// host which asks seldom still knows of all pools. It is safe for concurrent use.
type backlogs struct {
	mu      sync.Mutex
	byShard map[string]Backlog
}

func newBacklogs() *backlogs {
	return &backlogs{byShard: make(map[string]Backlog)}
}

// note takes a backlog in unless a newer one is known.
func (b *backlogs) note(shard string, backlog Backlog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.byShard[shard]; ok && known.At.After(backlog.At) {
		return
	}
	b.byShard[shard] = backlog
}

// of returns the backlog of a shard, and reports whether it is still believed.
func (b *backlogs) of(shard string) (Backlog, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	backlog, ok := b.byShard[shard]
	return backlog, ok && time.Since(backlog.At) <= backlogFor
}

// messages returns the backlogs that are still believed, and forgets the rest.
func (b *backlogs) messages(now time.Time) []*stagepb.Backlog {
	b.mu.Lock()
	defer b.mu.Unlock()
	var messages []*stagepb.Backlog
	for shard, backlog := range b.byShard {
		age := now.Sub(backlog.At)
		if age > backlogFor {
			delete(b.byShard, shard)
			continue
		}
		m := &stagepb.Backlog{Shard: shard, CallMs: backlog.Call.Milliseconds(), AgeMs: age.Milliseconds()}
		for _, wait := range backlog.Waits {
			m.WaitsMs = append(m.WaitsMs, wait.Milliseconds())
		}
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *stagepb.Backlog) int { return cmp.Compare(a.GetAgeMs(), b.GetAgeMs()) })
	return messages[:min(len(messages), backlogsMost)]
}

// take takes in what another host knows.
func (b *backlogs) take(now time.Time, messages []*stagepb.Backlog) {
	for _, m := range messages[:min(len(messages), backlogsMost)] {
		backlog := Backlog{Call: milliseconds(m.GetCallMs()), At: now.Add(-milliseconds(m.GetAgeMs()))}
		for i, wait := range m.GetWaitsMs()[:min(len(m.GetWaitsMs()), len(backlog.Waits))] {
			backlog.Waits[i] = milliseconds(wait)
		}
		b.note(m.GetShard(), backlog)
	}
}

// milliseconds reads a time from a message; there are none below 0.
func milliseconds(count int64) time.Duration {
	return time.Duration(max(count, 0)) * time.Millisecond
}

// Backlog returns what is known of a service's servers; where they are split
// over shards, the mean of those that are known of. It reports false where
// nothing recent is known.
func (g *Group) Backlog(service string) (Backlog, bool) {
	g.mu.Lock()
	shards := g.shardsOf(service)
	g.mu.Unlock()
	var sum Backlog
	known := time.Duration(0)
	for _, shard := range shards {
		if backlog, ok := g.backlogs.of(shard); ok {
			for i, wait := range backlog.Waits {
				sum.Waits[i] += wait
			}
			sum.Call += backlog.Call
			known++
		}
	}
	if known == 0 {
		return Backlog{}, false
	}
	for i := range sum.Waits {
		sum.Waits[i] /= known
	}
	return Backlog{Waits: sum.Waits, Call: sum.Call / known, At: time.Now()}, true
}

// shardsOf returns the names of a service's shards. The mutex must be held.
func (g *Group) shardsOf(service string) []string {
	if of := g.services[service]; of != nil {
		return of.shards
	}
	return []string{service}
}

// refresh notes the backlog of one of this host's own pools.
func (g *Group) refresh(shard string, pool *Pool) Backlog {
	waits, call := pool.times()
	backlog := Backlog{Waits: waits, Call: call, At: time.Now()}
	g.backlogs.note(shard, backlog)
	return backlog
}
