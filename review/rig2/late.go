// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late"] = late }

const (
	// lateEngines is how many engines there are, and lateFaulty how many of them break answers off: a third.
	lateEngines, lateFaulty = 12, 4
	// lateCallers send streams with long prompts, lateStreams each, and lateLoad others with short ones.
	lateCallers, lateStreams, lateLoad = 5, 12, 40
)

// late: engines preempt streams with long prompts and read them anew. Some of the engines then break the answer off,
// between two events of one chunk.
func late(s *site, trouble bool) bool {
	var answered atomic.Int64
	// A third of the engines cut off 0.02 of their answers, 5.5 s at a time.
	dose := newGarble(5500*time.Millisecond, 2*time.Second, 0.02)
	var all []int
	zones := []string{"brisbane-hall", "ipswich-hall", "goldcoast-hall"}
	for i := range lateEngines {
		e := newEngine(s, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)])
		all = e.allEvents()
		e.act = func(a *engineRun) bool {
			if a.after > 0 || a.tokens != longTokens || !a.read() {
				if i < lateFaulty {
					dose.answered()
				}
				return false
			}
			a.head()
			a.stream(1, 5)
			s.line("%s preempts %s after event 5, and reads it anew", e.id, a.id)
			if !a.read() {
				a.end()
				return true
			}
			three := chunk(event(6) + event(7) + event(8))
			if trouble && i < lateFaulty && dose.strikes() {
				a.write(three[:len(three)-len(event(8))-len("\r\n")])
				s.line("%s breaks %s off after event 7 of %d", e.id, a.id, e.events)
				return true
			}
			if i < lateFaulty {
				dose.answered()
			}
			a.write(three)
			a.stream(9, e.events)
			a.end()
			return true
		}
	}
	s.store.put("op/config", streamConfig())
	s.start(zones...)
	s.awaitReady()
	time.Sleep(time.Second)
	s.mustServe()
	stop := make(chan struct{})
	wait := s.load(lateLoad, s.nodes, stop, &answered)
	var broken atomic.Int64
	var callers sync.WaitGroup
	for c := range lateCallers {
		callers.Go(func() {
			for i := range lateStreams {
				n := s.nodes[(c+i)%len(s.nodes)]
				r := longRequest(n, fmt.Sprintf("%08x%08x", 0xa000+c, i))
				s.line("caller sends %s to %s", r.id, n.name)
				a := s.send(context.Background(), r)
				answered.Add(1)
				got := events(a.body)
				s.line("caller gets %s: status %d, whole %t, events %v, error %v", r.id, a.status, a.whole, got, a.err)
				if a.status == 200 && a.whole && !slices.Equal(got, all) {
					s.line("BROKEN: %s ended as complete with %d of %d events", r.id, len(got), len(all))
					broken.Add(1)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	wait()
	s.line("%d answers to streams; %d of the faulty engines' %d answers within the windows of trouble were broken off", answered.Load(), dose.cut, dose.answers)
	s.line("%d streams ended as complete before their last piece", broken.Load())
	return broken.Load() > 0
}
