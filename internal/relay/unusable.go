// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"fmt"

	"github.com/wingvale/wingvale/verdict"
)

// ReasonUnusable means that the configuration has the route, but a part of it that the request needs can't be
// used.
const ReasonUnusable verdict.Reason = "unusable_route"

// missingServices returns why a service that a route names can't serve its requests or stages.
func (c *Catalog) missingServices(r *Route) []string {
	var missing []string
	for _, target := range r.Targets {
		if c.Service(target.Service) == nil {
			missing = append(missing, fmt.Sprintf("there is no usable service %q", target.Service))
		}
	}
	for i := range r.Stages {
		if !c.hasStagePool(r, i) {
			missing = append(missing, fmt.Sprintf("stage %d: there is no usable service %q with pieces", i, r.Stages[i].Service))
		}
	}
	return missing
}

// hasStagePool reports whether a stage of a route names a service that runs stages.
func (c *Catalog) hasStagePool(r *Route, stage int) bool {
	s := c.Service(r.Stages[stage].Service)
	return s != nil && s.Batch != nil
}

// checkUsable refuses a request at once if the configuration can't serve it.
func (j *job) checkUsable() error {
	if j.route.Unusable != "" {
		return unusable("route %s: %s", j.route.Name, j.route.Unusable)
	}
	for i, stage := range j.route.Stages {
		if j.pieceCount(i) > 0 && !j.catalog.hasStagePool(j.route, i) {
			return unusable("stage %d of route %s names no usable service with pieces: %q", i, j.route.Name, stage.Service)
		}
	}
	return nil
}

func unusable(format string, args ...any) error {
	return verdict.New(verdict.NotRun, ReasonUnusable, "relay: %s", fmt.Sprintf(format, args...)).WithRetryAfter(notReadyRetryAfter)
}
