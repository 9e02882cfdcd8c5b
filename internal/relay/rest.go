// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wingvale/wingvale/verdict"
)

// retryAfterJitter is the range over which the retries of callers refused because of a
// pause are spread, so that the servers do not receive all of them at once.
const retryAfterJitter = 250 * time.Millisecond

// maxPlaceWaitShare is the share of the objective for which a request waits for a place at a brittle
// server. Such servers queue few requests, and a caller that is refused early can still be in time.
const maxPlaceWaitShare = 0.25

// awaitRest waits while this host must send nothing to any server that could serve the request,
// because they have asked it to rest or their rate limits are used up. It waits only if the request can still be in time afterwards,
// assuming that an answer takes about need; if not, it returns the final error. Callers
// that were refused because of a short pause would retry later than it takes.
func (j *job) awaitRest(ctx context.Context, need time.Duration) error {
	for {
		rest := j.core.servers.shortestPause(j.service.Name, j.regions, j.triedInstances)
		if rest == 0 {
			return nil
		}
		if err := j.checkRestWait(rest, need); err != nil {
			return err
		}
		if !j.placeDeniedAt.IsZero() && time.Since(j.placeDeniedAt) > time.Duration(maxPlaceWaitShare*float64(j.route.Objective)) {
			return j.refuse(verdict.ReasonOverload, fullRetryAfter, "the brittle servers of %s are full", j.service.Name)
		}
		j.core.scope.Counter("rests_awaited").Inc(1)
		if err := j.sleep(ctx, rest); err != nil {
			return err
		}
	}
}

// checkRestWait refuses a request at once if waiting for the servers would make it
// late. A request that has run is useful until its deadline.
func (j *job) checkRestWait(rest, need time.Duration) error {
	until := j.objective
	if j.possibleRuns() > 0 {
		until = j.deadline
	}
	if rest == 0 || rest+need <= time.Until(until) {
		return nil
	}
	after := rest + time.Duration(j.core.randomFloat()*float64(retryAfterJitter))
	return j.refuse(ReasonResting, after, "all servers of %s rest or have used up their rate limits, the first for %v", j.service.Name, rest.Round(time.Millisecond))
}

// errAllPaused means that this host must send nothing to any server of the service for a while.
var errAllPaused = errors.New("relay: all servers are paused")

// acquirePermit asks for permission to send the request to a chosen server. If it is denied, the
// server is paused and the request no longer counts as running there.
func (j *job) acquirePermit(ctx context.Context, s Server) bool {
	if j.core.options.Limits.Acquire(ctx, s.Instance) {
		j.placeDeniedAt = time.Time{}
		return true
	}
	if l, _ := j.core.options.Limits.Restriction(s.Instance); l.Brittle && j.placeDeniedAt.IsZero() {
		j.placeDeniedAt = time.Now()
	}
	j.core.servers.cancelRequest(s.Instance)
	j.core.options.Limits.Released(s.Instance)
	return false
}

// choosePermitted returns a server of a plain service to which the request may be sent. The error
// is errAllPaused if the rate limits of all servers are used up, and final otherwise.
func (j *job) choosePermitted(ctx context.Context) (Server, error) {
	for {
		except := slices.Concat(j.triedInstances, j.avoidedServers())
		s, ok := j.core.servers.choosePlain(j.service.Name, j.expectedDuration(), j.regions, except)
		if !ok && j.core.servers.shortestPause(j.service.Name, j.regions, j.triedInstances) > 0 {
			return Server{}, errAllPaused
		}
		if !ok {
			return Server{}, j.refuse(verdict.ReasonNoServer, fullRetryAfter, "no server of %s", j.service.Name)
		}
		if j.acquirePermit(ctx, s) {
			return s, nil
		}
		if err := j.contextError(ctx); err != nil {
			return Server{}, err
		}
	}
}
