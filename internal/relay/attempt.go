// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/verdict"
)

// attempt is one send of a stream to an engine.
type attempt struct {
	engine Server
	// expected is the expected time to the first event, and promptID identifies the placement.
	expected time.Duration
	promptID uint64
	send     sendOptions
	sentAt   time.Time
	// inputs has the stage results that the engine reads. They are released at the first event.
	inputs *stageGraph
	flight *flight
	watch  *watchdog
	cancel context.CancelCauseFunc
	// reportedOverdue reports whether the engine was reported as silent for this prompt.
	reportedOverdue atomic.Bool
	// reused reports whether the send went over a connection that had carried another request.
	reused atomic.Bool
	// splitter and gaps are used by the reader of the answer alone.
	splitter eventSplitter
	gaps     eventGaps
	// unverifiedEnd reports whether the caller got an answer that is not known to be whole.
	unverifiedEnd bool
	// held has the late events that are not forwarded yet. Only the reader of the answer uses it.
	held []byte

	// The mutex of the stream guards the rest.

	// begun reports whether an engine was chosen, and answered whether its answer has started.
	begun    bool
	answered bool
	// forwarded reports whether any of its events were forwarded.
	forwarded bool
	// hedged reports whether the stream was sent to a second engine because this one was silent, and
	// heldAt when the first event after that arrived which is held; zero if none has.
	hedged bool
	heldAt time.Time
	// superseded reports whether another attempt has sent the next event. supersededBy is its engine.
	superseded   bool
	supersededBy string
	// finding is what was last found out about the silent engine.
	finding finding
}

// newAttempt adds an attempt, whose engine is not chosen yet.
func (s *stream) newAttempt(ctx context.Context) (context.Context, *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addAttempt(ctx)
}

// addAttempt is newAttempt for callers that hold the mutex.
func (s *stream) addAttempt(ctx context.Context) (context.Context, *attempt) {
	a := &attempt{}
	ctx, a.cancel = context.WithCancelCause(ctx)
	s.attempts = append(s.attempts, a)
	return ctx, a
}

// begin prepares an attempt for its send. It goes on after the last event that was forwarded.
func (s *stream) begin(a *attempt, engine Server, prompt placing.Prompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.begun, a.engine, a.promptID = true, engine, prompt.ID
	a.expected, a.send.copyFrom = s.expectedFirstEvent, s.copyFrom
	a.send.expected = a.expected
	a.splitter = s.splitter
	a.splitter.restart()
	a.send.lastEvent = a.splitter.lastID
	a.gaps = s.gaps.following()
}

// claim ends all other attempts, because a has sent the next event. It reports false if another has done so
// before. The mutex must be held; it is released while another attempt holds late events.
func (s *stream) claim(a *attempt) bool {
	s.awaitHeld(a)
	if a.superseded {
		return false
	}
	changed := s.owner != a
	for _, other := range s.attempts {
		if other != a && !other.superseded {
			other.superseded, other.supersededBy = true, a.engine.Instance
			other.cancel(errSuperseded)
			changed = true
		}
	}
	if changed {
		s.job.setServer(a.engine)
		s.ended.Broadcast()
	}
	s.owner = a
	return true
}

// isContested reports whether another attempt may still send the next event.
func (s *stream) isContested(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.attempts, func(other *attempt) bool { return other != a && !other.superseded })
}

// isStarted reports whether the caller has received the head.
func (s *stream) isStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// finish removes an attempt that has ended with err.
func (s *stream) finish(a *attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = slices.DeleteFunc(s.attempts, func(other *attempt) bool { return other == a })
	if s.owner == a && len(a.held) == 0 {
		// The caller hasn't received events that are still held.
		s.splitter = a.splitter
	}
	switch {
	case err == nil:
		s.complete = true
	case a.begun && !a.superseded:
		s.err, s.failedEngine = err, a.engine
	}
	a.cancel(nil)
	s.ended.Broadcast()
}

// awaitAttempts waits until all attempts have ended. It returns nil if one of them has sent the rest of the
// stream, and else the error of the last one.
func (s *stream) awaitAttempts() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.attempts) > 0 {
		s.ended.Wait()
	}
	if s.complete {
		return nil
	}
	return s.err
}

