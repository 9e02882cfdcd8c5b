// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxBatch is how many records one call carries, some 45 KB.
	maxBatch = 1024
	// maxPending limits the records that wait to be sent.
	maxPending = 4 * MaxRecords
	// maxBulkCalls limits the concurrent calls that repair or hand over copies.
	maxBulkCalls = 64
	// storeTimeout limits one call to another host.
	storeTimeout = 500 * time.Millisecond
	// avoidPeriod is how long a host that did not answer is sent no records.
	avoidPeriod = 2 * time.Second
)

// kind is why a record is sent.
type kind int

const (
	// kindFresh is a stream that has just begun.
	kindFresh kind = iota
	// kindRepaired is a stream whose keepers have changed.
	kindRepaired
	// kindHandedOn is a stream that a leaving host knows.
	kindHandedOn
)

var kindCounters = [...]string{"stream_versions_sent", "stream_versions_repaired", "stream_versions_handed_on"}

// outboxKey separates records of streams that have just begun from others, which may be many.
type outboxKey struct {
	control netip.AddrPort
	fresh   bool
}

type outbox struct {
	host  Host
	items []outboxItem
}

type outboxItem struct {
	record Record
	kind   kind
	// receipt is completed when the record is known by the host; nil if nobody waits for that.
	receipt *receipt
}

// receipt tells whether a record is known by another host.
type receipt struct {
	once sync.Once
	done chan struct{}
}

func newReceipt() *receipt {
	return &receipt{done: make(chan struct{})}
}

func (r *receipt) complete() {
	if r != nil {
		r.once.Do(func() { close(r.done) })
	}
}

// wait waits until the receipt is complete, and reports whether it is.
func (r *receipt) wait(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-r.done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// enqueue sends a record to a host. Records that come while a call to the host is under way are sent
// together after it. The mutex must be held.
func (g *Group) enqueue(to Host, why kind, r Record, receipt *receipt) {
	if g.pending >= maxPending {
		g.countDropped(1, "too many to send")
		return
	}
	g.pending++
	key := outboxKey{control: to.Control, fresh: why == kindFresh}
	box, sending := g.outboxes[key]
	if !sending {
		box = &outbox{}
		g.outboxes[key] = box
		go g.send(key, box)
	}
	box.host = to
	box.items = append(box.items, outboxItem{record: r, kind: why, receipt: receipt})
}

// send sends what comes into an outbox until it is empty.
func (g *Group) send(key outboxKey, box *outbox) {
	for {
		if !key.fresh {
			g.bulkSlots <- struct{}{}
		}
		g.mu.Lock()
		count := min(len(box.items), maxBatch)
		items, host := box.items[:count:count], box.host
		box.items = box.items[count:]
		if count == 0 {
			delete(g.outboxes, key)
		}
		g.mu.Unlock()
		if count > 0 {
			g.sendBatch(host, items)
		}
		if !key.fresh {
			<-g.bulkSlots
		}
		if count == 0 {
			return
		}
	}
}

var errAvoided = errors.New("origin: the host has not answered lately")

// avoids reports whether a host is sent no records now.
func (g *Group) avoids(h Host) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Now().Before(g.avoided[h.id()])
}

func (g *Group) sendBatch(host Host, items []outboxItem) {
	records := make([]Record, 0, len(items))
	var counts [len(kindCounters)]int64
	for _, i := range items {
		records = append(records, i.record)
		counts[i.kind]++
	}
	for k, count := range counts {
		g.options.Scope.Counter(kindCounters[k]).Inc(count)
	}
	ctx, cancel := context.WithTimeout(g.options.Context, storeTimeout)
	defer cancel()
	err := errAvoided
	if !g.avoids(host) {
		err = g.options.Store(ctx, host.Control, records)
	}
	for _, i := range items {
		if err == nil {
			i.receipt.complete()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending -= len(items)
	if err == nil || g.options.Context.Err() != nil {
		return
	}
	g.options.Scope.Counter("stream_versions_lost").Inc(int64(len(records)))
	g.options.Log.WithError(err).WithField("peer", host.Address).Debug("cannot send the versions of streams to a peer")
	g.replace(host, records)
}
