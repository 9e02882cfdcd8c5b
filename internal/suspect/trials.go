// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect

import "time"

// trialTimeout is how long a trial without a reported outcome blocks further trials of the same
// request. Most callers wait that long for a first event, and the crash of a server is
// reported within that time, even by the publisher alone, which lists it for 3 s more.
const trialTimeout = 5 * time.Second

// Trials tracks the trials of suspected requests in progress and allows one at a time for each
// request. It is not safe for concurrent use.
type Trials struct {
	// expiresAt holds when each trial times out.
	expiresAt map[Digest]time.Time
}

// NewTrials returns a Trials without any trial.
func NewTrials() *Trials {
	return &Trials{expiresAt: make(map[Digest]time.Time)}
}

// Begin starts a trial and reports true, unless a trial of the request is in progress or MaxCrashes
// trials are.
func (t *Trials) Begin(now time.Time, digest Digest) bool {
	for d, expiresAt := range t.expiresAt {
		if !now.Before(expiresAt) {
			delete(t.expiresAt, d)
		}
	}
	if _, ok := t.expiresAt[digest]; ok || len(t.expiresAt) >= MaxCrashes {
		return false
	}
	t.expiresAt[digest] = now.Add(trialTimeout)
	return true
}

// End ends the trial of a request, if any.
func (t *Trials) End(digest Digest) {
	delete(t.expiresAt, digest)
}