// streamFrom forwards the events of one engine, and those of a second one if the first falls silent and the
// second sends the next event before it.
func (s *stream) streamFrom(ctx context.Context, engine Server, g *stageGraph) error {
	actx, a := s.newAttempt(ctx)
	s.begin(a, engine, s.prompt)
	a.inputs = g
	a.send.inputs = g.inputHandles()
	s.finish(a, s.run(ctx, actx, a))
	return s.awaitAttempts()
}

// run sends an attempt and forwards what it yields. Further attempts are made under parent.
func (s *stream) run(parent, ctx context.Context, a *attempt) error {
	j := s.job
	a.flight = &flight{traits: j.traits(), tried: j.triedPart(), id: j.ID}
	defer j.core.crashes.track(a.engine.Instance, a.flight)()
	began := time.Now()
	a.sentAt = began
	s.startWatchdog(parent, a)
	defer a.watch.stop()
	a.send.onReuse = func() { a.reused.Store(true) }
	answer, head, err := j.send(ctx, a.engine, a.send)
	if err != nil {
		s.recordOutcome(ctx, a, 0, !head.NotRun)
		if head.InputMissing {
			return errInputGone
		}
		switch {
		case verdict.Of(err) != verdict.Unknown:
		case ctx.Err() == nil:
			j.recordConnectionLoss(a.engine, false)
		default:
			j.recordCancellation(ctx, a.engine, false)
			s.logEnded(ctx, a)
		}
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	defer func() {
		if a.unverifiedEnd {
			j.recordUnverifiedEnd(a.engine)
		}
	}()
	s.recordHead(a)
	if answer.Status != http.StatusOK {
		s.recordOutcome(ctx, a, 0, answer.Status >= http.StatusInternalServerError)
		return s.passErrorAnswer(a, answer)
	}
	first, err := s.passAnswer(a, answer)
	s.logHeld(a, answer.Framing, err)
	took := time.Duration(0)
	if !first.IsZero() {
		took = first.Sub(began)
		j.recordFirstEvent(took)
	}
	switch {
	case !errors.Is(err, errStreamBroken):
	case ctx.Err() == nil:
		j.recordConnectionLoss(a.engine, !first.IsZero())
	default:
		j.recordCancellation(ctx, a.engine, !first.IsZero())
		s.logEnded(ctx, a)
	}
	callerLeft := errors.Is(err, ErrCut) && !errors.Is(err, errStreamBroken)
	s.recordOutcome(ctx, a, took, err != nil && !callerLeft)
	return err
}

// recordHead records that the head of an answer has arrived.
func (s *stream) recordHead(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.answered = true
	a.watch.activity.server.received(time.Now())
}

// logEnded logs that this host ended an attempt.
func (s *stream) logEnded(ctx context.Context, a *attempt) {
	s.mu.Lock()
	e := endedSend{server: a.engine, activity: a.watch.activity.server, receivedAt: a.watch.activity.lastReceived(), finding: a.finding, replacedBy: a.supersededBy, events: s.splitter.events}
	s.mu.Unlock()
	s.job.logEndedSend(ctx, e)
}

// recordOutcome records how an engine performed: how long its first event took, 0 if there was none, and
// whether it failed, unless this host ended the attempt for a reason other than a silent engine.
func (s *stream) recordOutcome(ctx context.Context, a *attempt, first time.Duration, failed bool) {
	c := s.job.core
	s.mu.Lock()
	failed = failed && (ctx.Err() == nil || a.superseded && a.finding != "" || errors.Is(context.Cause(ctx), errStreamSilent))
	s.mu.Unlock()
	ratio := 0.0
	if first > 0 && a.expected > 0 {
		ratio = first.Seconds() / a.expected.Seconds()
	}
	c.servers.finishRequest(a.engine.Instance, ratio, failed)
	if first == 0 && a.reportedOverdue.Load() {
		// Its owner has been notified, and may have received a more favorable report
		// since.
		s.withdrawPlacement(a.engine.Instance, a.promptID)
		return
	}
	report := placing.Report{Instance: a.engine.Instance, FirstEventTime: first, Expected: a.expected, Failed: failed}
	if s.job.catalog.LoadAware {
		report.ID, report.EventGap = a.promptID, a.gaps.pace()
	}
	c.options.Engines.QueueReport(s.job.service.Name, report)
}
