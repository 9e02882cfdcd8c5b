// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"slices"
	"time"
)

// A server may be slow, or lose the answers to some of its calls, and an overdue call does not
// show which. A slow server finishes what it gets, but late. One that loses answers does some
// of the work in vain. Both get work only when it would wait longer for the other servers.
const (
	// slowFactor is how much slower than the fastest server one must be to get work only when
	// it would wait longer for the others.
	slowFactor = 2.5
	// slowdownGain is the weight of one call in a server's slowdown and loss rate.
	slowdownGain = 0.4
	// slowdownHalfLife is the half-life of a server's slowdown, so that a server that has
	// recovered is tried again.
	slowdownHalfLife = 3 * time.Second
	// overdueThreshold is how many calls in a row must be overdue for a server to count as
	// slow. A single one may be a lost answer.
	overdueThreshold = 2
	// lossThreshold is the share of lost answers from which a server gets work only when it
	// would wait longer for the others.
	lossThreshold = 0.15
	// retryWaitLimit is how long work that was sent without an answer waits for a server that
	// does not lose answers, if there is any.
	retryWaitLimit = 2500 * time.Millisecond
)

// fillSlow builds a call for a server that is slow or loses answers, if the work would wait
// longer for the fast servers than it takes there. It takes tasks from the end of the queue.
// Retries wait up to retryWaitLimit for a server that does not lose answers, unless all do.
func (s *Scheduler) fillSlow(now time.Time, slow []*serverState, fast int, zones map[string]bool) *Call {
	if len(s.waiting) == 0 {
		return nil
	}
	for _, state := range slow {
		if s.waitForFast(now, fast)+s.nominalTime(s.spec.Size) < s.expectedWithRetry(now, state, s.spec.Size) {
			continue
		}
		slices.Reverse(s.waiting)
		call := s.fill(now, state, callLimits{maxPieces: s.spec.Size, split: s.Pieces() > s.spec.Size, skipRetries: fast > 0 && state.losesAnswers()}, zones)
		slices.Reverse(s.waiting)
		if call != nil {
			return call
		}
	}
	return nil
}

// waitForFast returns how long the last queued task waits for one of the fast servers. The
// wait is longer if tasks that precede it arrive meanwhile.
func (s *Scheduler) waitForFast(now time.Time, fast int) time.Duration {
	if fast == 0 {
		return maxWait
	}
	last := s.waiting[len(s.waiting)-1]
	rate := float64(s.spec.Size*fast*s.spec.Slots) / s.nominalTime(s.spec.Size).Seconds()
	return s.expectedWait(now, last, 0, rate, s.Pieces()-len(last.pending))
}

// expectedWithRetry returns the expected time of a call with the given number of pieces,
// including a retry elsewhere if the answer is lost.
func (s *Scheduler) expectedWithRetry(now time.Time, state *serverState, pieces int) time.Duration {
	expected := s.expected(state.pace(now), pieces)
	return expected + time.Duration(state.lossRate*float64(overdueAfter(expected)))
}

// recordOverdue records a call that was abandoned after taking ratio times its nominal time.
// Either its answer was lost or the server is slow, in which case further calls will be
// overdue as well.
func (s *serverState) recordOverdue(ratio float64) {
	s.consecutiveOverdue++
	s.lossRate += slowdownGain * (1 - s.lossRate)
	if s.consecutiveOverdue >= overdueThreshold {
		s.slowdown = max(s.slowdown, ratio)
	}
}

// recordAnswer records that a call was answered.
func (s *serverState) recordAnswer() {
	s.consecutiveOverdue = 0
	s.lossRate *= 1 - slowdownGain
}

// losesAnswers reports whether calls to the server are likely to go unanswered.
func (s *serverState) losesAnswers() bool {
	return s.lossRate >= lossThreshold
}
