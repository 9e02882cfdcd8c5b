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
	// maxRetryAfterShare is the share of the caller's remaining time that is the longest
	// Retry-After; callers that are asked to wait longer retry sooner than that.
	maxRetryAfterShare = 1.0 / 3
	// minRetryAfterShare is the part of that time that all refused callers wait; the rest
	// is random, to spread their retries.
	minRetryAfterShare = 0.5
	// firstAttemptShare is the share of the longest hold time of a route's requests from
	// which a request counts as the caller's first attempt.
	firstAttemptShare = 0.85
	// minReturningShare is the minimum share of that time that a returning caller has
	// left: refusals are sent early, and callers wait for a third of their time. A request
	// with less is assumed to have a time limit of its own.
	minReturningShare = 0.5
)

// shed decides before anything is sent whether a request is refused because its stages'
// pools are so full that it would be late. It returns nil if the request is to be served.
func (g *stageGraph) shed() error {
	j := g.job
	request := admit.Request{
		TimeLeft:  time.Until(j.objective),
		Objective: j.route.Objective,
		Idle:      g.expectedTime(len(j.route.Stages)) + idleFirstEventTime(j.Request),
		Delay:     j.core.meanEngineDelay(j.route),
		Depth:     g.maxDepth(),
	}
	if j.catalog.LoadAware {
		if err := g.shedLate(request); err != nil {
			return err
		}
	}
	if !request.MayRefuse() {
		return nil
	}
	slack := request.Slack()
	waits, forecast := g.forecastWait(slack)
	share := admit.ForecastShare(waits, slack)
	if !forecast {
		waits = g.totalWait(slack)
		share = admit.RefusalShare(waits, slack)
	}
	if j.core.randomFloat() >= share {
		return nil
	}
	// All servers of a stage may rest for long. A shorter Retry-After would bring the
	// callers back in vain.
	after := max(j.retryAfter(), waits-slack)
	if forecast {
		after = max(j.retryAfter(), j.spread(waits-slack))
	}
	j.core.scope.Counter("shed").Inc(1)
	j.log.WithFields(logrus.Fields{
		"waits_ms": waits.Milliseconds(), "slack_ms": slack.Milliseconds(), "left_ms": request.TimeLeft.Milliseconds(),
		"share": share, "return_ms": after.Milliseconds(),
	}).Info("request shed: stage queues are too long for it to be in time")
	return j.refuse(ReasonCrowded, after, "stages wait %v of %v", waits.Round(time.Millisecond), slack.Round(time.Millisecond))
}

// retryAfter returns the Retry-After of a caller refused by crowded pools: as late as its
// remaining time permits, with jitter so that not all callers return at once.
func (j *job) retryAfter() time.Duration {
	longest := maxRetryAfterShare * float64(j.remaining())
	return time.Duration(longest * (minRetryAfterShare + (1-minRetryAfterShare)*j.core.randomFloat()))
}

// totalWait returns how long the stages wait in queues on the critical path, as far as
// their pools are known; slack is how long they may wait.
func (g *stageGraph) totalWait(slack time.Duration) time.Duration {
	j := g.job
	return g.criticalPath(len(j.route.Stages), func(service string) time.Duration {
		backlog, _ := j.core.options.Stages.Backlog(service)
		return backlog.Waits.ForDue(slack + backlog.CallTime + stageplan.PriorityOffset(j.priority()))
	})
}

// longestWait returns how long new work waits at the fullest of the stages' pools.
func (g *stageGraph) longestWait() time.Duration {
	var longest time.Duration
	for i, stage := range g.job.route.Stages {
		if g.job.pieceCount(i) > 0 {
			backlog, _ := g.job.core.options.Stages.Backlog(stage.Service)
			longest = max(longest, backlog.Waits.Longest())
		}
	}
	return longest
}

// firstAttemptTime returns when the caller sent its first attempt, derived from the time
// that it has left: callers that retry after a refusal keep the time limit of the first
// attempt. If their objective were counted from the retry, they would be served before
// requests that can still be in time.
func (j *job) firstAttemptTime() time.Time {
	held := j.deadline.Sub(j.Arrived)
	longest := j.core.recordHold(j.route, held)
	share := held.Seconds() / longest.Seconds()
	if share >= firstAttemptShare || share < minReturningShare {
		return j.Arrived
	}
	return j.deadline.Add(-longest)
}

// isFirstAttempt reports whether this is the caller's first attempt.
func (j *job) isFirstAttempt() bool {
	return !j.firstAttemptTime().Before(j.Arrived)
}

// recordHold records how long a request of a route may be held, and returns the longest
// time recorded, limited to what the route allows now.
func (c *Core) recordHold(route *Route, held time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.longestHolds) >= maxRoutes {
		clear(c.longestHolds)
	}
	c.longestHolds[route.Name] = max(c.longestHolds[route.Name], held)
	return min(c.longestHolds[route.Name], route.Timeout)
}

// meanEngineDelay returns by how much the first events of a route's requests have recently
// exceeded their time at an idle engine that has the shared parts cached.
func (c *Core) meanEngineDelay(route *Route) time.Duration {
	return c.firstEventDelays.Estimate(route.Name).Mean
}

// usefulUntil returns until when a stage of a request is useful: until the caller gives up
// on the first event or, once the request may have run, on the whole stream. If that
// cannot be met, the pool's owner reports it as soon as it knows.
func (j *job) usefulUntil() time.Time {
	if j.possibleRuns() > 0 {
		return j.deadline
	}
	return j.firstDeadline
}

// recordFirstEvent records how long the first event took.
func (j *job) recordFirstEvent(first time.Duration) {
	j.core.firstEventDelays.Add(j.route.Name, max(first-idleFirstEventTime(j.Request), 0))
}
