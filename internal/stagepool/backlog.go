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
	// backlogTTL is how long a reported backlog is used. It is the time of a few calls.
	backlogTTL = 1500 * time.Millisecond
	// maxBacklogs is the most backlogs in one message; the newest are sent.
	maxBacklogs = 16
	// maxNext is the most later services in one message.
	maxNext = 64
	// maxAhead is the most pieces that a report may announce to one service, and maxRate the
	// highest throughput in pieces a second that it may state. Both are far above what a shard of
	// shardSize servers can have. A report beyond them is wrong.
	maxAhead = 1 << 20
	maxRate  = 1e6
	// maxReported is the longest duration in a message; longer ones would overflow.
	maxReported = 24 * time.Hour
)

// Backlog is the load of a shard's servers as last reported by the shard's owner.
type Backlog struct {
	// Waits is how long new work that can still meet its deadline waits at the shard.
	Waits stageplan.QueueWaits
	// CallTime is how long one call takes.
	CallTime time.Duration
	// Rate is the throughput in pieces a second when the servers are saturated, LateWait how long
	// new work waits that cannot meet its objective, and Ahead how many pieces the waiting and
	// running work will bring to each later service. They are zero unless the pool is load-aware.
	Rate     float64
	LateWait time.Duration
	Ahead    map[stageplan.AnnouncedWork]int
	// MeasuredAt is when the backlog was measured, by this host's clock.
	MeasuredAt time.Time
}

// backlogCache holds the newest known backlog of each shard. Hosts exchange backlogs with
// the owners that they call, and owners forward those of other pools, so that a host that
// makes few calls still knows the backlog of every pool. It is safe for concurrent use.
type backlogCache struct {
	mu      sync.Mutex
	byShard map[string]Backlog
}

func newBacklogCache() *backlogCache {
	return &backlogCache{byShard: make(map[string]Backlog)}
}

// store stores a backlog unless a newer one is known.
func (b *backlogCache) store(shard string, backlog Backlog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.byShard[shard]; ok && known.MeasuredAt.After(backlog.MeasuredAt) {
		return
	}
	b.byShard[shard] = backlog
}

// lookup returns the newest backlog of a shard, and reports whether it is younger than
// backlogTTL.
func (b *backlogCache) lookup(shard string) (Backlog, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	backlog, ok := b.byShard[shard]
	return backlog, ok && time.Since(backlog.MeasuredAt) <= backlogTTL
}

// messages returns up to maxBacklogs backlogs, the newest first, and removes the expired
// ones.
func (b *backlogCache) messages(now time.Time) []*stagepb.Backlog {
	b.mu.Lock()
	defer b.mu.Unlock()
	var messages []*stagepb.Backlog
	for shard, backlog := range b.byShard {
		age := now.Sub(backlog.MeasuredAt)
		if age > backlogTTL {
			delete(b.byShard, shard)
			continue
		}
		m := &stagepb.Backlog{Shard: shard, CallMs: backlog.CallTime.Milliseconds(), AgeMs: age.Milliseconds()}
		for _, wait := range backlog.Waits {
			m.WaitsMs = append(m.WaitsMs, wait.Milliseconds())
		}
		m.PiecesPerSecond, m.LateWaitMs = backlog.Rate, backlog.LateWait.Milliseconds()
		for work, pieces := range backlog.Ahead {
			m.Ahead = append(m.Ahead, &stagepb.Load{Service: work.Service, Priority: int32(work.Priority), Pieces: int64(pieces)})
		}
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *stagepb.Backlog) int { return cmp.Compare(a.GetAgeMs(), b.GetAgeMs()) })
	return messages[:min(len(messages), maxBacklogs)]
}

// merge stores the backlogs that another host sent.
func (b *backlogCache) merge(now time.Time, messages []*stagepb.Backlog) {
	for _, m := range messages[:min(len(messages), maxBacklogs)] {
		backlog := Backlog{CallTime: milliseconds(m.GetCallMs()), MeasuredAt: now.Add(-milliseconds(m.GetAgeMs()))}
		for i, wait := range m.GetWaitsMs()[:min(len(m.GetWaitsMs()), len(backlog.Waits))] {
			backlog.Waits[i] = milliseconds(wait)
		}
		if validForecast(m) {
			backlog.Rate, backlog.LateWait = m.GetPiecesPerSecond(), milliseconds(m.GetLateWaitMs())
			backlog.Ahead = loadsFromMessages(m.GetAhead())
		}
		b.store(m.GetShard(), backlog)
	}
}

