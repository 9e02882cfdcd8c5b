// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"
)

// comeBackSpread is within what time callers come back that were told when servers are
// rested, so that these don't get all of them at once.
const comeBackSpread = 250 * time.Millisecond

// awaitRest waits while all servers that might serve the request rest, as long as it can be
// in time after that, where an answer takes about need. It returns the final answer where it
// can't. Callers told of a short rest at once would come back later than it takes.
func (j *job) awaitRest(ctx context.Context, need time.Duration) error {
	for {
		rest := j.core.servers.restLeft(j.service.Name, j.homes, j.tried)
		if rest == 0 {
			return nil
		}
		if err := j.mayWait(rest, need); err != nil {
			return err
		}
		j.core.scope.Counter("rests_awaited").Inc(1)
		if err := j.pause(ctx, rest); err != nil {
			return err
		}
	}
}

// mayWait refuses a request at once that would be late if it waited for servers to be
// rested. One that has run is of use until its deadline.
func (j *job) mayWait(rest, need time.Duration) error {
	until := j.objective
	if j.ran() > 0 {
		until = j.deadline
	}
	if rest == 0 || rest+need <= time.Until(until) {
		return nil
	}
	after := rest + time.Duration(j.core.chance()*float64(comeBackSpread))
	return j.refuse(ReasonResting, after, "all servers of %s rest, the first for %v", j.service.Name, rest.Round(time.Millisecond))
}
