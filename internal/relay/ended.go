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

// endedSendMessage is the message of the log line of a send that this host ended.
const endedSendMessage = "the host ended a send"

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

// endedSend is a send that this host ended.
type endedSend struct {
	server   Server
	activity *serverActivity
	// receivedAt is when the server last sent something for the send; zero if it never has.
	receivedAt time.Time
	// finding is what was found out about a silent server, empty if nothing was. replacedBy is the
	// server that has answered in its place, empty if none has.
	finding    finding
	replacedBy string
	// events is the number of events that the caller has received.
	events int
}

// logEndedSend logs and counts that this host ended a send.
func (j *job) logEndedSend(ctx context.Context, e endedSend) {
	now := time.Now()
	reason := endReasonOf(ctx)
	j.core.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("sends_ended").Inc(1)
	fields := logrus.Fields{
		"server": e.server.Instance, "reason": string(reason), "sends": j.sendCount(), "attempts": j.possibleRuns(), "events": e.events,
		"others_sending": j.core.servers.sendingServers(j.service.Name, e.server.Instance, minSilence),
	}
	if !e.receivedAt.IsZero() {
		fields["silent_ms"] = now.Sub(e.receivedAt).Milliseconds()
	}
	if since, ok := e.activity.sinceReceived(now); ok {
		fields["server_silent_ms"] = since.Milliseconds()
	}
	if e.finding != "" {
		fields["finding"] = string(e.finding)
	}
	if e.replacedBy != "" {
		fields["replaced_by"] = e.replacedBy
	}
	j.log.WithFields(fields).Info(endedSendMessage)
}
