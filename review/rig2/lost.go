// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["lost"] = lost }

const (
	// lostEngines is how many engines there are, and lostFaulty how many of them break answers off: a half.
	lostEngines, lostFaulty = 12, 6
	// lostCallers send streams with long prompts on kept channels, lostStreams each, and lostLoad others with short ones.
	lostCallers, lostStreams, lostLoad = 6, 14, 40
	// lostAllowed is how often the rule lets it happen.
	lostAllowed = 3
)

// channel is a connection that a caller keeps for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// close closes the channel, so that the next request opens another.
func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// sendKept sends a request on a kept channel, on which a short stream was answered before.
func (s *site) sendKept(c *channel, r request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", r.node.callers, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
		if a := s.exchange(conn, c.reader, streamRequest(r.node, "5"+r.id[1:])); a.status == 0 || !a.whole {
			c.close()
			return answer{err: fmt.Errorf("the channel's first request failed: %w", a.err)}
		}
	}
	a := s.exchange(c.conn, c.reader, r)
	if !a.whole || a.header.Get("Connection") == "close" {
		c.close()
	}
	return a
}

// lost: engines preempt streams with long prompts, read them anew and go on. Some of the engines break the answer off
// after that.
func lost(s *site, trouble bool) bool {
	var answered atomic.Int64
	// A half of the engines cut off 0.03 of their answers, 5 s at a time.
	dose := newGarble(5*time.Second, 2*time.Second, 0.03)
	var mu sync.Mutex
	// second has the sound engine that got a stream to go on with it.
	second := make(map[string]string)
	zones := []string{"brisbane-hall", "ipswich-hall", "goldcoast-hall"}
	for i := range lostEngines {
		e := newEngine(s, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)])
		e.act = func(a *engineRun) bool {
			if a.after > 0 && i >= lostFaulty {
				mu.Lock()
				second[a.id] = e.id
				mu.Unlock()
			}
			if a.after > 0 || a.tokens != longTokens || !a.read() {
				if i < lostFaulty {
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
			a.stream(6, 16)
			if trouble && i < lostFaulty && dose.strikes() {
				a.write(chunk(event(17))[:12])
				s.line("%s breaks %s off within event 17 of %d", e.id, a.id, e.events)
				return true
			}
			if i < lostFaulty {
				dose.answered()
			}
			a.stream(17, e.events)
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
	wait := s.load(lostLoad, s.nodes, stop, &answered)
	var broken atomic.Int64
	var callers sync.WaitGroup
	for c := range lostCallers {
		callers.Go(func() {
			kept := &channel{}
			defer kept.close()
			n := s.nodes[c%len(s.nodes)]
			for i := range lostStreams {
				r := longRequest(n, fmt.Sprintf("%08x%08x", 0xa000+c, i))
				s.line("caller sends %s to %s on a kept channel", r.id, n.name)
				a := s.sendKept(kept, r)
				answered.Add(1)
				s.line("caller gets %s: status %d, whole %t, events %v, error %v", r.id, a.status, a.whole, events(a.body), a.err)
				mu.Lock()
				other := second[r.id]
				mu.Unlock()
				if a.status == 200 && !a.whole && other != "" {
					s.line("BROKEN: the channel of %s was closed within its answer, though it had been passed on to %s, which is sound", r.id, other)
					broken.Add(1)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	wait()
	s.line("%d answers to streams; %d of the faulty engines' %d answers within the windows of trouble were broken off", answered.Load(), dose.cut, dose.answers)
	s.line("%d channels were closed without a whole answer though a sound engine had got the stream; %d are allowed", broken.Load(), lostAllowed)
	return broken.Load() > lostAllowed
}
