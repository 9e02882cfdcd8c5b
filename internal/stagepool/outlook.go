// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/stagepool/stagepb"
)

const (
	// outlookFor is how long what a pool said of its waiting work is believed:
	// a few calls.
	outlookFor = 1500 * time.Millisecond
	// outlooksMost bounds the outlooks in one message, the newest first.
	outlooksMost = 16
)

// dueSteps are how soon work is due, from now, that a Queue has waits for; the
// last stands for all that is due later.
var dueSteps = [...]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond,
	1700 * time.Millisecond, 2300 * time.Millisecond, 3000 * time.Millisecond, math.MaxInt64,
}

// Queue has how long new work waits that is due within each of dueSteps. Work
// that is due sooner goes first, so it waits less; the waits never fall.
type Queue [len(dueSteps)]time.Duration

// Before returns how long new work waits that is due in so long.
func (q Queue) Before(due time.Duration) time.Duration {
	for i, step := range dueSteps {
		if due <= step {
			return q[i]
		}
	}
	return q.Longest()
}

// Longest returns how long work waits that is due last.
func (q Queue) Longest() time.Duration {
	return q[len(q)-1]
}

// Outlook is what the owner of a shard's servers last said of them.
type Outlook struct {
	// Waits is how long new work that can be in time waits there.
	Waits Queue
	// Call is how long a call takes.
	Call time.Duration
	// At is when it held, by this host's clock.
	At time.Time
}

// outlooks has the newest outlook of each shard that is known of. Owners hear
// those of other pools from the hosts that ask them and pass them on, so that a
// host which asks seldom still knows of all pools. It is safe for concurrent use.
type outlooks struct {
	mu      sync.Mutex
	byShard map[string]Outlook
}

func newOutlooks() *outlooks {
	return &outlooks{byShard: make(map[string]Outlook)}
}

// note takes an outlook in unless a newer one is known.
func (o *outlooks) note(shard string, outlook Outlook) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.byShard[shard]; ok && known.At.After(outlook.At) {
		return
	}
	o.byShard[shard] = outlook
}

// of returns the outlook of a shard, and reports whether it is still believed.
func (o *outlooks) of(shard string) (Outlook, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	outlook, ok := o.byShard[shard]
	return outlook, ok && time.Since(outlook.At) <= outlookFor
}

// messages returns the outlooks that are still believed, and forgets the rest.
func (o *outlooks) messages(now time.Time) []*stagepb.Outlook {
	o.mu.Lock()
	defer o.mu.Unlock()
	var messages []*stagepb.Outlook
	for shard, outlook := range o.byShard {
		age := now.Sub(outlook.At)
		if age > outlookFor {
			delete(o.byShard, shard)
			continue
		}
		m := &stagepb.Outlook{Shard: shard, CallMs: outlook.Call.Milliseconds(), AgeMs: age.Milliseconds()}
		for _, wait := range outlook.Waits {
			m.WaitsMs = append(m.WaitsMs, wait.Milliseconds())
		}
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *stagepb.Outlook) int { return cmp.Compare(a.GetAgeMs(), b.GetAgeMs()) })
	return messages[:min(len(messages), outlooksMost)]
}

// take takes in what another host knows.
func (o *outlooks) take(now time.Time, messages []*stagepb.Outlook) {
	for _, m := range messages[:min(len(messages), outlooksMost)] {
		outlook := Outlook{Call: milliseconds(m.GetCallMs()), At: now.Add(-milliseconds(m.GetAgeMs()))}
		for i, wait := range m.GetWaitsMs()[:min(len(m.GetWaitsMs()), len(outlook.Waits))] {
			outlook.Waits[i] = milliseconds(wait)
		}
		o.note(m.GetShard(), outlook)
	}
}

// milliseconds reads a time from a message; there are none below 0.
func milliseconds(count int64) time.Duration {
	return time.Duration(max(count, 0)) * time.Millisecond
}

// Outlook returns what is known of a service's servers; where they are split
// over shards, the mean of those that are known of. It reports false where
// nothing recent is known.
func (g *Group) Outlook(service string) (Outlook, bool) {
	g.mu.Lock()
	shards := g.shardsOf(service)
	g.mu.Unlock()
	var sum Outlook
	known := time.Duration(0)
	for _, shard := range shards {
		if outlook, ok := g.outlooks.of(shard); ok {
			for i, wait := range outlook.Waits {
				sum.Waits[i] += wait
			}
			sum.Call += outlook.Call
			known++
		}
	}
	if known == 0 {
		return Outlook{}, false
	}
	for i := range sum.Waits {
		sum.Waits[i] /= known
	}
	return Outlook{Waits: sum.Waits, Call: sum.Call / known, At: time.Now()}, true
}

// shardsOf returns the names of a service's shards. The mutex must be held.
func (g *Group) shardsOf(service string) []string {
	servers := g.servers[service]
	if len(servers) <= shardSize {
		return []string{service}
	}
	var shards []string
	for _, s := range servers {
		shards = append(shards, service+"/"+s.Zone)
	}
	slices.Sort(shards)
	return slices.Compact(shards)
}

// refresh notes the outlook of one of this host's own pools.
func (g *Group) refresh(shard string, pool *Pool) Outlook {
	waits, call := pool.times()
	outlook := Outlook{Waits: waits, Call: call, At: time.Now()}
	g.outlooks.note(shard, outlook)
	return outlook
}
