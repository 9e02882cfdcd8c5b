// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect

import "time"

// tryTimeout is how long a try without a reported outcome blocks further tries of the same
// request. Most callers wait that long for a first event, and the end of a server is
// reported within that time.
const tryTimeout = 3 * time.Second

// Trials tracks the tries of suspected requests and allows one at a time for each request.
// It is not safe for concurrent use.
type Trials struct {
	// expiresAt holds when each try times out.
	expiresAt map[Digest]time.Time
}

// NewTrials returns a Tries without any try.
func NewTrials() *Trials {
	return &Trials{expiresAt: make(map[Digest]time.Time)}
}

// Begin begins a try and reports true, unless a try of the request is in progress or
// MaxEnds tries are.
func (t *Trials) Begin(now time.Time, digest Digest) bool {
	for d, expiresAt := range t.expiresAt {
		if !now.Before(expiresAt) {
			delete(t.expiresAt, d)
		}
	}
	if _, ok := t.expiresAt[digest]; ok || len(t.expiresAt) >= MaxCrashes {
		return false
	}
	t.expiresAt[digest] = now.Add(tryTimeout)
	return true
}

// End ends the try of a request, if any.
func (t *Trials) End(digest Digest) {
	delete(t.expiresAt, digest)
}
