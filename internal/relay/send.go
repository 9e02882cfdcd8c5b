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

// fullAfter is when a caller turned away by a full service may find room: a
// few answers' time.
const fullAfter = 250 * time.Millisecond

// send sends the request to a server once. It returns the answer's head with
// its body unread. The error bears a verdict; NotRun includes that the server
// said so. The server's running count is kept until core.servers.ended.
func (j *job) send(ctx context.Context, s Server, inputs []string, lastEvent string, copyFrom netip.AddrPort) (*exchange.Answer, Head, error) {
	left := j.left()
	if left <= 0 {
		return nil, Head{}, verdict.New(verdict.NotRun, ReasonTimeout, "relay: no time left")
	}
	o := j.core.options
	call := exchange.Call{
		Address: s.Address,
		Method:  j.Method,
		Target:  j.Target,
		Host:    j.Host,
		Header:  o.Dialect.Header(j.Request, Send{Instance: s.Instance, Left: left, Workspace: j.workspace.Name, Inputs: inputs, LastEvent: lastEvent, CopyFrom: copyFrom}),
		Body:    j.Body,
		Fresh:   j.connectsAnew(),
		Mine:    func(status int, h http.Header) bool { return o.Dialect.Mine(j.ID, status, h) },
	}
	j.sentTo(s)
	answer, err := o.Servers.Do(ctx, call)
	if err == nil {
		j.answered()
	}
	if err != nil {
		if verdict.Of(err) != verdict.NotRun {
			j.mayHaveRun()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			j.core.broken.refused(s.Instance)
		}
		j.note(s, "failed", err)
		return nil, Head{}, err
	}
	head := o.Dialect.Head(s.Instance, answer.Status, answer.Header)
	o.Notices.Heard(notice.Server{Instance: s.Instance, Address: s.Address}, head.Notice)
	if head.NotRun {
		_ = answer.Body.Close()
		if head.Misdirected {
			o.Servers.Drop(s.Address)
		}
		err = verdict.New(verdict.NotRun, verdict.ReasonRefused, "relay: %s did not run it: status %d", s.Instance, answer.Status)
		j.note(s, "not run", err)
		return nil, head, err
	}
	j.mayHaveRun()
	if answer.Status < http.StatusMultipleChoices && answer.Status >= http.StatusOK && !head.Signed {
		_ = answer.Body.Close()
		err = verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "relay: %s answered without a signature", s.Instance)
		j.note(s, "bad answer", err)
		return nil, head, err
	}
	return answer, head, nil
}

// connectsAnew reports whether the next send goes out on a new connection.
func (j *job) connectsAnew() bool {
	return !j.route.Repeatable || j.unanswered() > 0
}

// note logs one send that did not bring an answer.
func (j *job) note(s Server, outcome string, err error) {
	j.core.scope.Counter("sends_failed").Inc(1)
	j.log.WithError(err).WithField("server", s.Instance).WithField("outcome", outcome).
		WithField("left_ms", j.left().Milliseconds()).WithField("attempts", j.ran()).Info("send failed")
}
