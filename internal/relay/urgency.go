// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import "time"

// Urgency is the rank of a stream at an engine, from UrgencyFirst, which is admitted first, to
// UrgencyLate.
type Urgency int

const (
	// UrgencyFirst is the rank of the most urgent streams.
	UrgencyFirst Urgency = 0
	// UrgencyLast is the rank of the least urgent streams that can still be in time.
	UrgencyLast Urgency = 8
	// UrgencyLate is the rank of streams whose objective has passed. An answer in time is worth
	// more than a late one of any priority.
	UrgencyLate Urgency = 9
)

// urgency returns the rank of the request's stream at its engine, or nil if none is stated:
// for requests that are not streams, and with load-aware scheduling off.
func (j *job) urgency(now time.Time) *Urgency {
	if !j.catalog.LoadAware || !j.route.Stream {
		return nil
	}
	u := min(max(Urgency(j.priority()), UrgencyFirst), UrgencyLast)
	if now.After(j.objective) {
		u = UrgencyLate
	}
	return &u
}
