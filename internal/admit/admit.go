// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package admit decides which requests to refuse on arrival because the pools of their stages
// are overloaded. It uses neither a clock nor the network.
//
// It handles bursts, in which for some seconds more requests arrive than the pools of their stages
// can serve. Work of earlier stages for a request that is late at a later stage is wasted, and the
// capacity is lost to other requests.
package admit

import "time"

const (
	// refusalStart and refusalFull are ratios of the expected wait to the time that a request
	// can wait and still be in time. Above the first some requests are refused, above the
	// second most. They leave a margin since reports of pools arrive late and each host
	// decides independently.
	refusalStart = 0.5
	refusalFull  = 0.9
	// maxRefusalShare is the largest share that is refused. The remaining requests show the
	// state of the pools.
	maxRefusalShare = 0.85
	// minSlackShare is the least share of the objective that counts as slack, since the time
	// of idle pools and engines is only roughly known.
	minSlackShare = 0.1
	// minDepth is the number of consecutive stages from which a request may be refused on
	// arrival. Work for a single pool wastes no earlier stages, and the pool's owner knows
	// which work precedes it.
	minDepth = 2
)

// Request describes an arriving request.
type Request struct {
	// TimeLeft is the time until its objective, and Objective the total time of the objective.
	TimeLeft, Objective time.Duration
	// Idle is how long its stages and its prompt take without queueing, and Delay how much
	// longer engines currently take.
	Idle, Delay time.Duration
	// Depth is how many of its stages run one after the other.
	Depth int
}

// MayRefuse reports whether the request may be refused on arrival. A request that would be late
// even with idle pools is left to their owners, who know whether they can serve it.
func (r Request) MayRefuse() bool {
	return r.Depth >= minDepth && r.Idle <= r.TimeLeft
}

// IsLate reports whether the request would be late even with idle pools, and has consecutive stages
// whose work would be wasted if it is not served.
func (r Request) IsLate() bool {
	return r.Depth >= minDepth && r.Idle > r.TimeLeft
}

// Slack returns how long its stages can wait in total for the request to be in time.
func (r Request) Slack() time.Duration {
	return max(r.TimeLeft-r.Idle-r.Delay, time.Duration(minSlackShare*float64(r.Objective)))
}

// RefusalShare returns the share of requests to refuse, for the given expected wait and slack.
func RefusalShare(waits, slack time.Duration) float64 {
	over := waits.Seconds()/slack.Seconds() - refusalStart
	return min(max(over/(refusalFull-refusalStart), 0), maxRefusalShare)
}
