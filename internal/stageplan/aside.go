// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"slices"
	"time"
)

// costStep is how many times the pieces of a task weigh for each priority that it is
// less urgent.
const costStep = 2.0

// The load pattern: for some seconds more comes than a pool makes, of urgent work and
// of work that can wait, in tasks of one piece to ten. Served by what is due first, all
// of it ends just too late. With some of it set aside the rest is in time.

// setAside finds the tasks to make last so that as many others as possible can be in
// time: wherever one would be late, the dearest of those before it. It reports whether
// there are any. The order must be fresh.
func (s *Scheduler) setAside(now time.Time, usable []*serverState) bool {
	turn := s.turn(now, usable)
	rate := s.rate(now, len(usable))
	var taken []*Task
	ahead := 0
	found := false
	for _, t := range s.waiting {
		if t.holdsRoom() || s.late(now, t) {
			continue
		}
		taken = append(taken, t)
		if !s.tooLate(now, t, turn+seconds(float64(ahead)/rate)) {
			ahead += len(t.pending)
			continue
		}
		found = true
		dearest := dearestOf(taken)
		taken[dearest].aside = true
		ahead += len(t.pending) - len(taken[dearest].pending)
		taken = slices.Delete(taken, dearest, dearest+1)
	}
	return found
}

// tooLate reports whether a task would miss its objective that begins after a wait.
func (s *Scheduler) tooLate(now time.Time, t *Task, wait time.Duration) bool {
	return now.Add(wait + s.CallTime() + lateMargin).After(t.Latest)
}

// dearestOf returns the position of the task that takes most of the pool for what it
// is worth; of equal ones that which is due first, since it has least time for what
// comes after.
func dearestOf(tasks []*Task) int {
	dearest := 0
	for i, t := range tasks {
		if t.cost() > tasks[dearest].cost() {
			dearest = i
		}
	}
	return dearest
}

// cost is what a task takes of a pool, the more the less urgent it is.
func (t *Task) cost() float64 {
	return float64(len(t.pending)) * math.Pow(costStep, float64(t.Priority))
}
