// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import (
	"slices"
	"time"
)

// A cold engine falls over when more prompts reach it in a second than it bears, and
// it may turn cold at any moment, of which its owner hears up to two seconds later. So
// every engine has a bound, cold or not: a zone that comes back idle and all at once
// would draw a whole burst else.
const (
	// paceWindow is in which prompts are counted: a second, and what their ways to
	// the engine may differ by.
	paceWindow = 1150 * time.Millisecond
	// paceShare of the bound is what an owner uses: two hosts may both hold themselves
	// for the owner. youngPace is that of one which does not know what the owner
	// before it sent.
	paceShare = 0.48
	youngPace = 0.24
	// pacesAlone is how many prompts a host sends an engine in a window whose owner it
	// does not reach; others may be as alone.
	pacesAlone = 1
)

// pace counts the prompts that an engine got lately.
type pace struct {
	// sent has when, within paceWindow, the oldest first.
	sent []time.Time
}

// forget drops what was sent before the window.
func (p *pace) forget(now time.Time) {
	p.sent = slices.DeleteFunc(p.sent, func(at time.Time) bool { return now.Sub(at) >= paceWindow })
}

// pacer says how many prompts each engine may get at a moment.
type pacer struct {
	now time.Time
	// alone says that the host isn't the owner, young that it became the owner less
	// than a window before.
	alone bool
	young bool
}

func (b *Book) pacer(now time.Time, alone bool) pacer {
	return pacer{now: now, alone: alone, young: now.Sub(b.since) < paceWindow}
}

// most is how many prompts an engine may get in a window.
func (p pacer) most(e *engine) int {
	switch {
	case p.alone:
		return pacesAlone
	case p.young:
		return max(int(youngPace*e.ColdMost), 1)
	default:
		return max(int(paceShare*e.ColdMost), 1)
	}
}

// wait is how long an engine must get no further prompt; 0 is not at all. A host
// that is not the owner leaves cold engines alone.
func (p pacer) wait(e *engine) time.Duration {
	if e.ColdMost <= 0 {
		return 0
	}
	if p.alone && p.now.Before(e.ColdUntil) {
		return e.ColdUntil.Sub(p.now)
	}
	most := p.most(e)
	e.pace.forget(p.now)
	if len(e.pace.sent) < most {
		return 0
	}
	return e.pace.sent[len(e.pace.sent)-most].Add(paceWindow).Sub(p.now)
}

// note counts a prompt.
func (p *pace) note(now time.Time) {
	p.sent = append(p.sent, now)
}
