// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// remakesMost is how often the stages of one request are run anew because
	// their results were gone.
	remakesMost = 2
	// silentGaps times the longest pause that is in time is how long a stream
	// that another server may go on with is waited for.
	silentGaps = 5
	// firstFactor times the expected time to the first event, and firstLeast,
	// are how long the first event is waited for where another may serve.
	firstFactor = 5
	firstLeast  = 900 * time.Millisecond
	// firstOverhead is what an idle engine adds before its first event, as
	// measured on the first site.
	firstOverhead = 20 * time.Millisecond
	// silentLeast is the least silence that means something.
	silentLeast = 500 * time.Millisecond
	copyBuffer  = 4 << 10
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
	s := &stream{job: j, sink: sink}
	for remakes := 0; ; {
		engine, ok := j.core.servers.chooseEngine(j.service.Name, j.Request, j.core.options.Hosts(), j.tried)
		if !ok {
			return s.fail(j.refuse(verdict.ReasonNoServer, fullAfter, "no server of %s", j.service.Name))
		}
		if g == nil {
			g = newGraph(j, engine.Zone)
			err := j.prepare(ctx, g)
			if err != nil {
				j.core.servers.ended(engine.Instance, 0, false)
			}
			if errors.Is(err, errGone) && remakes < remakesMost {
				remakes++
				g.release()
				g = nil
				continue
			}
			if err != nil {
				return s.fail(err)
			}
			if j.core.servers.leaving(engine.Instance) {
				j.core.servers.ended(engine.Instance, 0, false)
				continue
			}
		}
		err := s.from(ctx, engine, g)
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
	}
}

// errGone says that an engine found an input gone; the request did not run.
var errGone = verdict.New(verdict.NotRun, verdict.ReasonRefused, "relay: an input is gone")

// prepare makes the inputs of the request.
func (j *job) prepare(ctx context.Context, g *graph) error {
	if !g.needed() {
		return nil
	}
	need := g.estimate(len(j.route.Stages)) / 2
	if j.left() < need {
		return j.refuse(verdict.ReasonDeadline, fullAfter, "%v left, the stages need %v", j.left(), need)
	}
	began := time.Now()
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
	answer, head, err := j.send(ctx, engine, g.inputs(), s.split.last)
	if err != nil {
		j.core.servers.ended(engine.Instance, 0, !head.NotRun && !left(ctx))
		if head.Gone {
			return errGone
		}
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		j.core.servers.ended(engine.Instance, 0, answer.Status >= http.StatusInternalServerError)
		return s.passFailure(answer)
	}
	first, err := s.copy(answer, g, w)
	ratio := 0.0
	if !first.IsZero() {
		ratio = first.Sub(began).Seconds() / (expectedRead(j.Request) + firstOverhead).Seconds()
	}
	failed := err != nil && !errors.Is(err, ErrCut) && !left(ctx)
	j.core.servers.ended(engine.Instance, ratio, failed)
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

// begin passes the head on with the first event, and gives up the inputs unless
// another engine may yet need them.
func (s *stream) begin(answer *exchange.Answer, g *graph) {
	if !s.job.route.Resumable {
		g.release()
	}
	if s.started {
		return
	}
	s.started = true
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

// watchdog cancels a send whose server has fallen silent.
type watchdog struct {
	timer *time.Timer
	pause time.Duration
}

// watch returns a watchdog for a stream that another engine may go on with; for
// others it never strikes.
func (s *stream) watch(cancel context.CancelCauseFunc) *watchdog {
	j := s.job
	if !j.route.Resumable || j.ran()+1 >= j.route.MaxAttempts {
		return &watchdog{}
	}
	first := max(firstLeast, firstFactor*expectedRead(j.Request))
	return &watchdog{
		timer: time.AfterFunc(first, func() { cancel(errSilent) }),
		pause: max(silentGaps*j.route.MaxGap, silentLeast),
	}
}

func (w *watchdog) heard() {
	if w.timer != nil {
		w.timer.Reset(w.pause)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
