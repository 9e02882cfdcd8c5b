// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["twice"] = twice }

const (
	// twiceStreams is how many streams with long prompts each of twiceCallers sends one after the other. twiceLoad
	// others send streams with short prompts.
	twiceCallers, twiceStreams, twiceLoad = 3, 4, 16
	// twiceAfter is how long the earlier runner may work on after the request goes on at another one.
	twiceAfter = 400 * time.Millisecond
)

// work is when a request went on at another runner and when that run ended, and when the earlier runner made an event
// last.
type work struct {
	goesOn, ended, worked time.Time
}

// twice: an engine preempts a stream and reads its prompt anew, and the host sends the stream to a second engine.
func twice(s *site, trouble bool) bool {
	var mu sync.Mutex
	var answered atomic.Int64
	works := make(map[string]*work)
	note := func(a *engineRun, f func(w *work, now time.Time)) {
		mu.Lock()
		defer mu.Unlock()
		if works[a.id] == nil {
			works[a.id] = &work{}
		}
		f(works[a.id], time.Now())
	}
	zones := []string{"brisbane-hall", "ipswich-hall", "goldcoast-hall"}
	for i := range 12 {
		e := newEngine(s, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)])
		e.act = func(a *engineRun) bool {
			if a.tokens != longTokens {
				return false
			}
			if a.after > 0 {
				note(a, func(w *work, now time.Time) { w.goesOn = now })
				a.serve()
				note(a, func(w *work, now time.Time) { w.ended = now })
				return true
			}
			a.read()
			a.head()
			a.stream(1, 5)
			if trouble {
				s.line("%s preempts %s after event 5, and reads it anew", e.id, a.id)
				a.read()
			}
			for n := 6; n <= e.events && !a.left(); n++ {
				a.write(chunk(event(n)))
				note(a, func(w *work, now time.Time) { w.worked = now })
				a.wait(e.pace)
			}
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
	wait := s.load(twiceLoad, s.nodes, stop, &answered)
	var callers sync.WaitGroup
	for c := range twiceCallers {
		callers.Go(func() {
			for i := range twiceStreams {
				n := s.nodes[(c+i)%len(s.nodes)]
				r := longRequest(n, fmt.Sprintf("%08x%08x", 0xb000+c, i))
				s.line("caller sends %s to %s", r.id, n.name)
				a := s.send(context.Background(), r)
				s.line("caller gets %s: status %d, whole %t, events %v, error %v", r.id, a.status, a.whole, events(a.body), a.err)
			}
		})
	}
	callers.Wait()
	close(stop)
	wait()
	time.Sleep(500 * time.Millisecond)
	broken := 0
	mu.Lock()
	defer mu.Unlock()
	for id, w := range works {
		if w.goesOn.IsZero() {
			continue
		}
		both := min(w.worked.Sub(w.goesOn), w.ended.Sub(w.goesOn))
		s.line("%s went on at another runner; both runners worked on it for %d ms", id, both.Milliseconds())
		if both > twiceAfter {
			s.line("BROKEN: the earlier runner of %s still worked on it %v after it went on at another one", id, twiceAfter)
			broken++
		}
	}
	s.line("%d of %d streams with long prompts were at work at two runners for over %v", broken, twiceCallers*twiceStreams, twiceAfter)
	return broken > 0
}
