// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/suspect"
	"github.com/wingvale/wingvale/internal/trial"
)

// connectTo tries to connect to a server.
func (c *Core) connectTo(ctx context.Context, s Server) connectResult {
	err := c.options.Servers.Probe(ctx, s.Address)
	switch {
	case err == nil:
		return connectAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return connectRefused
	default:
		return connectHung
	}
}

// ask finds out whether a server answers. A balancer accepts connections to one that is down.
func (c *Core) ask(ctx context.Context, s Server) connectResult {
	if !c.mayAskStatus(s) {
		return c.connectTo(ctx, s)
	}
	if c.askStatus(ctx, s) == nil {
		return connectAccepted
	}
	if c.connectTo(ctx, s) == connectRefused {
		return connectRefused
	}
	return connectHung
}

// sendsWithin reports whether a server has sent this host something within the given time.
func (c *Core) sendsWithin(s Server, within time.Duration) bool {
	return c.servers.activity(s.Instance).sends(time.Now(), within)
}

// recordConnectionLoss records that the connection to a server broke while it worked on the
// request.
func (j *job) recordConnectionLoss(s Server, answered bool) {
	// Whether the server has crashed is known only later. No other trial may start until
	// then, so this one is left to expire by itself.
	j.setTrial(nil)
	j.core.crashes.recordBroken(s, lostRequest{traits: j.traits(), tried: j.triedPart(), id: j.ID, answered: answered, failedAt: time.Now()})
}

// recordUnverifiedEnd records that the answer ended with its connection, and that nothing shows
// whether it was whole. The trial of the request lasts until it is known whether the server crashed. Only
// if it did not, the answer counts for the request.
func (j *job) recordUnverifiedEnd(s Server) {
	if !j.core.servers.isOpen(s.Instance) {
		// A server that is leaving may end after any answer.
		return
	}
	endTrial, answer := j.takeTrial(), j.answerOf(s)
	j.core.crashes.recordUnverified(s, lostRequest{
		traits: j.traits(), tried: j.triedPart(), id: j.ID, answered: true, unverified: true, failedAt: time.Now(),
		settle: func(up bool) {
			if up {
				j.core.options.Suspects.RecordAnswer(answer)
			}
			if endTrial != nil {
				endTrial()
			}
		},
	})
}

// answerOf describes a whole answer of a server to the request.
func (j *job) answerOf(s Server) trial.Answer {
	var parts []suspect.Digest
	if j.succeeded {
		parts = j.traits().Parts
	}
	return trial.Answer{
		Digest: j.digest(), Parts: parts, ID: j.ID, Instance: s.Instance, Version: suspect.VersionOf(s.Version), Framing: j.lastFraming(),
	}
}

// recordCancellation records that the request was given up at a server before all of its answer had come.
func (j *job) recordCancellation(ctx context.Context, s Server, answered bool) {
	if endReasonOf(ctx) == endSilent {
		// Only the publisher shows whether the server has crashed. No other trial starts before that.
		j.setTrial(nil)
	}
	j.core.crashes.recordAbandoned(s, lostRequest{
		traits: j.traits(), tried: j.triedPart(), id: j.ID, answered: answered, abandoned: true, failedAt: time.Now(),
	})
}

// traits returns what crashes under the request can be attributed to. The last part of a prompt is the
// request's own.
func (j *job) traits() suspect.Traits {
	j.traitsOnce.Do(func() {
		j.traitsValue.Request = suspect.DigestOf(suspect.Content{
			Workspace: j.workspace.Name, Method: j.Method, Host: j.Host, Target: j.Target, Body: j.Body,
		})
		for _, part := range j.Parts[:min(max(len(j.Parts)-1, 0), suspect.MaxParts)] {
			j.traitsValue.Parts = append(j.traitsValue.Parts, suspect.DigestOfPart(j.workspace.Name, j.service.Name, part.ID))
		}
	})
	return j.traitsValue
}

// digest identifies the request across all its attempts.
func (j *job) digest() suspect.Digest { return j.traits().Request }

// serverCrashed reports to all hosts that a backend server crashed and which requests it
// was working on.
func (c *Core) serverCrashed(s Server, requests []lostRequest) {
	c.scope.Counter("servers_ended").Inc(1)
	c.scope.Counter("requests_lain").Inc(int64(len(requests)))
	crashes := make([]suspect.Crash, 0, len(requests))
	for _, r := range requests {
		crash := suspect.Crash{
			Digest: r.traits.Request, Server: suspect.ServerOf(s.Instance), Version: suspect.VersionOf(s.Version), Answered: r.answered, CrashedAt: r.failedAt,
		}
		crashes = append(crashes, crash)
		for _, part := range r.traits.Parts {
			ofPart := crash
			ofPart.Digest, ofPart.Part, ofPart.Holder, ofPart.Trial = part, true, r.traits.Request, part == r.tried
			crashes = append(crashes, ofPart)
		}
		c.log.WithFields(logrus.Fields{
			"request": r.id, "server": s.Instance, "service": s.Service, "version": s.Version, "digest": r.traits.Request, "answered": r.answered,
			"end_unverified": r.unverified, "parts": r.traits.Parts,
		}).Info("a backend server crashed while serving a request")
	}
	c.options.Suspects.RecordCrashes(crashes)
}
