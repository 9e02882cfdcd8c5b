// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stale"] = stale }

const (
	// cutTime is how long one node is cut off from the store, and contact how long a node must have run undisturbed to
	// be in touch.
	cutTime = 5500 * time.Millisecond
	contact = 3 * time.Second
	// drainTimeout is how long after it has left the list a server may get requests.
	drainTimeout = 2 * time.Second
)

// stale: a server leaves the list while one of two nodes is cut off from the store and the other is killed and starts
// again.
func stale(s *site, trouble bool) bool {
	zones := []string{"brisbane-hall", "ipswich-hall", "goldcoast-hall"}
	var mu sync.Mutex
	type arrival struct {
		at time.Time
		id string
	}
	var arrivals []arrival
	for i := range 12 {
		e := newEngine(s, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)])
		if i > 0 {
			continue
		}
		e.act = func(a *engineRun) bool {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{time.Now(), a.id})
			return false
		}
	}
	s.store.put("op/config", streamConfig())
	s.start(zones[:2]...)
	s.awaitReady()
	time.Sleep(3 * time.Second)
	s.mustServe()
	cutOff, others := s.nodes[0], s.nodes[1:]
	stop := make(chan struct{})
	var answered atomic.Int64
	wait := s.load(24, others, stop, &answered)
	time.Sleep(2 * time.Second)
	if trouble {
		s.line("%s is cut off from the store", cutOff.name)
		cutOff.gate.cut()
		time.Sleep(300 * time.Millisecond)
		for _, n := range others {
			s.line("%s is killed", n.name)
			_ = n.command.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, n := range others {
		if trouble {
			<-n.exited
		}
	}
	s.line("i-1 leaves the list, and serves on")
	s.store.remove("servers/i-1")
	leftAt := time.Now()
	startedAt := leftAt
	if trouble {
		time.Sleep(300 * time.Millisecond)
		for _, n := range others {
			s.startNode(n)
		}
		startedAt = time.Now()
		time.Sleep(cutTime - 600*time.Millisecond)
		s.line("%s reaches the store again", cutOff.name)
		cutOff.gate.heal()
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(time.Second)
	close(stop)
	wait()
	late := 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		if !a.at.After(leftAt) {
			continue
		}
		s.line("i-1 gets %s %.3f s after it has left the list, %.3f s after the nodes started", a.id, a.at.Sub(leftAt).Seconds(), a.at.Sub(startedAt).Seconds())
		if a.at.Sub(leftAt) > drainTimeout && a.at.Sub(startedAt) > contact {
			late++
		}
	}
	s.line("%d answers; %d requests reached i-1 later than %v after it had left, from nodes in touch", answered.Load(), late, drainTimeout)
	return late > 0
}
