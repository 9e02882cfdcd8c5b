// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// remakesMost is how often the stages of one request are run anew because
	// their results were gone.
	remakesMost = 2
	copyBuffer  = 4 << 10
	// homeTokens is how many shared tokens tie a prompt to its home engine:
	// to read so many again is weighed like one large result from another zone.
	homeTokens = 2000
)

var (
	errBroken = errors.New("relay: the stream broke off")
	errSilent = errors.New("relay: the stream fell silent")
)

// generate serves a stream: stages first, then an engine.
func (j *job) generate(ctx context.Context, sink Sink) error {
	var g *graph
	defer func() {
		if g != nil {
			g.release()
		}
	}()
	if err := j.awaitSettled(ctx); err != nil {
		return err
	}
	if err := j.mayBegin(); err != nil {
		return err
	}
	s := &stream{job: j, sink: sink, prompt: j.prompt()}
	defer func() { j.events = s.split.events }()
	for remakes := 0; ; {
		if g == nil {
			g = newGraph(j, s.homeZone())
			if err := j.prepare(ctx, g, remakes == 0 && j.sentTimes() == 0); errors.Is(err, errGone) && remakes < remakesMost {
				remakes++
				g.release()
				g = nil
				continue
			} else if err != nil {
				return s.fail(err)
			}
		}
		if err := j.maySend(); err != nil {
			return s.fail(err)
		}
		if err := j.awaitTry(ctx); err != nil {
			return s.fail(err)
		}
		if err := j.awaitRest(ctx, expectedRead(j.Request)); err != nil {
			return s.fail(err)
		}
		engine, ok := s.place(ctx, g)
		if !ok {
			return s.fail(j.refuse(verdict.ReasonNoServer, fullAfter, "no server of %s", j.service.Name))
		}
		err := s.from(ctx, engine, g)
		j.endTry()
		if err == nil {
			return nil
		}
		if interrupted := j.interrupted(ctx); interrupted != nil {
			return s.fail(interrupted)
		}
		if errors.Is(err, errGone) && remakes < remakesMost {
			remakes++
			g.release()
			g = nil
			continue
		}
		j.tried = append(j.tried, engine.Instance)
		if err := s.mayGoOn(err); err != nil {
			return s.fail(err)
		}
		if s.started {
			g.release()
			g = nil
		}
	}
}

// mayBegin refuses a request at once of which a stage or the last part has no server: what
// is made of it until then would be made in vain.
func (j *job) mayBegin() error {
	services := []string{j.service.Name}
	for i, stage := range j.route.Stages {
		if j.pieces(i) > 0 {
			services = append(services, stage.Service)
		}
	}
	if err := j.mayWait(j.core.servers.restLeft(j.service.Name, j.homes, nil), expectedRead(j.Request)); err != nil {
		return err
	}
	for _, service := range services {
		if !j.core.servers.takesAny(service, j.homes) {
			return j.refuse(verdict.ReasonNoServer, j.returnAfter(), "no server of %s", service)
		}
	}
	return nil
}

// awaitSettled waits until the host knows the owners of the pools. Hosts that all
// started together and took each other for absent sent what they got to servers of
// their own choice, which others filled as well.
func (j *job) awaitSettled(ctx context.Context) error {
	settled := j.core.options.Settled
	if settled == nil {
		return nil
	}
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return j.interrupted(ctx)
	}
}

// homeZone is the zone in which the last results of the stages are best made;
// empty is any, for a prompt that shares too little to be tied to an engine.
func (s *stream) homeZone() string {
	if s.prompt.SharedTokens < homeTokens {
		return ""
	}
	return s.job.core.servers.homeZone(s.job.service.Name, s.prompt, s.job.homes)
}

// errGone says that an engine found an input gone; the request did not run.
var errGone = verdict.New(verdict.NotRun, verdict.ReasonRefused, "relay: an input is gone")

// prepare makes the inputs of the request; first says that nothing was made
// before.
func (j *job) prepare(ctx context.Context, g *graph, first bool) error {
	if !g.needed() {
		return nil
	}
	if need := g.least(len(j.route.Stages)) + expectedRead(j.Request); j.ran() == 0 && time.Until(j.firstBy) < need {
		return j.refuse(verdict.ReasonDeadline, g.waits(), "%v left to begin, %v needed", time.Until(j.firstBy).Round(time.Millisecond), need)
	}
	if first {
		if err := g.shed(); err != nil {
			return err
		}
	}
	began := time.Now()
	var rest time.Duration
	if j.ran() == 0 {
		_, rest = j.longest()
	}
	ctx, free := j.bound(ctx, rest)
	defer free()
	err := g.run(ctx)
	j.stagesFor += time.Since(began)
	return err
}

// stream is the answer to one request, made by one engine after another.
type stream struct {
	job  *job
	sink Sink
	// started says that the caller has the head.
	started bool
	split   splitter
	prompt  placing.Prompt
	// expected is how long the first event should take at the engine chosen
	// last.
	expected time.Duration
	// source is where that engine copies shared parts of the prompt from.
	source netip.AddrPort
	// passed has the engines that were named for the prompt and took no work.
	passed []string
	// overdue says that the engine was told of as silent for this prompt.
	overdue atomic.Bool
}

