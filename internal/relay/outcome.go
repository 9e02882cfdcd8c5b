// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"errors"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/verdict"
)

// logOutcome logs and counts the outcome of a request.
func (c *Core) logOutcome(j *job, r *Request, err error) {
	fields := logrus.Fields{"request": r.ID, "took_ms": time.Since(r.Arrived).Milliseconds()}
	outcome := "answered"
	if err != nil {
		outcome = outcomeOf(err)
		fields["error"] = err.Error()
	}
	fields["outcome"] = outcome
	if !r.Forwarded {
		c.countOutcome(r, outcome, err)
	}
	if j != nil {
		fields["route"] = j.route.Name
		fields["workspace"] = j.workspace.Name
		fields["config"] = j.catalog.Version
		fields["server"] = j.lastServer().Instance
		fields["version"] = j.lastServer().Version
		fields["digest"] = j.digest()
		fields["sends"] = j.sendCount()
		fields["attempts"] = j.possibleRuns()
		fields["stages_ms"] = j.stagesDuration.Milliseconds()
		fields["first_ms"] = j.firstByteDuration.Milliseconds()
		fields["held_ms"] = j.deadline.Sub(j.Arrived).Milliseconds()
		fields["objective_ms"] = j.route.Objective.Milliseconds()
		if j.placement.Instance != "" {
			fields["tokens"] = r.promptTokens()
			fields["shared_tokens"] = r.sharedTokens()
			fields["engine_wait_ms"] = j.placement.Wait.Milliseconds()
			fields["engine_expected_ms"] = j.placement.Expected.Milliseconds()
			fields["copied"] = j.placement.Source.IsValid()
		}
		if j.placement.Speed > 0 {
			fields["engine_speed"] = math.Round(100*j.placement.Speed) / 100
		}
		if j.refusedPart != 0 {
			fields["part"] = j.refusedPart
		}
		j.recordHandover(fields)
		j.recordOrigin(fields)
		j.recordAnswerEnd(fields, outcome)
		j.recordLongestGap(fields)
		j.recordStageTimes(fields)
		if j.stagesDuration > 0 {
			c.scope.Histogram("stages_seconds", latencyBuckets).RecordDuration(j.stagesDuration)
		}
		if j.firstByteDuration > 0 {
			c.scope.Histogram("first_byte_seconds", latencyBuckets).RecordDuration(j.firstByteDuration)
		}
	}
	message := "request ended"
	if r.Forwarded {
		message = "forwarded request ended"
	}
	c.log.WithFields(fields).Info(message)
}

// countOutcome counts the outcome of a request at the host that its caller uses.
func (c *Core) countOutcome(r *Request, outcome string, err error) {
	tagged := c.scope.Tagged(map[string]string{"outcome": outcome})
	tagged.Counter("requests").Inc(1)
	tagged.Histogram("request_seconds", latencyBuckets).RecordDuration(time.Since(r.Arrived))
	if err != nil && verdict.Of(err) == verdict.NotRun {
		reason := map[string]string{"reason": outcome}
		c.scope.Tagged(reason).Histogram("refusal_seconds", latencyBuckets).RecordDuration(time.Since(r.Arrived))
	}
}

// recordAnswerEnd logs and counts how the last answer of a server was framed, and logs the
// length of an incomplete event at its end.
func (j *job) recordAnswerEnd(fields logrus.Fields, outcome string) {
	framing := j.lastFraming()
	if framing == exchange.FramingUnknown {
		return
	}
	fields["framing"] = framing.String()
	if j.unverifiedEnd {
		fields["end_unverified"] = true
	}
	if j.partialBytes > 0 {
		fields["partial_bytes"] = j.partialBytes
	}
	j.core.scope.Tagged(map[string]string{"framing": framing.String(), "outcome": outcome}).Counter("answers_by_framing").Inc(1)
}

// recordOrigin logs which attempt began the stream that the caller takes up, which software version the
// stream is bound to and by which evidence, and which server sent the first event forwarded here.
func (j *job) recordOrigin(fields logrus.Fields) {
	if j.Continues {
		fields["continues"] = true
		fields["origin"] = j.Origin
		fields["last_event"] = j.LastEvent
	}
	version, evidence, server := j.streamStart()
	if bound, ok := version.Get(); ok {
		fields["stream_version"] = bound
		fields["version_evidence"] = string(evidence)
	}
	if server != "" {
		fields["first_server"] = server
	}
}

// recordLongestGap logs and counts the longest gap between the events of a stream.
func (j *job) recordLongestGap(fields logrus.Fields) {
	if j.longestGap == 0 {
		return
	}
	fields["longest_gap_ms"] = j.longestGap.Milliseconds()
	j.core.scope.Histogram("event_gap_seconds", latencyBuckets).RecordDuration(j.longestGap)
	if limit := j.route.MaxGap; limit > 0 {
		fields["gap_limit_ms"] = limit.Milliseconds()
		if j.longestGap > limit {
			j.core.scope.Counter("streams_paused").Inc(1)
		}
	}
}

func outcomeOf(err error) string {
	switch {
	case errors.Is(err, ErrCut):
		return "cut"
	case errors.Is(err, ErrDisconnected):
		return "left"
	default:
		return string(verdict.As(err).Reason)
	}
}
