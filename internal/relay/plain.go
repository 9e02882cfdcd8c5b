// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// wholeMost is up to what length an answer is read whole before it is
	// passed on, so that a broken one can be replaced.
	wholeMost = 256 << 10
	// sendsMost bounds how often a request is sent that servers do not run.
	sendsMost = 4
	// plainShare of the objective is what an answer should take; servers are
	// compared by it.
	plainShare = 0.25
	// hedgeShare of the objective is when a repeatable request without an
	// answer is sent to a second server.
	hedgeShare = 0.55
)

// reply is a plain answer read as far as wholeMost.
type reply struct {
	server Server
	answer *exchange.Answer
	head   Head
	body   []byte
	// rest says that the body goes on.
	rest bool
	err  error
	took time.Duration
}

// plain serves a request whose answer is one body.
func (j *job) plain(ctx context.Context, sink Sink) error {
	for {
		if err := j.maySend(); err != nil {
			return err
		}
		if err := j.awaitTry(ctx); err != nil {
			return err
		}
		if err := j.awaitRest(ctx, j.expected()); err != nil {
			return err
		}
		r, err := j.plainOnce(ctx)
		j.endTry()
		if err != nil {
			return err
		}
		if r.err == nil && !j.again(r) {
			return j.pass(r, sink)
		}
		if r.err == nil {
			r.err = verdict.New(verdict.Ran, verdict.ReasonServerFailed, "relay: status %d", r.answer.Status)
		}
		if interrupted := j.interrupted(ctx); interrupted != nil {
			return interrupted
		}
		if err := j.mayRetry(r.err); err != nil {
			return err
		}
	}
}

// again reports whether an answer is a failure that another server may not
// have.
func (j *job) again(r *reply) bool {
	return r.answer.Status >= http.StatusInternalServerError && j.route.Repeatable &&
		j.ran() < j.route.MaxAttempts && j.left() > j.route.Objective/4 && j.core.retries.take(j.service.Name)
}

// mayRetry decides on a further send after err; it returns the final answer
// where there is to be none.
func (j *job) mayRetry(err error) error {
	v := verdict.As(err)
	if v.Verdict == verdict.Ran {
		return nil
	}
	if v.Verdict == verdict.NotRun {
		if j.sentTimes() >= sendsMost || v.Reason == verdict.ReasonRefused && !j.core.retries.take(j.service.Name) {
			return j.refuse(verdict.ReasonOverload, fullAfter, "no server took it: %v", err)
		}
		return nil
	}
	if !j.route.Repeatable || j.ran() >= j.route.MaxAttempts || !j.core.retries.take(j.service.Name) {
		return verdict.New(verdict.Unknown, v.Reason, "relay: %w", err)
	}
	return nil
}

// plainOnce sends a request, and once more where the first server is slow and
// the request may be repeated. It returns the first answer, or the last
// failure.
func (j *job) plainOnce(ctx context.Context) (*reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	replies := make(chan *reply, 2)
	started := 0
	start := func() bool {
		s, ok := j.core.servers.choosePlain(j.service.Name, j.expected(), j.homes, j.tried)
		if !ok {
			return false
		}
		j.tried = append(j.tried, s.Instance)
		started++
		go func() { replies <- j.exchange(ctx, s) }()
		return true
	}
	if !start() {
		cancel()
		return nil, j.refuse(verdict.ReasonNoServer, fullAfter, "no server of %s", j.service.Name)
	}
	var hedge <-chan time.Time
	// A second server might end with the first.
	if j.route.Repeatable && j.route.MaxAttempts > j.ran()+1 && !j.suspected() {
		timer := time.NewTimer(time.Duration(hedgeShare * float64(j.route.Objective)))
		defer timer.Stop()
		hedge = timer.C
	}
	var last *reply
	for got := 0; got < started; {
		select {
		case <-hedge:
			hedge = nil
			if j.core.retries.take(j.service.Name) && start() {
				j.core.scope.Counter("hedges").Inc(1)
			}
		case last = <-replies:
			got++
			if last.err == nil && last.answer.Status < http.StatusInternalServerError || got == started {
				go drop(replies, started-got)
				// A body that goes on is read under ctx; it ends with the
				// request's own.
				if !last.rest {
					cancel()
				} else {
					context.AfterFunc(ctx, cancel)
				}
				return last, nil
			}
		}
	}
	cancel()
	return last, nil
}

func drop(replies <-chan *reply, count int) {
	for range count {
		if r := <-replies; r.answer != nil {
			_ = r.answer.Body.Close()
		}
	}
}

// expected is how long an undisturbed answer takes, roughly.
func (j *job) expected() time.Duration {
	return time.Duration(plainShare * float64(j.route.Objective))
}

// exchange sends the request and reads the answer whole.
func (j *job) exchange(ctx context.Context, s Server) *reply {
	began := time.Now()
	r := &reply{server: s}
	r.answer, r.head, r.err = j.send(ctx, s, nil, "", netip.AddrPort{})
	if r.err == nil {
		r.body, r.err = io.ReadAll(io.LimitReader(r.answer.Body, wholeMost))
		r.rest = r.err == nil && len(r.body) == wholeMost
		if r.err != nil {
			_ = r.answer.Body.Close()
			r.err = verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "relay: the answer broke off: %w", r.err)
			j.note(s, "broken answer", r.err)
		}
	}
	r.took = time.Since(began)
	switch {
	case r.err == nil || verdict.Of(r.err) != verdict.Unknown:
	case ctx.Err() == nil:
		j.broke(s, false)
	default:
		j.gaveUp(s)
	}
	left := ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
	failed := r.err != nil && !left || r.err == nil && r.answer.Status >= http.StatusInternalServerError
	ratio := r.took.Seconds() / j.expected().Seconds()
	if r.err != nil && verdict.Of(r.err) == verdict.NotRun {
		ratio = 0
	}
	j.core.servers.ended(s.Instance, ratio, failed)
	return r
}

// pass hands a whole answer to the caller.
func (j *job) pass(r *reply, sink Sink) error {
	j.firstFor = time.Since(j.Arrived)
	status := r.answer.Status
	if promises(status) {
		// The server ran it; the status would tell the caller that it did not.
		_ = r.answer.Body.Close()
		return verdict.New(verdict.Ran, verdict.ReasonServerFailed, "relay: %s failed with status %d", r.server.Instance, status)
	}
	sink.Start(status, r.answer.Header)
	if err := sink.Write(r.body); err != nil {
		_ = r.answer.Body.Close()
		return ErrCut
	}
	if !r.rest {
		return nil
	}
	defer func() { _ = r.answer.Body.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.answer.Body.Read(buffer)
		if n > 0 && sink.Write(buffer[:n]) != nil {
			return ErrCut
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return ErrCut
		}
	}
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