// ended notes how an engine did: how long its first event took, 0 for none.
func (s *stream) ended(engine Server, first time.Duration, failed bool) {
	c := s.job.core
	ratio := 0.0
	if first > 0 && s.expected > 0 {
		ratio = first.Seconds() / s.expected.Seconds()
	}
	c.servers.ended(engine.Instance, ratio, failed)
	if first == 0 && s.overdue.Load() {
		// Its owner knows, and may have heard better since.
		return
	}
	c.options.Engines.Ended(s.job.service.Name, placing.Report{
		Instance: engine.Instance, First: first, Expected: s.expected, Failed: failed,
	})
}

// fail returns err as the caller is to see it.
func (s *stream) fail(err error) error {
	if s.started && !errors.Is(err, ErrLeft) {
		s.job.log.WithError(err).WithField("events", s.split.events).Info("stream cut")
		return ErrCut
	}
	return err
}

// mayGoOn decides whether another engine may serve after err; it returns the
// final answer where none may.
func (s *stream) mayGoOn(err error) error {
	j := s.job
	if errors.Is(err, ErrCut) || errors.Is(err, ErrLeft) {
		return err
	}
	if verdict.Of(err) == verdict.NotRun && !s.started {
		return j.mayRetry(err)
	}
	if !j.route.Resumable || j.ran() >= j.route.MaxAttempts {
		return verdict.New(verdict.Unknown, verdict.ReasonServerFailed, "relay: %w", err)
	}
	if !j.core.retries.take(j.service.Name) {
		return verdict.New(verdict.Unknown, verdict.ReasonServerFailed, "relay: no retry left: %w", err)
	}
	return nil
}

// from passes on what one engine makes.
func (s *stream) from(ctx context.Context, engine Server, g *graph) error {
	j := s.job
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	w := s.watch(cancel)
	defer w.stop()
	w.overdue = s.tellOverdue(engine)
	answer, head, err := j.send(ctx, engine, g.inputs(), s.split.last, s.source)
	if err != nil {
		s.ended(engine, 0, !head.NotRun && !left(ctx))
		if head.Gone {
			return errGone
		}
		switch {
		case verdict.Of(err) != verdict.Unknown:
		case ctx.Err() == nil:
			j.broke(engine, false)
		default:
			j.gaveUp(engine)
		}
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		s.ended(engine, 0, answer.Status >= http.StatusInternalServerError)
		return s.passFailure(answer)
	}
	first, err := s.copy(answer, g, w)
	took := time.Duration(0)
	if !first.IsZero() {
		took = first.Sub(began)
		j.noteEngine(took)
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		j.unheard()
	}
	if errors.Is(err, errBroken) && ctx.Err() == nil {
		j.broke(engine, !first.IsZero())
	}
	s.ended(engine, took, err != nil && !errors.Is(err, ErrCut) && !left(ctx))
	return err
}

// left reports whether ctx has ended for a reason that is not the server's.
func left(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
}

// passFailure passes on an engine's failure, or lets another engine try.
func (s *stream) passFailure(answer *exchange.Answer) error {
	j := s.job
	failed := verdict.New(verdict.Ran, verdict.ReasonServerFailed, "relay: %s failed with status %d", s.job.server.Instance, answer.Status)
	if s.started || promises(answer.Status) || j.route.Resumable && j.ran() < j.route.MaxAttempts {
		return failed
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeMost))
	if err != nil || len(body) == wholeMost {
		return failed
	}
	s.started = true
	s.sink.Start(answer.Status, answer.Header)
	if s.sink.Write(body) != nil {
		return ErrCut
	}
	return nil
}

// copy passes on whole events as they come, and returns when the first came. At
// the first, the engine has read its inputs.
func (s *stream) copy(answer *exchange.Answer, g *graph, w *watchdog) (time.Time, error) {
	var first time.Time
	buffer := make([]byte, copyBuffer)
	s.split.rest = nil
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			w.heard()
			if whole := s.split.add(buffer[:n]); len(whole) > 0 {
				if first.IsZero() {
					first = time.Now()
					s.begin(answer, g)
				}
				if s.sink.Write(whole) != nil {
					return first, ErrCut
				}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return first, s.end(answer, g)
		default:
			return first, verdict.New(verdict.Unknown, verdict.ReasonConnection, "%w: %w", errBroken, err)
		}
	}
}

// begin passes the head on with the first event, and gives up the inputs: room
// for them is scarce, and the few streams that break have them made again.
func (s *stream) begin(answer *exchange.Answer, g *graph) {
	g.release()
	if s.started {
		return
	}
	s.started = true
	s.job.endTry()
	s.job.firstFor = time.Since(s.job.Arrived)
	s.sink.Start(answer.Status, answer.Header)
}

// end passes on what follows the last event.
func (s *stream) end(answer *exchange.Answer, g *graph) error {
	s.begin(answer, g)
	if len(s.split.rest) == 0 {
		return nil
	}
	if s.sink.Write(s.split.rest) != nil {
		return ErrCut
	}
	return nil
}
