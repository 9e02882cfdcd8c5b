// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import (
	"slices"
	"time"
)

// A cold engine fails when more prompts reach it in a second than it can handle. It may become
// cold at any time, and its owner learns of that up to two seconds later. So every engine has
// a rate limit, cold or not. Without it, a zone that comes back with all engines idle at once
// would attract a whole burst.
const (
	// rateWindow is the window in which prompts are counted: a second, plus the possible
	// differences in network latency to the engine.
	rateWindow = 1150 * time.Millisecond
	// ownerRateShare is the share of the limit that an owner uses, since two hosts may both
	// consider themselves the owner. newOwnerRateShare is that of a new owner, which does not
	// know what its predecessor sent.
	ownerRateShare    = 0.48
	newOwnerRateShare = 0.24
	// nonOwnerLimit is how many prompts a host that cannot reach the owner sends an engine in
	// a window. Other hosts may be in the same situation.
	nonOwnerLimit = 1
)

// recentPrompts records the prompts that an engine got within rateWindow.
type recentPrompts struct {
	// sent has the times of the prompts, the oldest first.
	sent []time.Time
}

// prune removes the prompts sent before the window.
func (p *recentPrompts) prune(now time.Time) {
	p.sent = slices.DeleteFunc(p.sent, func(at time.Time) bool { return now.Sub(at) >= rateWindow })
}

// rateLimiter decides how many prompts each engine may get at a time.
type rateLimiter struct {
	now time.Time
	// alone says that the host is not the owner, newOwner that it became the owner less than a
	// window ago.
	alone    bool
	newOwner bool
}

func (s *Scheduler) rateLimiter(now time.Time, alone bool) rateLimiter {
	return rateLimiter{now: now, alone: alone, newOwner: now.Sub(s.ownerSince) < rateWindow}
}

// limit returns how many prompts an engine may get in a window.
func (p rateLimiter) limit(e *engine) int {
	switch {
	case p.alone:
		return nonOwnerLimit
	case p.newOwner:
		return max(int(newOwnerRateShare*e.ColdRateLimit), 1)
	default:
		return max(int(ownerRateShare*e.ColdRateLimit), 1)
	}
}

// wait returns how long an engine must get no further prompt; 0 if it may get one now. A host
// that is not the owner does not use cold engines.
func (p rateLimiter) wait(e *engine) time.Duration {
	if e.ColdRateLimit <= 0 {
		return 0
	}
	if p.alone && p.now.Before(e.ColdUntil) {
		return e.ColdUntil.Sub(p.now)
	}
	limit := p.limit(e)
	e.recentPrompts.prune(p.now)
	if len(e.recentPrompts.sent) < limit {
		return 0
	}
	return e.recentPrompts.sent[len(e.recentPrompts.sent)-limit].Add(rateWindow).Sub(p.now)
}

// add records a prompt.
func (p *recentPrompts) add(now time.Time) {
	p.sent = append(p.sent, now)
}