// validForecast reports whether the figures of a load-aware pool are plausible. If not, they are
// ignored, as if a host of an earlier build had sent the message.
func validForecast(m *stagepb.Backlog) bool {
	// The comparison is false for NaN.
	if rate := m.GetPiecesPerSecond(); !(rate >= 0 && rate <= maxRate) {
		return false
	}
	if wait := m.GetLateWaitMs(); wait < 0 || wait > maxReported.Milliseconds() {
		return false
	}
	return !slices.ContainsFunc(m.GetAhead(), func(l *stagepb.Load) bool {
		return l.GetPieces() < 0 || l.GetPieces() > maxAhead
	})
}

// milliseconds converts a duration in a message. A negative count is read as 0, and one above
// maxReported as maxReported.
func milliseconds(count int64) time.Duration {
	return time.Duration(min(max(count, 0), maxReported.Milliseconds())) * time.Millisecond
}

// Backlog returns the backlog of a service's servers, averaged over the shards with a
// recent report. Its Rate is that of all shards, and its LateWait that of the shard where
// late work waits least; Ahead is not set, see Announced. It reports false if there is no
// recent report.
func (g *Group) Backlog(service string) (Backlog, bool) {
	g.mu.Lock()
	shards := g.shardsOf(service)
	g.mu.Unlock()
	var sum Backlog
	known := time.Duration(0)
	for _, shard := range shards {
		if backlog, ok := g.backlogs.lookup(shard); ok {
			for i, wait := range backlog.Waits {
				sum.Waits[i] += wait
			}
			sum.CallTime += backlog.CallTime
			// An average would exceed any deadline if one shard of many does no late work.
			if known == 0 || backlog.LateWait < sum.LateWait {
				sum.LateWait = backlog.LateWait
			}
			sum.Rate += backlog.Rate
			known++
		}
	}
	if known == 0 {
		return Backlog{}, false
	}
	for i := range sum.Waits {
		sum.Waits[i] /= known
	}
	return Backlog{
		Waits: sum.Waits, CallTime: sum.CallTime / known, LateWait: sum.LateWait,
		Rate: sum.Rate * float64(len(shards)) / float64(known), MeasuredAt: time.Now(),
	}, true
}

// Announced returns how many pieces of a priority, or of more urgent ones, the work at all pools with
// a recent report will bring to a service.
func (g *Group) Announced(service string, priority int) int {
	return g.backlogs.announced(service, priority)
}

// announced sums up what all shards with a recent backlog will bring to a service.
func (b *backlogCache) announced(service string, priority int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, backlog := range b.byShard {
		if time.Since(backlog.MeasuredAt) > backlogTTL {
			continue
		}
		for work, pieces := range backlog.Ahead {
			if work.Service == service && work.Priority <= priority {
				sum += pieces
			}
		}
	}
	return sum
}

func loadsFromMessages(messages []*stagepb.Load) map[stageplan.AnnouncedWork]int {
	if len(messages) == 0 {
		return nil
	}
	loads := make(map[stageplan.AnnouncedWork]int, len(messages))
	for _, m := range messages[:min(len(messages), maxNext)] {
		loads[stageplan.AnnouncedWork{Service: m.GetService(), Priority: int(m.GetPriority())}] = int(m.GetPieces())
	}
	return loads
}

// shardsOf returns the names of a service's shards. The mutex must be held.
func (g *Group) shardsOf(service string) []string {
	if svc := g.services[service]; svc != nil {
		return svc.shards
	}
	return []string{service}
}

// updateBacklog stores and returns the current backlog of a pool that this host owns.
func (g *Group) updateBacklog(shard string, pool *Pool) Backlog {
	backlog := pool.backlog()
	g.backlogs.store(shard, backlog)
	return backlog
}
