// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/verdict"
)

// passErrorAnswer forwards an engine's error answer, or returns an error that lets another
// engine try.
func (s *stream) passErrorAnswer(a *attempt, answer *exchange.Answer) error {
	j := s.job
	failed := verdict.New(verdict.Ran, verdict.ReasonServerFailed, "relay: %s failed with status %d", a.engine.Instance, answer.Status)
	retryable := answer.Status >= http.StatusInternalServerError && j.route.Resumable && j.possibleRuns() < j.route.MaxAttempts
	if s.isStarted() || claimsNotRun(answer.Status) || retryable || s.isContested(a) {
		return failed
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody))
	end := endOf(answer, body, false)
	if err != nil || len(body) == maxBufferedBody || end == endBroken {
		return failed
	}
	if !s.startOther(a, answer, end) {
		return failed
	}
	if s.sink.Write(body) != nil {
		return ErrCut
	}
	return nil
}

// passAnswer forwards a successful answer, and returns the time of its first event, or of its first byte
// if it is not a series of events.
func (s *stream) passAnswer(a *attempt, answer *exchange.Answer) (time.Time, error) {
	s.mu.Lock()
	s.job.succeeded = true
	s.mu.Unlock()
	if isEventStream(answer.Header) {
		return s.copyEvents(a, answer)
	}
	return s.passOtherAnswer(a, answer)
}

// passOtherAnswer forwards an answer that is not a series of events. No other engine can go on with it.
func (s *stream) passOtherAnswer(a *attempt, answer *exchange.Answer) (time.Time, error) {
	reader := &watchedReader{reader: answer.Body, watchdog: a.watch}
	body, err := io.ReadAll(io.LimitReader(reader, maxBufferedBody))
	truncated := err == nil && len(body) == maxBufferedBody
	end := endOf(answer, body, truncated)
	if err == nil && end == endBroken {
		err = errBodyBroken
	}
	if err == nil && !s.startOther(a, answer, end) {
		err = errNotEvents
	}
	if err != nil {
		return reader.firstAt, verdict.New(verdict.Unknown, verdict.ReasonConnection, "%w: %w", errStreamBroken, err)
	}
	if s.sink.Write(body) != nil {
		return reader.firstAt, ErrCut
	}
	if truncated {
		err = copyBody(s.sink, reader)
	}
	if errors.Is(err, errBodyBroken) {
		// A part of it was forwarded, so no other engine can take over.
		err = fmt.Errorf("%w: %w", ErrCut, errStreamBroken)
	}
	return reader.firstAt, err
}

// watchedReader records for a watchdog what arrives.
type watchedReader struct {
	reader   io.Reader
	watchdog *watchdog
	// firstAt is when the first byte arrived; zero before.
	firstAt time.Time
}

// Read reads from the answer.
func (r *watchedReader) Read(buffer []byte) (int, error) {
	r.watchdog.wait()
	n, err := r.reader.Read(buffer)
	r.watchdog.pause()
	if n > 0 {
		now := time.Now()
		r.watchdog.activity.received(now)
		if r.firstAt.IsZero() {
			r.firstAt = now
		}
	}
	return n, err
}

// startOther forwards the head of an answer that is not a series of events. It reports false if another
// attempt has started the answer.
func (s *stream) startOther(a *attempt, answer *exchange.Answer, end bodyEnd) bool {
	s.mu.Lock()
	claimed := !s.started && s.claim(a)
	if claimed {
		s.fixed = true
		s.start(a)
	}
	s.mu.Unlock()
	if !claimed {
		return false
	}
	if end == endUnverified {
		s.markUnverified(a)
		s.sink.OmitEnd()
	}
	s.sink.Start(answer.Status, answer.Header)
	return true
}

// copyEvents forwards complete events as they arrive and returns the time of the first. By
// the first event, the engine has read its inputs.
func (s *stream) copyEvents(a *attempt, answer *exchange.Answer) (time.Time, error) {
	var first time.Time
	buffer := make([]byte, copyBuffer)
	reader := &watchedReader{reader: answer.Body, watchdog: a.watch}
	for {
		n, err := reader.Read(buffer)
		broken := err != nil && !errors.Is(err, io.EOF)
		if n > 0 {
			before := a.splitter.events
			if whole := a.splitter.split(buffer[:n]); len(whole) > 0 {
				now := time.Now()
				if first.IsZero() {
					first = now
					a.flight.answered.Store(true)
				}
				a.gaps.add(now, a.splitter.events-before)
				if !s.hold(a, now, whole, broken) {
					if err := s.forward(a, answer, whole); err != nil {
						return first, err
					}
				}
			}
		}
		switch {
		case broken:
			return first, verdict.New(verdict.Unknown, verdict.ReasonConnection, "%w: %w", errStreamBroken, err)
		case err != nil:
			return first, s.finishAnswer(a, answer)
		}
	}
}

// forward forwards complete events, and the head before the first ones. The error wraps errSuperseded if
// another attempt has sent them before.
func (s *stream) forward(a *attempt, answer *exchange.Answer, whole []byte) error {
	s.mu.Lock()
	if !s.claim(a) {
		s.mu.Unlock()
		return verdict.New(verdict.Unknown, verdict.ReasonConnection, "%w: %w", errStreamBroken, errSuperseded)
	}
	if len(a.held) > 0 {
		whole = slices.Concat(a.held, whole)
		a.held = nil
		s.job.core.scope.Counter("late_events_forwarded").Inc(1)
	}
	s.splitter, s.gaps.lastAt, s.gaps.longest = a.splitter, a.gaps.lastAt, a.gaps.longest
	isFirst, isHead := !a.forwarded, !s.started
	s.start(a)
	s.mu.Unlock()
	if isFirst {
		s.recordVersion(a)
	}
	if isHead {
		if answer.Framing != exchange.FramingConnection {
			s.job.endTrial()
		}
		s.sink.Start(answer.Status, answer.Header)
	}
	if len(whole) > 0 && s.sink.Write(whole) != nil {
		return ErrCut
	}
	return nil
}

// start records that the caller receives a part of an attempt's answer, and releases its inputs. Memory for
// inputs is scarce, and the few streams that break have them produced again. The mutex must be held.
func (s *stream) start(a *attempt) {
	if !s.started {
		s.started = true
		s.job.firstByteDuration = time.Since(s.job.Arrived)
	}
	if !a.forwarded {
		a.forwarded = true
		a.inputs.release()
	}
}

// finishAnswer ends the answer of an engine whose connection reported no error. Without a length or
// chunks, that is no proof that the engine had sent all of it, also if it ended between two events.
func (s *stream) finishAnswer(a *attempt, answer *exchange.Answer) error {
	switch {
	case a.splitter.brokenOff():
		return verdict.New(verdict.Unknown, verdict.ReasonConnection, "%w: %w", errStreamBroken, errInsideEvent)
	case answer.Framing == exchange.FramingConnection && (!a.splitter.hasEvent() || s.dropsHeld(a)):
		return verdict.New(verdict.Unknown, verdict.ReasonConnection, "%w: %w", errStreamBroken, errNoEvent)
	}
	err := s.forward(a, answer, a.splitter.partial)
	if err == nil && answer.Framing == exchange.FramingConnection {
		s.markUnverified(a)
	}
	return err
}

// markUnverified records that the caller got an answer that is not known to be whole.
func (s *stream) markUnverified(a *attempt) {
	a.unverifiedEnd = true
	s.job.unverifiedEnd = true
}
