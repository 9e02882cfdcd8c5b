// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"slices"
	"sync"
	"time"
)

// slots lets a number of calls be worked on at once; the others wait, by
// priority and then in the order they came.
type slots struct {
	mu      sync.Mutex
	size    int
	running int
	waiting []*slotWaiter
	// past has earlier counts, the oldest first, for lagging reports.
	past []counts
}

type slotWaiter struct {
	priority int
	ready    chan struct{}
}

type counts struct {
	at      time.Time
	running int
	waiting int
}

func newSlots(size int) *slots {
	return &slots{size: max(size, 1)}
}

// enter waits for a slot. It fails only with ctx.
func (s *slots) enter(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.size {
		s.running++
		s.note()
		s.mu.Unlock()
		return nil
	}
	w := &slotWaiter{priority: priority, ready: make(chan struct{})}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].priority > priority {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.note()
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, w)
	}
}

func (s *slots) abandon(ctx context.Context, w *slotWaiter) error {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.note()
	}
	s.mu.Unlock()
	if i < 0 {
		s.leave()
	}
	return ctx.Err()
}

// leave gives the slot to the next in line.
func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0].ready)
		s.waiting = slices.Delete(s.waiting, 0, 1)
	} else {
		s.running--
	}
	s.note()
}

const (
	maxPast = 4096
	oldest  = 10 * time.Second
)

func (s *slots) note() {
	now := time.Now()
	s.past = append(s.past, counts{at: now, running: s.running, waiting: len(s.waiting)})
	drop := max(len(s.past)-maxPast, 0)
	for drop < len(s.past)-1 && now.Sub(s.past[drop].at) > oldest {
		drop++
	}
	s.past = s.past[drop:]
}

// counts returns how many calls ran and waited lag ago.
func (s *slots) counts(lag time.Duration) (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lag <= 0 {
		return s.running, len(s.waiting)
	}
	then := time.Now().Add(-lag)
	i, _ := slices.BinarySearchFunc(s.past, then, func(c counts, t time.Time) int { return c.at.Compare(t) })
	if i == 0 {
		return 0, 0
	}
	return s.past[i-1].running, s.past[i-1].waiting
}
