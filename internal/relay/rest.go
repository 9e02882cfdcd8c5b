// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"
)

// retryAfterJitter is the range over which the retries of callers refused because of a
// rest are spread, so that the servers do not receive all of them at once.
const retryAfterJitter = 250 * time.Millisecond

// awaitRest waits while all servers that could serve the request rest, that is, have asked
// this host to pause. It waits only if the request can still be in time afterwards,
// assuming that an answer takes about need; if not, it returns the final error. Callers
// that were refused because of a short rest would retry later than it takes.
func (j *job) awaitRest(ctx context.Context, need time.Duration) error {
	for {
		rest := j.core.servers.shortestRest(j.service.Name, j.regions, j.triedInstances)
		if rest == 0 {
			return nil
		}
		if err := j.checkRestWait(rest, need); err != nil {
			return err
		}
		j.core.scope.Counter("rests_awaited").Inc(1)
		if err := j.sleep(ctx, rest); err != nil {
			return err
		}
	}
}

// checkRestWait refuses a request at once if waiting for the servers' rest would make it
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
	return j.refuse(ReasonResting, after, "all servers of %s rest, the first for %v", j.service.Name, rest.Round(time.Millisecond))
}
