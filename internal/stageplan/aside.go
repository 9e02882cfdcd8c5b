// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"container/heap"
	"math"
	"time"
)

// The load pattern: for some seconds more comes than a pool makes, of urgent work and
// of work that can wait, in tasks of one piece to ten. Served by what is due first, all
// of it ends just too late. With some of it set aside the rest is in time.

// setAside finds the tasks to make last so that as many others as possible can be in
// time: wherever one would be late, the dearest of those before it. It reports whether
// there are any. The order must be fresh.
func (s *Scheduler) setAside(now time.Time, usable []*serverState) bool {
	turn := s.turn(now, usable)
	rate := s.rate(now, len(usable))
	slowest := now.Add(s.CallTime() + lateMargin)
	var taken dearest
	ahead := 0
	found := false
	for _, t := range s.waiting {
		if t.last || t.holdsRoom() {
			continue
		}
		heap.Push(&taken, t)
		ahead += len(t.pending)
		wait := turn + seconds(float64(ahead-len(t.pending))/rate)
		if !slowest.Add(wait).After(t.Latest) {
			continue
		}
		found = true
		dear := heap.Pop(&taken).(*Task) //nolint:forcetypeassert // It has nothing else.
		dear.last = true
		ahead -= len(dear.pending)
	}
	return found
}

// tooLate reports whether a task would miss its objective that begins after a wait.
func (s *Scheduler) tooLate(now time.Time, t *Task, wait time.Duration) bool {
	return now.Add(wait + s.CallTime() + lateMargin).After(t.Latest)
}

// dearest is a heap of tasks: first that which takes most of the pool for what it is
// worth, of equal ones that which is due first, since it has least time for what comes
// after.
type dearest []*Task

func (d dearest) Len() int      { return len(d) }
func (d dearest) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d dearest) Less(i, j int) bool {
	if a, b := d[i].cost(), d[j].cost(); a != b {
		return a > b
	}
	return d[i].due.Before(d[j].due)
}

// Push adds a *Task.
func (d *dearest) Push(t any) { *d = append(*d, t.(*Task)) } //nolint:forcetypeassert // It has nothing else.

// Pop takes the last *Task off.
func (d *dearest) Pop() any {
	last := len(*d) - 1
	t := (*d)[last]
	*d = (*d)[:last]
	return t
}

// cost is what a task takes of a pool, twice for each priority that it is less urgent.
func (t *Task) cost() float64 {
	return math.Ldexp(float64(len(t.pending)), t.Priority)
}
