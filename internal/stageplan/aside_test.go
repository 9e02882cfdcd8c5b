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

// due is work that must have ended in so long, of a priority.
func due(name string, pieces, priority int, in time.Duration) stageplan.Work {
	w := work(name, pieces)
	w.Priority, w.Latest = priority, start.Add(in)
	return w
}

// One call can be made before all that waits is late: a task that fills it goes after
// those of one piece that share it, though it is due first.
func TestTheDearestIsSetAsideWhereNotAllCanBeInTime(t *testing.T) {
	s := newScheduler(spec, server(1, "a"))
	s.Add(start, due("large", 8, 0, 400*ms))
	for i := range 4 {
		s.Add(start, due(fmt.Sprint(i), 1, 0, 450*ms))
	}
	assert.DeepEqual(t, requests(next(t, s, start))[:4], []string{"0", "1", "2", "3"})
}

// Work of four pieces that is less urgent has waited so long that it goes first. With
// more urgent work of five pieces than can be in time it is set aside.
func TestLessUrgentWorkIsSetAsideFirst(t *testing.T) {
	for _, c := range []struct {
		urgent int
		cheap  bool
	}{{2, true}, {8, false}} {
		s := newScheduler(spec, server(1, "a"))
		s.Add(start, due("cheap", 4, 1, 400*ms))
		for i := range c.urgent {
			s.Add(start, due(fmt.Sprint(i), 5, 0, 400*ms+stageplan.PriorityTime(1)+ms))
		}
		assert.Equal(t, requests(next(t, s, start))[0] == "cheap", c.cheap, "beside %d urgent ones", c.urgent)
	}
}

// A server of its zone works for another 280 ms: work that can wait for it does, and
// work that would be late leaves the zone at once.
func TestWorkLeavesAZoneThatWouldMakeItLate(t *testing.T) {
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

// Ten requests a second come in time, and callers that come back late beside them: the
// late ones get servers while more than half of them are free. Where nothing comes they get
// all.
func TestLateWorkLeavesServersForWhatComes(t *testing.T) {
	for _, c := range []struct {
		comes bool
		calls int
	}{{true, 2}, {false, 4}} {
		s := newScheduler(spec, server(1, "a"), server(2, "a"), server(3, "a"), server(4, "a"))
		now := start
		for i := range 10 {
			if !c.comes {
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
		assert.Equal(t, calls, c.calls, "others come in time: %v", c.comes)
	}
}

// BenchmarkNextInACrowd looks for the next call while tasks wait and all servers work.
func BenchmarkNextInACrowd(b *testing.B) {
	for _, c := range []struct{ servers, tasks int }{{24, 500}, {24, 72}, {48, 144}, {96, 288}, {180, 540}} {
		b.Run(fmt.Sprintf("servers=%d/tasks=%d", c.servers, c.tasks), func(b *testing.B) {
			s := crowded(c.servers, c.tasks)
			for b.Loop() {
				s.Next(start)
			}
		})
	}
}

// crowded returns a scheduler whose servers all work while so many tasks wait.
func crowded(count, tasks int) *stageplan.Scheduler {
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
