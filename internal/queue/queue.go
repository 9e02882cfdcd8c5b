// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package queue implements weighted fair queueing between workspaces. Among the workspaces
// that are not ahead of their share, the work with the least slack goes first. Background work
// is served only when no interactive work waits.
package queue

import (
	"container/heap"
	"time"
)

// Item has the scheduling parameters of a value.
type Item struct {
	// Workspace is the workspace whose share the value uses.
	Workspace string
	// Weight is the workspace's weight, at least 1.
	Weight int
	// Latest is the latest useful start of the work.
	Latest time.Time
	// Cost is the expected duration of the work.
	Cost time.Duration
	// Background marks work that yields to interactive work.
	Background bool
}

// Policy selects the order in which a Queue returns values. It allows running a baseline with
// the same interface.
type Policy int

const (
	// FairSlack is the policy described in the package comment.
	FairSlack Policy = iota
	// Arrival serves values in order of arrival, without shares.
	Arrival
)

// Queue is a queue of values of type T. It is not safe for concurrent use.
type Queue[T any] struct {
	policy Policy
	window time.Duration
	// queues has the backlog of each workspace; none of them is empty.
	queues map[string]*backlog[T]
	// virtualTime is the highest virtual start time of a value returned so far. It never
	// decreases.
	virtualTime float64
	// work is the sum of the costs of all queued values.
	work  time.Duration
	count int
	seq   uint64
}

type backlog[T any] struct {
	weight             float64
	virtualTime        float64
	interactiveEntries entries[T]
	backgroundEntries  entries[T]
	work               time.Duration
}

type entry[T any] struct {
	value T
	item  Item
	seq   uint64
}

// entries is a heap by latest start, or by arrival.
type entries[T any] struct {
	list      []entry[T]
	byArrival bool
}

// Window is how far ahead of its share a workspace may be, as work per unit of weight, and
// still be served by slack alone.
const Window = 200 * time.Millisecond

// New returns an empty Queue.
func New[T any](policy Policy) *Queue[T] {
	return &Queue[T]{policy: policy, window: Window, queues: make(map[string]*backlog[T])}
}

// Len returns the number of queued values.
func (q *Queue[T]) Len() int {
	return q.count
}

// Work returns the sum of the costs of all queued values.
func (q *Queue[T]) Work() time.Duration {
	return q.work
}

// Push adds a value.
func (q *Queue[T]) Push(value T, item Item) {
	q.seq++
	name := item.Workspace
	if q.policy == Arrival {
		name = ""
		item.Background = false
	}
	b := q.queues[name]
	if b == nil {
		b = &backlog[T]{virtualTime: q.virtualTime}
		b.interactiveEntries.byArrival = q.policy == Arrival
		q.queues[name] = b
	}
	b.weight = float64(max(item.Weight, 1))
	b.work += item.Cost
	q.work += item.Cost
	q.count++
	target := &b.interactiveEntries
	if item.Background {
		target = &b.backgroundEntries
	}
	heap.Push(target, entry[T]{value: value, item: item, seq: q.seq})
}

// Pop removes and returns the next value. With interactiveOnly it skips background work. It
// reports false if there is none.
func (q *Queue[T]) Pop(interactiveOnly bool) (T, bool) {
	name, b, from := q.selectBacklog(false)
	if b == nil && !interactiveOnly {
		name, b, from = q.selectBacklog(true)
	}
	if b == nil {
		var zero T
		return zero, false
	}
	e := heap.Pop(from).(entry[T])
	q.virtualTime = max(q.virtualTime, b.virtualTime)
	b.virtualTime += e.item.Cost.Seconds() / b.weight
	b.work -= e.item.Cost
	q.work -= e.item.Cost
	q.count--
	if len(b.interactiveEntries.list)+len(b.backgroundEntries.list) == 0 {
		q.removeBacklog(name, b)
	}
	return e.value, true
}

// selectBacklog selects the backlog to serve among those with interactive or background work.
func (q *Queue[T]) selectBacklog(background bool) (string, *backlog[T], *entries[T]) {
	lowest, found := 0.0, false
	for _, b := range q.queues {
		if len(b.entriesFor(background).list) == 0 {
			continue
		}
		if !found || b.virtualTime < lowest {
			lowest, found = b.virtualTime, true
		}
	}
	var bestName string
	var best *backlog[T]
	for name, b := range q.queues {
		from := b.entriesFor(background)
		if len(from.list) == 0 || b.virtualTime > lowest+q.window.Seconds() {
			continue
		}
		if best == nil || from.list[0].precedes(best.entriesFor(background).list[0], from.byArrival) {
			bestName, best = name, b
		}
	}
	if best == nil {
		return "", nil, nil
	}
	return bestName, best, best.entriesFor(background)
}

// removeBacklog removes an empty backlog. The lead of a workspace over its share is kept by
// raising the common virtual time, but only if no other workspace has work queued.
func (q *Queue[T]) removeBacklog(name string, b *backlog[T]) {
	delete(q.queues, name)
	if len(q.queues) == 0 {
		q.virtualTime = max(q.virtualTime, b.virtualTime)
	}
}

func (b *backlog[T]) entriesFor(background bool) *entries[T] {
	if background {
		return &b.backgroundEntries
	}
	return &b.interactiveEntries
}

func (e entry[T]) precedes(other entry[T], byArrival bool) bool {
	if byArrival || e.item.Latest.Equal(other.item.Latest) {
		return e.seq < other.seq
	}
	return e.item.Latest.Before(other.item.Latest)
}

// Len, Less, Swap, Push and Pop are for container/heap.

func (s *entries[T]) Len() int           { return len(s.list) }
func (s *entries[T]) Less(i, j int) bool { return s.list[i].precedes(s.list[j], s.byArrival) }
func (s *entries[T]) Swap(i, j int)      { s.list[i], s.list[j] = s.list[j], s.list[i] }
func (s *entries[T]) Push(x any)         { s.list = append(s.list, x.(entry[T])) }

func (s *entries[T]) Pop() any {
	last := len(s.list) - 1
	e := s.list[last]
	s.list[last] = entry[T]{}
	s.list = s.list[:last]
	return e
}
