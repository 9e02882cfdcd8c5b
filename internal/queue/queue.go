// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package queue orders waiting work: a fair share for each workspace by
// weight, and the least slack first among the workspaces that are not ahead of
// their share. Background work comes out only when nothing interactive waits.
package queue

import (
	"container/heap"
	"time"
)

// Item says how a value is to be ordered.
type Item struct {
	// Workspace is whose share the value draws on.
	Workspace string
	// Weight is the workspace's weight, at least 1.
	Weight int
	// Latest is when the value must start to be of use.
	Latest time.Time
	// Cost is the expected work.
	Cost time.Duration
	// Background marks work that yields.
	Background bool
}

// Policy decides what a Queue gives out next. It lets a baseline and ours run
// behind one signature.
type Policy int

const (
	// FairSlack is the policy that the package comment describes.
	FairSlack Policy = iota
	// Arrival gives out what came first and knows no shares.
	Arrival
)

// Queue holds values of type T. It is not safe for concurrent use.
type Queue[T any] struct {
	policy Policy
	window time.Duration
	// queues has no empty backlog.
	queues map[string]*backlog[T]
	// virtual is the highest start that was given out. It never falls.
	virtual float64
	// work is the sum of all costs that wait.
	work  time.Duration
	count int
	seq   uint64
}

type backlog[T any] struct {
	weight  float64
	virtual float64
	urgent  entries[T]
	patient entries[T]
	work    time.Duration
}

type entry[T any] struct {
	value T
	item  Item
	seq   uint64
}

// entries is a heap by latest start.
type entries[T any] struct {
	list      []entry[T]
	byArrival bool
}

// Window is how far ahead of its share a workspace may be, as work per unit of
// weight, and still be served by slack alone.
const Window = 200 * time.Millisecond

// New returns an empty queue.
func New[T any](policy Policy) *Queue[T] {
	return &Queue[T]{policy: policy, window: Window, queues: make(map[string]*backlog[T])}
}

// Len returns how many values wait.
func (q *Queue[T]) Len() int {
	return q.count
}

// Work returns the sum of the costs that wait.
func (q *Queue[T]) Work() time.Duration {
	return q.work
}

// Push adds value.
func (q *Queue[T]) Push(value T, item Item) {
	q.seq++
	name := item.Workspace
	if q.policy == Arrival {
		name = ""
		item.Background = false
	}
	b := q.queues[name]
	if b == nil {
		b = &backlog[T]{virtual: q.virtual}
		b.urgent.byArrival = q.policy == Arrival
		q.queues[name] = b
	}
	b.weight = float64(max(item.Weight, 1))
	b.work += item.Cost
	q.work += item.Cost
	q.count++
	target := &b.urgent
	if item.Background {
		target = &b.patient
	}
	heap.Push(target, entry[T]{value: value, item: item, seq: q.seq})
}

// Pop removes and returns the next value. With urgentOnly it passes over
// background work. It reports false where nothing fits.
func (q *Queue[T]) Pop(urgentOnly bool) (T, bool) {
	name, b, from := q.next(false)
	if b == nil && !urgentOnly {
		name, b, from = q.next(true)
	}
	if b == nil {
		var zero T
		return zero, false
	}
	e := heap.Pop(from).(entry[T])
	q.virtual = max(q.virtual, b.virtual)
	b.virtual += e.item.Cost.Seconds() / b.weight
	b.work -= e.item.Cost
	q.work -= e.item.Cost
	q.count--
	if len(b.urgent.list)+len(b.patient.list) == 0 {
		q.retire(name, b)
	}
	return e.value, true
}

// next chooses the backlog to serve among those with urgent or patient work.
func (q *Queue[T]) next(background bool) (string, *backlog[T], *entries[T]) {
	lowest, found := 0.0, false
	for _, b := range q.queues {
		if len(b.of(background).list) == 0 {
			continue
		}
		if !found || b.virtual < lowest {
			lowest, found = b.virtual, true
		}
	}
	var bestName string
	var best *backlog[T]
	for name, b := range q.queues {
		from := b.of(background)
		if len(from.list) == 0 || b.virtual > lowest+q.window.Seconds() {
			continue
		}
		if best == nil || from.list[0].before(best.of(background).list[0], from.byArrival) {
			bestName, best = name, b
		}
	}
	if best == nil {
		return "", nil, nil
	}
	return bestName, best, best.of(background)
}

// retire drops an empty backlog. One that is ahead of its share is kept in
// mind by raising the common start only as far as the share allows.
func (q *Queue[T]) retire(name string, b *backlog[T]) {
	delete(q.queues, name)
	if len(q.queues) == 0 {
		q.virtual = max(q.virtual, b.virtual)
	}
}

func (b *backlog[T]) of(background bool) *entries[T] {
	if background {
		return &b.patient
	}
	return &b.urgent
}

func (e entry[T]) before(other entry[T], byArrival bool) bool {
	if byArrival || e.item.Latest.Equal(other.item.Latest) {
		return e.seq < other.seq
	}
	return e.item.Latest.Before(other.item.Latest)
}

// Len, Less, Swap, Push and Pop are for container/heap.

func (s *entries[T]) Len() int           { return len(s.list) }
func (s *entries[T]) Less(i, j int) bool { return s.list[i].before(s.list[j], s.byArrival) }
func (s *entries[T]) Swap(i, j int)      { s.list[i], s.list[j] = s.list[j], s.list[i] }
func (s *entries[T]) Push(x any)         { s.list = append(s.list, x.(entry[T])) }

func (s *entries[T]) Pop() any {
	last := len(s.list) - 1
	e := s.list[last]
	s.list[last] = entry[T]{}
	s.list = s.list[:last]
	return e
}
