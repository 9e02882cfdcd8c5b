// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"slices"
	"sync"
	"time"
)

// slots limits how many calls run at once. Other calls wait in a queue, in order of priority and
// then of arrival.
type slots struct {
	mu      sync.Mutex
	size    int
	running int
	waiting []*slotWaiter
	// countHistory has earlier counts, the oldest first, for delayed load reports.
	countHistory []slotCounts
}

type slotWaiter struct {
	priority int
	ready    chan struct{}
}

type slotCounts struct {
	recordedAt time.Time
	running    int
	waiting    int
}

func newSlots(size int) *slots {
	return &slots{size: max(size, 1)}
}

// acquire waits for a slot. It returns an error only if ctx is done before.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.running < s.size {
		s.running++
		s.recordCounts()
		s.mu.Unlock()
		return nil
	}
	w := &slotWaiter{priority: priority, ready: make(chan struct{})}
	position := len(s.waiting)
	for position > 0 && s.waiting[position-1].priority > priority {
		position--
	}
	s.waiting = slices.Insert(s.waiting, position, w)
	s.recordCounts()
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return s.cancelWait(ctx, w)
	}
}

func (s *slots) cancelWait(ctx context.Context, w *slotWaiter) error {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.recordCounts()
	}
	s.mu.Unlock()
	if i < 0 {
		s.release()
	}
	return ctx.Err()
}

// release passes the slot on to the first waiting call, or frees it.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		close(s.waiting[0].ready)
		s.waiting = slices.Delete(s.waiting, 0, 1)
	} else {
		s.running--
	}
	s.recordCounts()
}

const (
	// maxHistory and maxHistoryAge limit the number and the age of the counts that are kept.
	maxHistory    = 4096
	maxHistoryAge = 10 * time.Second
)

func (s *slots) recordCounts() {
	now := time.Now()
	s.countHistory = append(s.countHistory, slotCounts{recordedAt: now, running: s.running, waiting: len(s.waiting)})
	dropped := max(len(s.countHistory)-maxHistory, 0)
	for dropped < len(s.countHistory)-1 && now.Sub(s.countHistory[dropped].recordedAt) > maxHistoryAge {
		dropped++
	}
	s.countHistory = s.countHistory[dropped:]
}

// countsAgo returns how many calls were running and waiting the given time ago.
func (s *slots) countsAgo(lag time.Duration) (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lag <= 0 {
		return s.running, len(s.waiting)
	}
	asOf := time.Now().Add(-lag)
	i, _ := slices.BinarySearchFunc(s.countHistory, asOf, func(c slotCounts, t time.Time) int { return c.recordedAt.Compare(t) })
	if i == 0 {
		return 0, 0
	}
	return s.countHistory[i-1].running, s.countHistory[i-1].waiting
}
