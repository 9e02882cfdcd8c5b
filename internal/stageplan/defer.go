// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"container/heap"
	"math"
	"time"
)

// This file handles bursts, in which for some seconds more work arrives than a pool can do, both
// urgent and deferrable, in tasks of one to ten pieces. If the earliest due task always goes first, all
// of it ends just too late. If some tasks are deferred, the rest are in time.

// deferCostly marks tasks to run last so that as many others as possible are in time. Wherever
// a task would be late, it defers the most costly of those up to it. It reports whether it
// deferred any. The queue must be sorted.
func (s *Scheduler) deferCostly(now time.Time, usable []*serverState) bool {
	nextFreeIn := s.nextFreeIn(now, usable)
	rate := s.rate(now, len(usable))
	slowest := now.Add(s.CallTime() + lateMargin)
	var candidates costHeap
	ahead := 0
	found := false
	for _, t := range s.waiting {
		if t.deferred || s.holdsMemory(t) {
			continue
		}
		heap.Push(&candidates, t)
		ahead += len(t.pending)
		wait := nextFreeIn + seconds(float64(ahead-len(t.pending))/rate)
		if !slowest.Add(wait).After(t.Latest) {
			continue
		}
		found = true
		costliest := heap.Pop(&candidates).(*Task) //nolint:forcetypeassert // The heap has tasks only.
		costliest.deferred = true
		ahead -= len(costliest.pending)
	}
	return found
}

// tooLate reports whether a task that starts after a wait would miss its objective.
func (s *Scheduler) tooLate(now time.Time, t *Task, wait time.Duration) bool {
	return now.Add(wait + s.CallTime() + lateMargin).After(t.Latest)
}

// costHeap is a heap of tasks. The first is the one that uses most of the pool for its value.
// Of equal ones it is the one due first, since that has the least time left for later stages.
type costHeap []*Task

func (d costHeap) Len() int      { return len(d) }
func (d costHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d costHeap) Less(i, j int) bool {
	if a, b := d[i].cost(), d[j].cost(); a != b {
		return a > b
	}
	return d[i].rankAt.Before(d[j].rankAt)
}

// Push adds a *Task.
func (d *costHeap) Push(t any) { *d = append(*d, t.(*Task)) } //nolint:forcetypeassert // The heap has tasks only.

// Pop removes the last *Task.
func (d *costHeap) Pop() any {
	last := len(*d) - 1
	t := (*d)[last]
	*d = (*d)[:last]
	return t
}

// cost returns how much of a pool a task uses, doubled for each priority level below the most
// urgent.
func (t *Task) cost() float64 {
	return math.Ldexp(float64(len(t.pending)), t.Priority)
}
