// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peerhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"
)

// attempt is one call on one connection.
type attempt struct {
	cancel context.CancelFunc
	// done is closed when response or err is set.
	done     chan struct{}
	response *http.Response
	err      error
	// reused reports that the connection has carried an earlier call.
	reused atomic.Bool
	// lastProgress is when the call got its connection or the last informational response, in
	// nanoseconds since startedAt.
	lastProgress atomic.Int64
	startedAt    time.Time
	// won reports that the attempt was answered before a competing one; set by race.
	won bool
}

// startAttempt starts a call without waiting for the response.
func startAttempt(r *http.Request, p *connPool) *attempt {
	a := &attempt{done: make(chan struct{}), startedAt: time.Now()}
	ctx, cancel := context.WithCancel(r.Context())
	a.cancel = cancel
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { a.reused.Store(info.Reused); a.recordProgress() },
		Got1xxResponse: func(int, textproto.MIMEHeader) error { a.recordProgress(); return nil },
	})
	out := r.Clone(ctx)
	if r.GetBody != nil {
		out.Body, a.err = r.GetBody()
		if a.err != nil {
			close(a.done)
			return a
		}
	}
	go func() {
		defer close(a.done)
		a.response, a.err = p.http.RoundTrip(out)
	}()
	return a
}

func (a *attempt) recordProgress() {
	a.lastProgress.Store(int64(time.Since(a.startedAt)))
}

// waitWhileAlive waits for the response. It reports false if there was no informational response
// for silenceTimeout.
func (a *attempt) waitWhileAlive() bool {
	for {
		remaining := silenceTimeout - (time.Since(a.startedAt) - time.Duration(a.lastProgress.Load()))
		if remaining <= 0 {
			return false
		}
		timer := time.NewTimer(remaining)
		select {
		case <-a.done:
			timer.Stop()
			return true
		case <-timer.C:
		}
	}
}

// wait returns the outcome. The context of the call is cancelled when the response body is closed.
func (a *attempt) wait() (*http.Response, error) {
	<-a.done
	if a.err != nil {
		a.cancel()
		return nil, a.err
	}
	a.response.Body = &body{ReadCloser: a.response.Body, cancel: a.cancel}
	return a.response, nil
}

// discard cancels a call whose outcome is not needed.
func (a *attempt) discard() {
	a.cancel()
	<-a.done
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

// race returns the first response of two calls, or the error of the first call if both fail.
func race(first, second *attempt) (*http.Response, error) {
	select {
	case <-first.done:
	case <-second.done:
	}
	if isDone(second) && second.err == nil && (!isDone(first) || first.err != nil) {
		second.won = true
		go first.discard()
		return second.wait()
	}
	if isDone(first) && first.err == nil || !isDone(first) {
		go second.discard()
		return first.wait()
	}
	// The first attempt failed; the second may still succeed.
	first.cancel()
	response, err := second.wait()
	second.won = err == nil
	if err != nil {
		return nil, first.err
	}
	return response, nil
}

func isDone(a *attempt) bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// body cancels the context of its call when it is closed.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the call.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
