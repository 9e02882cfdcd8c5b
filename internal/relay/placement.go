// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/wingvale/wingvale/internal/placing"
)

// maxPlacements limits how often a prompt is placed again because the chosen engine
// accepts no work.
const maxPlacements = 3

// chooseEngine asks the pool's owner for an engine for the prompt. It skips engines that
// this host knows to be leaving or gone, because the owner may not know yet.
func (s *stream) chooseEngine(ctx context.Context, inputsZone string, inputBytes int64) (Server, bool) {
	j := s.job
	s.prompt.Zone, s.prompt.InputBytes = inputsZone, inputBytes
	s.prompt.TimeLeft = time.Until(j.objective)
	s.prompt.AllowedRegions = j.regions
	if j.catalog.LoadAware {
		s.describeStream()
	}
	if s.avoided = nil; !j.boundVersion().IsPresent() {
		s.avoided = j.avoidedServers()
	}
	for unavailable := 0; unavailable < maxPlacements; {
		// The report of a withdrawn placement may arrive after the next placement.
		s.prompt.ID = j.core.randomID()
		s.prompt.Excluded = s.excludedEngines()
		place := j.core.options.Engines.Place(ctx, j.service.Name, s.prompt)
		for place.Instance == "" && place.Wait > 0 && s.awaitPlacement(ctx, place.Wait) {
			s.prompt.TimeLeft = time.Until(j.objective)
			s.prompt.Excluded = s.excludedEngines()
			place = j.core.options.Engines.Place(ctx, j.service.Name, s.prompt)
		}
		if place.Instance == "" && len(s.avoided) > 0 && ctx.Err() == nil {
			s.avoided = nil
			continue
		}
		if place.Instance == "" {
			return s.chooseFitting(ctx)
		}
		engine, ok := j.core.servers.acquire(place.Instance)
		if ok && !j.fits(engine) {
			j.core.servers.cancelRequest(engine.Instance)
			ok = false
		}
		if !ok {
			s.withdrawPlacement(place.Instance, s.prompt.ID)
			unavailable++
			s.unavailable = append(s.unavailable, place.Instance)
			continue
		}
		if !j.acquirePermit(ctx, engine) {
			s.withdrawPlacement(place.Instance, s.prompt.ID)
			if ctx.Err() != nil {
				return Server{}, false
			}
			continue
		}
		if j.core.servers.restrictedAddress(j.service.Name, place.Source) {
			// The copy would be a further request at its source.
			place.Source = netip.AddrPort{}
		}
		if !j.core.servers.hasVersion(j.service.Name, place.Source, engine.Version) {
			place.Source = netip.AddrPort{}
		}
		s.expectedFirstEvent, s.copyFrom = place.Expected, place.Source
		j.placement = place
		return engine, true
	}
	return Server{}, false
}

// withdrawPlacement tells the owner of an engine that it does not work on a prompt.
func (s *stream) withdrawPlacement(instance string, promptID uint64) {
	s.job.core.options.Engines.QueueReport(s.job.service.Name, placing.Report{Instance: instance, ID: promptID, Withdrawn: true})
}

// describeStream adds to the prompt what matters for the streams that run beside it.
func (s *stream) describeStream() {
	j := s.job
	s.prompt.TokensOut = j.expectedTokensOut()
	s.prompt.GapLimit = j.route.MaxGap
}

// unhintedLength is the share of the most tokens of an answer that it is expected to have if the
// caller gave no estimate.
const unhintedLength = 0.5

// expectedTokensOut returns the expected size of the answer.
func (r *Request) expectedTokensOut() int {
	if r.LengthHint > 0 {
		return min(r.LengthHint, r.TokensOut)
	}
	return int(unhintedLength * float64(r.TokensOut))
}

// excludedEngines returns the engines that the prompt must not be placed on: those that it
// was sent to, those that were chosen but accepted no work, those of versions of which servers crashed
// under it, those of versions that it can't go on at, silent ones, and those that this host must send
// nothing to for a while. The owner does not know the last kind.
func (s *stream) excludedEngines() []string {
	return slices.Concat(s.job.triedInstances, s.unavailable, s.avoided, s.silent, s.job.otherVersions(), s.job.core.servers.paused(s.job.service.Name))
}

// maxPlacementDelay is the longest delay before an engine is asked for again.
const maxPlacementDelay = 200 * time.Millisecond

// awaitPlacement waits before an engine is asked for again while none may receive the
// prompt yet. It reports false if the request would be too late after the wait, or was
// cancelled.
func (s *stream) awaitPlacement(ctx context.Context, wait time.Duration) bool {
	j := s.job
	j.core.scope.Counter("places_awaited").Inc(1)
	if time.Until(j.usefulUntil()) < wait+idleFirstEventTime(j.Request) {
		return false
	}
	pause := time.NewTimer(min(wait, maxPlacementDelay))
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}
