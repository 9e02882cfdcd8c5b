// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/admit"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// This file handles bursts of chains, whose requests fill a later pool only after they were admitted.
// It is used only if the catalog is load-aware.

// maxRetrySpread is the share of the time until the forecast has room by which a Retry-After is at
// most longer. Callers that are refused together would otherwise return together.
const maxRetrySpread = 0.5

// shedLate refuses a request that cannot be in time if late work does not get its turn at one of its
// pools before the deadline. Otherwise the work of its earlier stages would be wasted.
func (g *stageGraph) shedLate(request admit.Request) error {
	j := g.job
	if !request.IsLate() {
		return nil
	}
	for i, stage := range j.route.Stages {
		if j.pieceCount(i) == 0 || !g.deferrable(i) {
			continue
		}
		// A pool where late work does not wait has free servers, or a host of an earlier build owns it.
		backlog, known := j.core.options.Stages.Backlog(stage.Service)
		if !known || backlog.LateWait == 0 || time.Until(j.usefulUntil()) > backlog.LateWait+g.expectedTime(g.depths[i]) {
			continue
		}
		after := j.retryAfter()
		j.core.scope.Counter("shed_late").Inc(1)
		j.log.WithFields(logrus.Fields{
			"pool": stage.Service, "late_wait_ms": backlog.LateWait.Milliseconds(), "left_ms": request.TimeLeft.Milliseconds(), "return_ms": after.Milliseconds(),
		}).Info("request shed: it is late, and a stage does no late work before its deadline")
		return j.refuse(ReasonCrowded, after, "late work at %s waits longer than the deadline", stage.Service)
	}
	return nil
}

// deferrable reports whether the pool of a stage puts the stage last if it is late. It does not if
// much memory is held elsewhere while the stage waits.
func (g *stageGraph) deferrable(i int) bool {
	var inputs int64
	for _, before := range g.after[i] {
		inputs += int64(g.job.pieceCount(before)) * g.job.route.Stages[before].ResultBytes
	}
	return inputs < stageplan.MaxDeferredInputs && !g.hasSiblingResults(i)
}

// minForecastDepth is the number of consecutive stages from which the forecast decides. A second pool
// is reached after one call, so its queue is known well enough, and the limits for current waits,
// which are lower, serve more requests in time.
const minForecastDepth = 3

// forecastWait returns how long the stages will wait in queues in total. It reports false if the
// switch is off, the chain is short, or a pool has no recent report with a rate.
func (g *stageGraph) forecastWait(slack time.Duration) (time.Duration, bool) {
	if !g.job.catalog.LoadAware || g.maxDepth() < minForecastDepth {
		return 0, false
	}
	chain, ok := g.chain(slack)
	return admit.Forecast(chain), ok
}

// chain returns the load of the pools in the order in which the request reaches them. Of stages that
// run side by side it has the one whose pool needs the longest for its work. It reports false if a
// pool has no recent report with a rate.
func (g *stageGraph) chain(slack time.Duration) ([]admit.Pool, bool) {
	j := g.job
	byDepth := make(map[int]admit.Pool)
	for i, stage := range j.route.Stages {
		if j.pieceCount(i) == 0 {
			continue
		}
		backlog, known := j.core.options.Stages.Backlog(stage.Service)
		if !known || backlog.Rate == 0 {
			return nil, false
		}
		pool := admit.Pool{
			Wait:      backlog.Waits.ForDue(slack + backlog.CallTime + stageplan.PriorityOffset(j.priority())),
			Announced: float64(j.core.options.Stages.Announced(stage.Service, j.priority())),
			Rate:      backlog.Rate,
			Call:      j.nextStageTime(stage.Service),
		}
		if longest, ok := byDepth[g.depths[i]]; !ok || pool.QueueTime() > longest.QueueTime() {
			byDepth[g.depths[i]] = pool
		}
	}
	var chain []admit.Pool
	for depth := g.maxDepth(); depth > 0; depth-- {
		if pool, ok := byDepth[depth]; ok {
			chain = append(chain, pool)
		}
	}
	return chain, true
}

// spread returns a random time from wait to maxRetrySpread longer.
func (j *job) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(float64(wait)*maxRetrySpread*j.core.randomFloat())
}

// nextLoads returns the work of the later stages that a stage announces to their pools. Of stages that
// run side by side only one announces what follows them; otherwise it would be counted twice.
func (g *stageGraph) nextLoads(i int) []stageplan.Load {
	announces := make([]bool, len(g.depths))
	announces[i] = true
	var loads []stageplan.Load
	for _, later := range g.order {
		pieces := g.job.pieceCount(later)
		if announces[later] || pieces == 0 || len(g.after[later]) == 0 || !announces[g.after[later][0]] {
			continue
		}
		announces[later] = true
		loads = append(loads, stageplan.Load{Service: g.job.route.Stages[later].Service, Pieces: pieces})
	}
	return loads
}
