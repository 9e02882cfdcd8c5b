// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package admit decides which requests are refused when they arrive since the pools of
// their stages are too full. It reads no clock and knows no network.
//
// The load pattern: for seconds more requests come than the pools of their stages make.
// What is made for one that is late at a later stage is lost to another.
package admit

import "time"

const (
	// shareFrom and shareFull are waits over the time that a request can wait and be in
	// time: from the first on some requests are refused, and beyond the second most. They
	// leave a margin since pools are heard of late and each host decides alone.
	shareFrom = 0.5
	shareFull = 0.9
	// shareMost is the largest share that is refused; the rest tells how the pools do.
	shareMost = 0.85
	// slackLeast is the least share of the objective that counts as time to wait: what
	// idle pools and engines take is known roughly only.
	slackLeast = 0.1
	// deepLeast is from how many stages one after the other on a request is judged here.
	// Of work for one pool nothing is made in vain, and the pool's owner knows what goes
	// before it.
	deepLeast = 2
)

// Request is what is known of a request that arrives.
type Request struct {
	// Left is how long it is until its objective, Objective how long that was.
	Left, Objective time.Duration
	// Idle is how long its stages and its prompt take where nothing waits, Delay how
	// much longer engines take lately.
	Idle, Delay time.Duration
	// Deep is how many of its stages follow each other.
	Deep int
}

// Judged reports whether the request may be refused on arrival. What would be late at
// idle pools too is left to their owners, who know whether they reach it.
func (r Request) Judged() bool {
	return r.Deep >= deepLeast && r.Idle <= r.Left
}

// Slack is how long its stages can wait in all for the request to be in time.
func (r Request) Slack() time.Duration {
	return max(r.Left-r.Idle-r.Delay, time.Duration(slackLeast*float64(r.Objective)))
}

// Share is the share of the requests to refuse that would wait so long of the slack that
// they have.
func Share(waits, slack time.Duration) float64 {
	over := waits.Seconds()/slack.Seconds() - shareFrom
	return min(max(over/(shareFull-shareFrom), 0), shareMost)
}
