// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/verdict"
)

// fullRetryAfter is the Retry-After of a caller refused by a full service: the time of a
// few answers.
const fullRetryAfter = 250 * time.Millisecond

// sendOptions is what is added to a request that is sent to a server. The zero value adds nothing.
type sendOptions struct {
	// inputs are the handles of stage results, lastEvent is the event after which a stream goes on,
	// and copyFrom the address from which an engine copies shared parts of the prompt.
	inputs    []string
	lastEvent string
	copyFrom  netip.AddrPort
	// expected is the expected time to the first byte, 0 if unknown.
	expected time.Duration
	// onReuse, if set, is called if the connection has carried another request.
	onReuse func()
}

// send sends the request to a server once. It returns the answer's head with its body
// unread. The error carries a verdict, which is also NotRun if the server reported that it
// did not run the request. The request counts as running on the server until
// core.servers.finishRequest is called.
func (j *job) send(ctx context.Context, s Server, options sendOptions) (*exchange.Answer, Head, error) {
	left := j.remaining()
	if left <= 0 {
		return nil, Head{}, verdict.New(verdict.NotRun, ReasonTimeout, "relay: no time left")
	}
	o := j.core.options
	call := exchange.Call{
		Address: s.Address,
		Method:  j.Method,
		Target:  j.Target,
		Host:    j.Host,
		Header: o.Dialect.Header(j.Request, ForwardInfo{
			Instance: s.Instance, Remaining: left, Workspace: j.workspace.Name, Inputs: options.inputs, LastEvent: options.lastEvent, CopyFrom: options.copyFrom,
			Urgency: j.urgency(time.Now()),
		}),
		Body:          j.Body,
		NewConnection: j.needsNewConnection(),
		SilentAfter:   overdueFactor * options.expected,
		OnReuse:       options.onReuse,
		Matches:       func(status int, h http.Header) bool { return o.Dialect.Matches(j.ID, status, h) },
	}
	j.recordSend(s)
	sentAt := time.Now()
	answer, err := o.Servers.Do(ctx, call)
	defer j.endSend()
	if err == nil {
		j.recordAnswer(answer.Framing)
		j.core.crashes.recordAnswer(s.Instance, sentAt)
	}
	if err != nil {
		if verdict.Of(err) != verdict.NotRun {
			j.recordPossibleRun()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			j.core.crashes.connectionRefused(s.Instance)
		}
		j.logSendFailure(s, "failed", err)
		return nil, Head{}, err
	}
	head := o.Dialect.Head(s.Instance, answer.Status, answer.Header)
	head.Notice.SentAt = sentAt
	o.Notices.RecordNotice(notice.Server{Instance: s.Instance, Address: s.Address}, head.Notice)
	if head.NotRun {
		_ = answer.Body.Close()
		if head.Misdirected {
			o.Servers.CloseIdle(s.Address)
		}
		if answer.Status == http.StatusServiceUnavailable && head.Notice.Rest == 0 {
			o.Limits.Rejected(s.Instance)
		}
		err = verdict.New(verdict.NotRun, verdict.ReasonRefused, "relay: %s did not run it: status %d", s.Instance, answer.Status)
		j.logSendFailure(s, "not run", err)
		return nil, head, err
	}
	j.recordPossibleRun()
	if answer.Status < http.StatusMultipleChoices && answer.Status >= http.StatusOK && !head.Signed {
		_ = answer.Body.Close()
		err = verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "relay: %s answered without a signature", s.Instance)
		j.logSendFailure(s, "bad answer", err)
		return nil, head, err
	}
	return answer, head, nil
}

// needsNewConnection reports whether the next send requires a new connection.
func (j *job) needsNewConnection() bool {
	return !j.route.Repeatable || j.unanswered() > 0
}

// logSendFailure logs a send that did not yield an answer.
func (j *job) logSendFailure(s Server, outcome string, err error) {
	reason := verdict.As(err).Reason
	j.core.scope.Counter("sends_failed").Inc(1)
	if reason == verdict.ReasonBadAnswer {
		j.core.scope.Counter("bad_answers").Inc(1)
	}
	j.log.WithError(err).WithField("server", s.Instance).WithField("outcome", outcome).WithField("reason", string(reason)).
		WithField("left_ms", j.remaining().Milliseconds()).WithField("attempts", j.possibleRuns()).Info("send failed")
}
