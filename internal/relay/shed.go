// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/admit"
	"github.com/wingvale/wingvale/internal/stageplan"
)

const (
	// returnShare of the time that a caller has left is the longest that it
	// stays away; callers come back sooner if told to stay longer.
	returnShare = 1.0 / 3
	// returnLeast is the part of that time which all refused callers stay away;
	// the rest spreads them out.
	returnLeast = 0.5
	// freshShare of the longest time that requests of a route are held is what a
	// caller has left that comes for the first time.
	freshShare = 0.85
	// backShare of that time is the least that a caller has left that comes back:
	// refusals are told early, and callers stay away for a third of their time.
	// One that has less is taken to have a time limit of its own.
	backShare = 0.5
)

// shed decides at once, before anything is sent, whether a request is refused
// because its stages' pools are so full that it would be late. It returns nil
// where the request is served.
func (g *graph) shed() error {
	j := g.job
	request := admit.Request{
		Left:      time.Until(j.objective),
		Objective: j.route.Objective,
		Idle:      g.estimate(len(j.route.Stages)) + expectedRead(j.Request),
		Delay:     j.core.engineDelay(j.route),
		Deep:      g.deepest(),
	}
	if !request.Judged() {
		return nil
	}
	slack := request.Slack()
	waits := g.waitsSum(slack)
	share := admit.Share(waits, slack)
	if j.core.chance() >= share {
		return nil
	}
	// Servers of a stage may all rest for long; the callers would come back in vain.
	after := max(j.returnAfter(), waits-slack)
	j.core.scope.Counter("shed").Inc(1)
	j.log.WithFields(logrus.Fields{
		"waits_ms": waits.Milliseconds(), "slack_ms": slack.Milliseconds(), "left_ms": request.Left.Milliseconds(),
		"share": share, "return_ms": after.Milliseconds(),
	}).Info("refused: the stages are too full to be in time")
	return j.refuse(ReasonCrowded, after, "stages wait %v of %v", waits.Round(time.Millisecond), slack.Round(time.Millisecond))
}

// returnAfter is when a caller turned away by crowded pools is to come back: as
// late as it would wait for it, spread out so that not all return at once.
func (j *job) returnAfter() time.Duration {
	longest := returnShare * float64(j.left())
	return time.Duration(longest * (returnLeast + (1-returnLeast)*j.core.chance()))
}

// waitsSum is how long the stages wait for their turn on the longest way, as far
// as is known of their pools; slack is how long they can.
func (g *graph) waitsSum(slack time.Duration) time.Duration {
	j := g.job
	return g.longest(len(j.route.Stages), func(service string) time.Duration {
		backlog, _ := j.core.options.Stages.Backlog(service)
		return backlog.Waits.Before(slack + backlog.Call + stageplan.PriorityTime(j.priority()))
	})
}

// firstTry is when the caller sent its first try, by the time that it has left:
// callers that come back after a refusal keep the time limit of the first. With an
// objective counted anew they would go before what can still be in time.
func (j *job) firstTry() time.Time {
	held := j.deadline.Sub(j.Arrived)
	longest := j.core.longestHeld(j.route, held)
	share := held.Seconds() / longest.Seconds()
	if share >= freshShare || share < backShare {
		return j.Arrived
	}
	return j.deadline.Add(-longest)
}

// fresh reports whether the caller comes for the first time.
func (j *job) fresh() bool {
	return !j.firstTry().Before(j.Arrived)
}

// longestHeld notes how long a request of a route may be held and returns the
// longest that was seen there, within what the route allows now.
func (c *Core) longestHeld(route *Route, held time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) >= routesMost {
		clear(c.held)
	}
	c.held[route.Name] = max(c.held[route.Name], held)
	return min(c.held[route.Name], route.Timeout)
}

// engineDelay is how much longer than at an idle engine that has the shared
// parts the first event of a route's requests took lately.
func (c *Core) engineDelay(route *Route) time.Duration {
	return c.delays.Of(route.Name).Mean
}

// useful is until when a stage of a request is of use: until its caller gives the
// first event up, or the whole of a stream that has begun. What cannot be reached
// by then is told by the pool's owner as soon as it knows.
func (j *job) useful() time.Time {
	if j.ran() > 0 {
		return j.deadline
	}
	return j.firstBy
}

// noteEngine takes in how long the first event took.
func (j *job) noteEngine(first time.Duration) {
	j.core.delays.Add(j.route.Name, max(first-expectedRead(j.Request), 0))
}
