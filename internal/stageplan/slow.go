// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"slices"
	"time"
)

// A server may be slow, or lose the answers to some of its calls, and nothing tells
// which: a call that is overdue may be either. Slow servers make what they are given,
// late; those that lose answers make some of it in vain. Both get work only when the
// others would have it wait for longer.
const (
	// slowFactor is how much slower than the quickest a server must be to get
	// work only when no other is left.
	slowFactor = 2.5
	// factorGain is the weight of one call in a server's factor.
	factorGain = 0.4
	// factorFade is the half-life of a server's slowness, so that one that got
	// well is tried again.
	factorFade = 3 * time.Second
	// slowOverdues is how many calls in a row must be overdue for a server to count as
	// slow: one may be an answer that was lost.
	slowOverdues = 2
	// losingLeast is from which share of lost answers on a server gets work only when
	// it would wait longer for the others.
	losingLeast = 0.15
	// vainPatience is how long work that was sent in vain waits for a server that loses
	// no answers, where there is any.
	vainPatience = 2500 * time.Millisecond
)

// fillSlow gives a server that is slow or loses answers what would wait longer for
// the quick ones than it takes there, from the end of the order. What was sent in
// vain before waits a while for one that loses no answers, unless all do.
func (s *Scheduler) fillSlow(now time.Time, slow []*serverState, quick int, zones map[string]bool) *Call {
	if len(s.waiting) == 0 {
		return nil
	}
	for _, state := range slow {
		if s.waitFor(now, quick)+s.even(s.spec.Size) < s.likely(state, s.spec.Size) {
			continue
		}
		slices.Reverse(s.waiting)
		b := s.fill(now, state, callOf{most: s.spec.Size, split: s.Pieces() > s.spec.Size, fresh: quick > 0 && state.losesAnswers()}, zones)
		slices.Reverse(s.waiting)
		if b != nil {
			return b
		}
	}
	return nil
}

// waitFor is how long the last of what waits does so for one of the quick servers:
// longer where more comes meanwhile that goes before it.
func (s *Scheduler) waitFor(now time.Time, quick int) time.Duration {
	if quick == 0 {
		return never
	}
	last := s.waiting[len(s.waiting)-1]
	rate := float64(s.spec.Size*quick*s.spec.Slots) / s.even(s.spec.Size).Seconds()
	return s.reach(now, last, 0, rate, s.Pieces()-len(last.pending))
}

// likely is how long so many pieces take at a server, sent anew elsewhere where the
// answer is lost.
func (s *Scheduler) likely(state *serverState, pieces int) time.Duration {
	expected := s.expected(state, pieces)
	return expected + time.Duration(state.losing*float64(overdueAfter(expected)))
}

// Overdue notes a call that took so many times as long as at an undisturbed server
// and was given up. Its answer may be lost, or the server slow: that one which is slow
// is overdue again.
func (s *serverState) overdue(ratio float64) {
	s.overdues++
	s.losing += factorGain * (1 - s.losing)
	if s.overdues >= slowOverdues {
		s.factor = max(s.factor, ratio)
	}
}

// answered notes that a call brought an answer.
func (s *serverState) answered() {
	s.overdues = 0
	s.losing *= 1 - factorGain
}

// losesAnswers reports whether calls there are likely to be made in vain.
func (s *serverState) losesAnswers() bool {
	return s.losing >= losingLeast
}
