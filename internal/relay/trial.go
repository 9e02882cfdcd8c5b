// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/suspect"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// ReasonHarmful means that servers crashed while they worked on the request.
	ReasonHarmful verdict.Reason = "harmful"
	// ReasonHarmfulPart means that servers crashed while they worked on requests with a part of the
	// prompt.
	ReasonHarmfulPart verdict.Reason = "harmful_part"
)

const (
	// maxTrialWait is the longest time that a suspected request waits for the trial of an
	// identical one: about the time to the first event of a trial. trialRetryDelay is the
	// delay between two attempts to start a trial. trialRetryAfter is the Retry-After of a
	// caller whose request waited in vain.
	maxTrialWait    = 1500 * time.Millisecond
	trialRetryDelay = 100 * time.Millisecond
	trialRetryAfter = time.Second
)

// checkHarmful refuses a request at once if it is blocked because servers crash while they
// work on it. Otherwise each of its attempts, which may arrive at any host with another
// id, would crash another server.
func (j *job) checkHarmful() error {
	v := j.core.options.Suspects.Assess(j.traits())
	if v.State != suspect.Quarantined {
		return nil
	}
	return j.refuseHarmful(v, time.Until(v.Until), "no other is tried")
}

// refuseHarmful returns the error for a request that is not sent because of a verdict.
func (j *job) refuseHarmful(v suspect.Verdict, after time.Duration, why string) error {
	if v.Part {
		j.refusedPart = v.Digest
		j.core.scope.Counter("suspect_parts_refused").Inc(1)
		return j.refuse(ReasonHarmfulPart, after, "%d servers ended under requests with part %v of the prompt, %s", v.Attributed, v.Digest, why)
	}
	j.core.scope.Counter("suspects_refused").Inc(1)
	return j.refuse(ReasonHarmful, after, "%d servers ended under it, %s", v.Attributed, why)
}

// awaitTrial waits until a request may be sent: a suspected one only when no identical
// request, or none with the suspected part, is on trial on any host. It returns the final
// error if the request may not be sent.
func (j *job) awaitTrial(ctx context.Context) error {
	until := time.Now().Add(min(maxTrialWait, time.Until(j.usefulUntil())))
	for {
		if err := j.checkHarmful(); err != nil {
			return err
		}
		v := j.core.options.Suspects.Assess(j.traits())
		if v.State == suspect.Free {
			j.setTried(suspect.Verdict{})
			return nil
		}
		release, ok := j.core.options.Suspects.StartTrial(ctx, v.Digest)
		if ok {
			j.core.scope.Counter("suspects_tried").Inc(1)
			j.log.WithFields(logrus.Fields{"digest": v.Digest, "part": v.Part, "ends": v.Crashes, "counted": v.Attributed}).Info("trial of a suspected request started")
			j.setTrial(release)
			j.setTried(v)
			return nil
		}
		if !time.Now().Before(until) {
			return j.refuseHarmful(v, trialRetryAfter, "and another like it is being tried")
		}
		if err := j.sleep(ctx, trialRetryDelay); err != nil {
			return err
		}
	}
}

// sleep waits for d; it returns the final error if the request has to end before.
func (j *job) sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return j.contextError(ctx)
	}
}

// setTrial stores the function that ends the current trial; nil leaves the trial to
// expire.
func (j *job) setTrial(release func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.releaseTrial = release
}

// setTried records which part of the prompt the request is sent alone to try, if any.
func (j *job) setTried(v suspect.Verdict) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tried = 0
	if v.Part {
		j.tried = v.Digest
	}
}

// triedPart returns the part of the prompt that the request is sent alone to try; 0 means none.
func (j *job) triedPart() suspect.Digest {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tried
}

// takeTrial returns the function that ends the current trial, or nil, and leaves ending it to the
// caller.
func (j *job) takeTrial() (release func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	release = j.releaseTrial
	j.releaseTrial = nil
	return release
}

// endTrial ends the trial of the request, if there is one.
func (j *job) endTrial() {
	if release := j.takeTrial(); release != nil {
		release()
	}
}

// avoidedServers returns the servers that the request should not be sent to: those of software
// versions of which servers crashed under it, if there are others that may receive it.
func (j *job) avoidedServers() []string {
	versions := j.core.options.Suspects.Assess(j.traits()).Versions
	if len(versions) == 0 {
		return nil
	}
	return j.core.servers.avoidable(j.service.Name, j.regions, j.triedInstances, func(s *Server) bool {
		return slices.Contains(versions, suspect.VersionOf(s.Version))
	})
}

// suspected reports whether any server crashed while it worked on the request, or on one with a part of its
// prompt that none has answered since.
func (j *job) suspected() bool {
	return j.core.options.Suspects.Assess(j.traits()).Outstanding > 0
}
