// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// endReason is why this host ended a send to a backend server.
type endReason string

const (
	// endSilent means that the server was silent, endSuperseded that another one has answered.
	endSilent     endReason = "silent"
	endSuperseded endReason = "superseded"
	// endDeadline means that the time of the request was over, endCallerLeft that its caller
	// disconnected, and endDrained that this host is shutting down.
	endDeadline   endReason = "deadline"
	endCallerLeft endReason = "caller_left"
	endDrained    endReason = "drained"
)

// errSuperseded is the cancellation cause of a send in whose place another one has answered.
var errSuperseded = errors.New("relay: another backend server has answered")

// endReasonOf returns why the context of a send has ended.
func endReasonOf(ctx context.Context) endReason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStreamSilent):
		return endSilent
	case errors.Is(cause, errSuperseded):
		return endSuperseded
	case errors.Is(cause, context.DeadlineExceeded):
		return endDeadline
	case errors.Is(cause, errDrained):
		return endDrained
	default:
		return endCallerLeft
	}
}

// logEndedSend logs and counts that this host ended a send whose server last sent something at a given
// time, zero if it never has.
func (j *job) logEndedSend(ctx context.Context, s Server, activity *serverActivity, receivedAt time.Time) {
	now := time.Now()
	reason := endReasonOf(ctx)
	j.core.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("sends_ended").Inc(1)
	fields := logrus.Fields{"server": s.Instance, "reason": string(reason), "sends": j.sendCount(), "attempts": j.possibleRuns()}
	if !receivedAt.IsZero() {
		fields["silent_ms"] = now.Sub(receivedAt).Milliseconds()
	}
	if since, ok := activity.sinceReceived(now); ok {
		fields["server_silent_ms"] = since.Milliseconds()
	}
	fields["others_sending"] = j.core.servers.sendingServers(j.service.Name, s.Instance, minSilence)
	j.log.WithFields(fields).Info("the host ended a send")
}
