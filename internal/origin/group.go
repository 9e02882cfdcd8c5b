// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/option"
)

const (
	// MaxRecords is how many streams a host knows.
	MaxRecords = 32768
	// retention is how long after its record the version of a stream is sent to further hosts. Callers
	// take a stream up within the longest time limit of a request.
	retention = 30 * time.Second
	// copies is how many hosts besides the one that began a stream are sent its version.
	copies = 3
	// acknowledgeTimeout limits the time that Record waits until another host knows the version.
	acknowledgeTimeout = 20 * time.Millisecond
	// syncInterval is how often a host looks whether the hosts have changed.
	syncInterval = 50 * time.Millisecond
)

// Stream identifies a stream by the attempt that brought its first event to the caller.
type Stream uint64

// StreamOf returns the stream that the attempt with the given id began.
func StreamOf(attempt string) Stream {
	return Stream(xxhash.Sum64String(attempt))
}

// Record says which software version began a stream.
type Record struct {
	Stream  Stream
	Version string
	// RecordedAt is when a host last forwarded the first event of an attempt at the stream.
	RecordedAt time.Time
}

// Options holds the dependencies of a Group. All are required.
type Options struct {
	// Context is cancelled when the host stops.
	Context context.Context
	Self    netip.AddrPort
	// Hosts returns the hosts, including this one. It must return the same Hosts as long as they do not
	// change.
	Hosts func() *Hosts
	// Store sends versions to a host, and Find asks one for the version of a stream.
	Store func(ctx context.Context, peer netip.AddrPort, records []Record) error
	Find  func(ctx context.Context, peer netip.AddrPort, stream Stream) (Answer, error)
	Log   logrus.FieldLogger
	Scope tally.Scope
}

// Group is what one host knows of the versions of streams. It is safe for concurrent use.
type Group struct {
	options Options
	start   time.Time
	done    chan struct{}
	// bulkSlots limits the concurrent calls that repair or hand over copies.
	bulkSlots chan struct{}

	mu     sync.Mutex
	memory *memory
	copied copied
	// lookAt is when to look at the copies again although the hosts have not changed; zero for never.
	lookAt    time.Time
	sightings *sightings
	// outboxes has the records to send to each host. A host with an entry is being sent them.
	outboxes map[outboxKey]*outbox
	// pending is the number of records in all outboxes and in calls under way.
	pending int
	// avoided has the time until which runs of hosts that did not answer are sent no records.
	avoided map[hostID]time.Time
	// dropped counts the records dropped since droppedLoggedAt.
	dropped         int
	droppedLoggedAt time.Time
}

// New returns a group that knows no streams.
func New(options Options) *Group {
	now := time.Now()
	return &Group{
		options:   options,
		start:     now,
		done:      make(chan struct{}),
		bulkSlots: make(chan struct{}, maxBulkCalls),
		memory:    newMemory(),
		sightings: newSightings(options.Self, now),
		outboxes:  make(map[outboxKey]*outbox),
		avoided:   make(map[hostID]time.Time),
	}
}

// Done returns a channel that is closed when Run has returned.
func (g *Group) Done() <-chan struct{} {
	return g.done
}

// Run keeps the copies complete as hosts join and leave, until ctx is cancelled.
func (g *Group) Run(ctx context.Context) {
	defer close(g.done)
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.Sync()
		}
	}
}

// Record records the version that began a stream, and sends it to the hosts that keep it too. It returns
// once one of these knows it, or after acknowledgeTimeout: the caller is sent the first event then, and may
// take the stream up whatever happens to this host.
func (g *Group) Record(attempt, version string) {
	now := time.Now()
	r := Record{Stream: StreamOf(attempt), Version: version, RecordedAt: now}
	receipt := newReceipt()
	g.mu.Lock()
	keepers := g.keepers(r.Stream.group(), now)
	g.addKnown(r, keepers)
	for _, k := range keepers {
		g.enqueue(k, kindFresh, r, receipt)
	}
	g.mu.Unlock()
	if len(keepers) > 0 && !receipt.wait(g.options.Context, acknowledgeTimeout) {
		g.options.Scope.Counter("stream_versions_unacknowledged").Inc(1)
	}
}

// keepers returns the hosts that keep the versions of a group, without this one. The mutex must be held.
func (g *Group) keepers(of group, now time.Time) []Host {
	var keepers []Host
	for _, h := range g.options.Hosts().best(of) {
		if len(keepers) == copies {
			break
		}
		if h.Address != g.options.Self && !now.Before(g.avoided[h.id()]) {
			keepers = append(keepers, h)
		}
	}
	return keepers
}

// addKnown adds a record, and reports whether the stream was unknown. The mutex must be held.
func (g *Group) addKnown(r Record, keepers []Host) bool {
	of := r.Stream.group()
	if len(g.memory.groups[of]) == 0 {
		// Whoever sends a record sends it to all keepers.
		g.copied.set(of, keepers)
	}
	before := g.memory.dropped
	added := g.memory.add(r)
	if g.memory.dropped > before {
		g.countDropped(1, "too many streams")
	}
	return added
}

// Keep stores versions that another host has sent. A host that leaves sends them on.
func (g *Group) Keep(records []Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	leaving := g.options.Hosts().selfLeaves
	for _, r := range records {
		keepers := g.keepers(r.Stream.group(), now)
		if g.addKnown(r, keepers) && leaving {
			for _, k := range keepers {
				g.enqueue(k, kindHandedOn, r, nil)
			}
		}
	}
}

// HandedOn reports whether the process may end: nothing waits to be sent, and the versions of recent streams
// are at another host, if there has been one.
func (g *Group) HandedOn() bool {
	hosts := g.options.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	isLast := g.copied.hadPeers && len(hosts.all) < 2 && time.Since(g.memory.latest) < retention
	return g.pending == 0 && !isLast
}

// Known returns the version of a stream, if this host knows it.
func (g *Group) Known(s Stream) option.Value[string] {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.memory.known.Get(s); ok {
		return option.Some(e.version)
	}
	return option.Value[string]{}
}

// dropLogInterval is the shortest time between two log lines about dropped records.
const dropLogInterval = 5 * time.Second

// countDropped counts records that were dropped for lack of space. The mutex must be held.
func (g *Group) countDropped(count int, reason string) {
	g.options.Scope.Counter("stream_versions_dropped").Inc(int64(count))
	g.dropped += count
	if now := time.Now(); now.Sub(g.droppedLoggedAt) >= dropLogInterval {
		g.options.Log.WithFields(logrus.Fields{"streams": g.dropped, "reason": reason}).Warn("dropped the versions of streams")
		g.dropped, g.droppedLoggedAt = 0, now
	}
}
