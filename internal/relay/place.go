// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"slices"
	"time"
)

// placesMost bounds how often an engine is asked for that turns out to take no work.
const placesMost = 3

// place has an engine chosen for the prompt. One that is leaving or gone here
// is passed over: the owner may not know yet.
func (s *stream) place(ctx context.Context, g *graph) (Server, bool) {
	j := s.job
	s.prompt.Zone, s.prompt.InputBytes = g.inputsAt()
	s.prompt.Left = time.Until(j.objective)
	s.prompt.Homes = j.homes
	for range placesMost {
		s.prompt.Except = s.except()
		place := j.core.options.Engines.Place(ctx, j.service.Name, s.prompt)
		for place.Instance == "" && place.Wait > 0 && s.awaitPlace(ctx, place.Wait) {
			s.prompt.Left = time.Until(j.objective)
			s.prompt.Except = s.except()
			place = j.core.options.Engines.Place(ctx, j.service.Name, s.prompt)
		}
		if place.Instance == "" {
			return Server{}, false
		}
		if engine, ok := j.core.servers.take(place.Instance); ok {
			s.expected, s.source = place.Expected, place.Source
			j.placed = place
			return engine, true
		}
		s.passed = append(s.passed, place.Instance)
	}
	return Server{}, false
}

// except are the engines that the prompt is not to be placed on: those that it was sent to,
// that were named and took no work, and that rest. The owner knows nothing of the last, as a
// rest is between an engine and a host.
func (s *stream) except() []string {
	return slices.Concat(s.job.tried, s.passed, s.job.core.servers.resting(s.job.service.Name))
}

// placeAgain is the longest pause until an engine is asked for again.
const placeAgain = 200 * time.Millisecond

// awaitPlace waits until an engine may get the prompt that none may get yet, and
// reports whether that is of use.
func (s *stream) awaitPlace(ctx context.Context, wait time.Duration) bool {
	j := s.job
	j.core.scope.Counter("places_awaited").Inc(1)
	if time.Until(j.useful()) < wait+expectedRead(j.Request) {
		return false
	}
	pause := time.NewTimer(min(wait, placeAgain))
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}
