// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// smallBytes is how much of each request counts against the part of the memory that is kept for small ones,
	// and smallShare the size of that part. Large requests can't keep small ones out.
	smallBytes = 16 << 10
	smallShare = 0.25
	// progressWindow is the time over which the progress of a request is measured. A request that has just begun
	// counts as fast.
	progressWindow = time.Second
	// reportInterval is the least time between two log lines about refusals.
	reportInterval = 10 * time.Second
)

// MemoryOptions are the options of a Memory. All are required.
type MemoryOptions struct {
	// Bytes is the size of the memory.
	Bytes int64
	Log   logrus.FieldLogger
	Scope tally.Scope
}

// part is a part of the memory.
type part struct {
	// used is at most size, but for answers that are being written.
	used, size int64
	gauge      tally.Gauge
}

func newPart(name string, size int64, scope tally.Scope) part {
	scope = scope.Tagged(map[string]string{"part": name})
	scope.Gauge("client_bytes_limit").Update(float64(size))
	return part{size: size, gauge: scope.Gauge("client_bytes")}
}

// Memory is the memory for the requests that clients send, until they have been served. It is safe for concurrent use.
type Memory struct {
	log logrus.FieldLogger
	// refusals counts the requests that were refused.
	refusals tally.Counter

	mu           sync.Mutex
	small, large part
	// pending has the requests whose clients are waited for: to send more, or to take their answer. Only these can
	// be evicted.
	pending map[*Holding]struct{}
	// refused counts the requests that were refused since reportedAt.
	refused    int
	reportedAt time.Time
}

// NewMemory returns a Memory that nothing occupies.
func NewMemory(o MemoryOptions) *Memory {
	small := int64(smallShare * float64(o.Bytes))
	return &Memory{
		log: o.Log, refusals: refusalCounter(o.Scope, "memory"), pending: make(map[*Holding]struct{}),
		small: newPart("small", small, o.Scope), large: newPart("large", o.Bytes-small, o.Scope),
	}
}

// refusalCounter returns the counter of clients that were refused for a reason.
func refusalCounter(scope tally.Scope, reason string) tally.Counter {
	return scope.Tagged(map[string]string{"reason": reason}).Counter("clients_refused")
}

// Holding is what one request holds of a Memory. Release must be called.
type Holding struct {
	memory *Memory
	// evict makes the reader of the request stop.
	evict func()

	// The fields below are guarded by the mutex of the memory. bytes is what the request holds; it is 0 once the
	// request was evicted.
	bytes   int64
	evicted bool
	// beganAt is when the request, or its answer, began. passed and before count the bytes that came from the client,
	// or that it took, in the window since windowAt and in the one before that.
	beganAt, windowAt time.Time
	passed, before    int64
}

// Hold returns a holding of no bytes. evict is called at most once, if another request needs the memory while the
// client of this one is waited for, and must not block.
func (m *Memory) Hold(evict func()) *Holding {
	now := time.Now()
	h := &Holding{memory: m, evict: evict, beganAt: now, windowAt: now}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending[h] = struct{}{}
	return h
}

// Passed records that bytes of the request have arrived, or that the client has taken some of the answer.
func (h *Holding) Passed(count int64) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.advance(time.Now())
	h.passed += count
}

// advance begins a new window if the last one is over.
func (h *Holding) advance(now time.Time) {
	switch age := now.Sub(h.windowAt); {
	case age < progressWindow:
	case age < 2*progressWindow:
		h.before, h.passed, h.windowAt = h.passed, 0, now
	default:
		h.before, h.passed, h.windowAt = 0, 0, now
	}
}

// isSlowerThan reports whether a request has made less progress lately than another one, or as little for longer. One
// that has just begun never has.
func (h *Holding) isSlowerThan(other *Holding, now time.Time) bool {
	switch {
	case now.Sub(h.beganAt) < progressWindow:
		return false
	case now.Sub(other.beganAt) < progressWindow:
		return true
	}
	h.advance(now)
	other.advance(now)
	if a, b := h.before+h.passed, other.before+other.passed; a != b {
		return a < b
	}
	return h.beganAt.Before(other.beganAt)
}

