// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stageplan"
)

const ms = time.Millisecond

// due returns work that must have ended after a time, with a priority.
func due(name string, pieces, priority int, in time.Duration) stageplan.Work {
	w := work(name, pieces)
	w.Priority, w.Latest = priority, start.Add(in)
	return w
}

// Only one call ends before all waiting tasks are late. A task that fills it alone must go
// after the tasks of one piece that fit in it together, although it is due first.
func TestCostliestTaskIsDeferredWhenNotAllCanBeInTime(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	s.Add(start, due("large", 8, 0, 400*ms))
	for i := range 4 {
		s.Add(start, due(fmt.Sprint(i), 1, 0, 450*ms))
	}
	assert.DeepEqual(t, requests(next(t, s, start))[:4], []string{"0", "1", "2", "3"})
}

// A less urgent task of four pieces has waited so long that it would go first. If more urgent
// work of five pieces waits than can be in time, the less urgent task must be deferred.
func TestLessUrgentWorkIsDeferredFirst(t *testing.T) {
	for _, c := range []struct {
		urgent int
		cheap  bool
	}{{2, true}, {8, false}} {
		s := newScheduler(spec, server(1, "a"))
		s.Add(start, due("cheap", 4, 1, 400*ms))
		for i := range c.urgent {
			s.Add(start, due(fmt.Sprint(i), 5, 0, 400*ms+stageplan.PriorityOffset(1)+ms))
		}
		assert.Equal(t, requests(next(t, s, start))[0] == "cheap", c.cheap, "with %d urgent tasks", c.urgent)
	}
}

// The server of the task's zone is busy for another 280 ms. Tasks that can wait for it do.
// Tasks that would be late may run in another zone immediately.
func TestWorkLeavesZoneThatWouldMakeItLate(t *testing.T) {
	for _, c := range []struct {
		latest time.Duration
		leaves bool
	}{{2 * time.Second, false}, {450 * ms, true}} {
		s := newScheduler(spec, server(1, "a"), server(2, "b"))
		busy := due("busy", 8, 0, time.Second)
		busy.Zone, busy.ResultBytes = "a", 1e6
		s.Add(start, busy)
		assert.Equal(t, next(t, s, start).Server().Zone, "a")
		w := due("x", 1, 0, c.latest)
		w.Zone, w.ResultBytes = "a", 1e6
		s.Add(start, w)
		call, ok := s.Next(start)
		assert.Equal(t, ok, c.leaves, "due in %v", c.latest)
		if ok {
			assert.Equal(t, call.Server().Zone, "b")
		}
	}
}

// Ten requests a second arrive in time, and late ones of returning callers along with them.
// Late ones may use servers only while more than half of the servers are free. If no others
// arrive they may use all servers.
func TestLateWorkLeavesServersForArrivingWork(t *testing.T) {
	for _, c := range []struct {
		othersArrive bool
		calls        int
	}{{true, 2}, {false, 4}} {
		s := newScheduler(spec, server(1, "a"), server(2, "a"), server(3, "a"), server(4, "a"))
		now := start
		for i := range 10 {
			if !c.othersArrive {
				break
			}
			w := due(fmt.Sprint("timely", i), 1, 0, 2*time.Second)
			s.Add(now, w)
			call := next(t, s, now)
			now = now.Add(100 * ms)
			s.Finish(now.Add(-ms), call, made(call))
		}
		for i := range 8 {
			s.Add(now, due(fmt.Sprint("late", i), 4, 0, 0))
		}
		calls := 0
		for {
			if _, ok := s.Next(now); !ok {
				break
			}
			calls++
		}
		assert.Equal(t, calls, c.calls, "others arrive in time: %v", c.othersArrive)
	}
}

// BenchmarkNextWithBacklog searches for the next call while tasks wait and all servers are
// busy.
func BenchmarkNextWithBacklog(b *testing.B) {
	for _, c := range []struct{ servers, tasks int }{{24, 500}, {24, 72}, {48, 144}, {96, 288}, {180, 540}} {
		b.Run(fmt.Sprintf("servers=%d/tasks=%d", c.servers, c.tasks), func(b *testing.B) {
			s := saturated(c.servers, c.tasks)
			for b.Loop() {
				s.Next(start)
			}
		})
	}
}

// saturated returns a scheduler whose servers are all busy while the given number of tasks
// wait.
func saturated(count, tasks int) *stageplan.Scheduler {
	var servers []stageplan.Server
	for i := range count {
		servers = append(servers, server(i+1, string(rune('a'+i%3))))
	}
	s := newScheduler(spec, servers...)
	for i := range count {
		s.Add(start, due(fmt.Sprint("running", i), 8, 0, time.Second))
	}
	for {
		if _, ok := s.Next(start); !ok {
			break
		}
	}
	for i := range tasks {
		s.Add(start, due(fmt.Sprint(i), 1+i%8, i%3, time.Duration(300+i)*ms))
	}
	return s
}