// Grow takes more bytes, and reports whether the request may have them. If not, it must be refused.
func (h *Holding) Grow(count int64) bool {
	m := h.memory
	m.mu.Lock()
	victims, ok := h.take(count)
	if !ok {
		m.reportRefusal()
	}
	m.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return ok
}

// take takes bytes of both parts, and returns the requests that were evicted for that.
func (h *Holding) take(count int64) (victims []*Holding, ok bool) {
	m := h.memory
	if h.evicted {
		return nil, false
	}
	small := min(max(smallBytes-h.bytes, 0), count)
	for _, need := range []struct {
		part  *part
		bytes int64
		large bool
	}{{&m.small, small, false}, {&m.large, count - small, true}} {
		for need.part.used+need.bytes > need.part.size {
			victim := m.slowest(h, need.large)
			if victim == nil {
				return victims, false
			}
			m.evict(victim)
			victims = append(victims, victim)
		}
	}
	m.charge(h, count)
	m.report()
	return victims, true
}

// slowest returns the slowest request that holds some of a part and is slower than h; nil if there is none.
func (m *Memory) slowest(h *Holding, large bool) *Holding {
	now, slowest := time.Now(), h
	for other := range m.pending {
		if other.bytes > 0 && (!large || other.bytes > smallBytes) && other.isSlowerThan(slowest, now) {
			slowest = other
		}
	}
	if slowest == h {
		return nil
	}
	return slowest
}

// drop gives back what a request holds.
func (m *Memory) drop(h *Holding) {
	m.charge(h, -h.bytes)
	delete(m.pending, h)
}

// Send takes the bytes of an answer that is about to be written. It has been made, so that it is never refused; other
// requests give way as far as they can.
func (h *Holding) Send(count int64) {
	m, now := h.memory, time.Now()
	m.mu.Lock()
	if h.evicted {
		m.mu.Unlock()
		return
	}
	h.beganAt, h.windowAt, h.passed, h.before = now, now, 0, 0
	m.pending[h] = struct{}{}
	m.charge(h, count)
	var victims []*Holding
	for m.large.used > m.large.size {
		victim := m.slowest(h, true)
		if victim == nil {
			break
		}
		m.evict(victim)
		victims = append(victims, victim)
	}
	m.report()
	m.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
}

// Sent gives the bytes of an answer back that Send has taken.
func (h *Holding) Sent(count int64) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.evicted {
		return
	}
	delete(m.pending, h)
	m.charge(h, -count)
	m.report()
}

// charge adds to what a request holds, or takes from it.
func (m *Memory) charge(h *Holding, count int64) {
	small := min(h.bytes+count, smallBytes) - min(h.bytes, smallBytes)
	m.small.used += small
	m.large.used += count - small
	h.bytes += count
}

// evict makes a request give way.
func (m *Memory) evict(h *Holding) {
	m.drop(h)
	h.evicted = true
	m.reportRefusal()
}

// Evicted reports whether the request was evicted.
func (h *Holding) Evicted() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.evicted
}

// Complete records that the whole request has arrived. It can't be evicted any more.
func (h *Holding) Complete() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	delete(h.memory.pending, h)
}

// Release gives all bytes back.
func (h *Holding) Release() {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(h)
	m.report()
}

// report updates the gauges.
func (m *Memory) report() {
	m.small.gauge.Update(float64(m.small.used))
	m.large.gauge.Update(float64(m.large.used))
}

// reportRefusal counts a refusal, and logs it unless one was logged lately.
func (m *Memory) reportRefusal() {
	m.refusals.Inc(1)
	m.refused++
	if now := time.Now(); now.Sub(m.reportedAt) >= reportInterval {
		m.log.WithFields(logrus.Fields{
			"refused": m.refused, "pending": len(m.pending), "small_bytes": m.small.used, "small_limit": m.small.size,
			"large_bytes": m.large.used, "large_limit": m.large.size,
		}).Warn("requests refused: the memory for those of clients is full")
		m.refused, m.reportedAt = 0, now
	}
}
