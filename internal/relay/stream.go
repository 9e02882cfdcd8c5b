// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/verdict"
)

const (
	copyBuffer = 4 << 10
	// minHomeTokens is the number of shared tokens from which a prompt is tied to its home
	// engine: reading that many again costs about as much as one large result from another
	// zone.
	minHomeTokens = 2000
)

var (
	errStreamBroken = errors.New("relay: stream ended before it was complete")
	errStreamSilent = errors.New("relay: stream timed out without data")
	errInsideEvent  = errors.New("it ended inside an event")
	errNoEvent      = errors.New("its connection ended before the first event")
	errNotEvents    = errors.New("another server's answer is not a series of events")
)

// serveStream serves a stream: it runs the stages first, then an engine.
func (j *job) serveStream(ctx context.Context, sink Sink) error {
	p := preparation{job: j}
	defer p.release()
	if err := j.awaitOwners(ctx); err != nil {
		return err
	}
	s := newStream(j, sink)
	p.zone = s.homeZone
	if err := s.bindVersion(ctx); err != nil {
		return err
	}
	if err := j.checkServers(); err != nil {
		return err
	}
	s.splitter.resumeAfter(j.LastEvent)
	defer s.recordEvents()
	for {
		g, err := p.prepare(ctx)
		if err != nil {
			return s.callerError(err)
		}
		if err := j.checkBeforeSend(); err != nil {
			return s.callerError(err)
		}
		if err := j.awaitTrial(ctx); err != nil {
			return s.callerError(err)
		}
		if err := j.awaitRest(ctx, idleFirstEventTime(j.Request)); err != nil {
			return s.callerError(err)
		}
		zone, bytes := s.inputsZone(g)
		engine, ok := s.chooseEngine(ctx, zone, bytes)
		if !ok && ctx.Err() == nil && j.core.servers.shortestPause(j.service.Name, j.regions, j.triedInstances) > 0 {
			j.endTrial()
			continue
		}
		if !ok {
			return s.callerError(j.refuse(verdict.ReasonNoServer, fullRetryAfter, "no server of %s", j.service.Name))
		}
		j.triedInstances = append(j.triedInstances, engine.Instance)
		err = s.streamFrom(ctx, engine, g)
		j.endTrial()
		if err == nil {
			return nil
		}
		if ctxErr := j.contextError(ctx); ctxErr != nil {
			return s.callerError(ctxErr)
		}
		if p.mayRepeat(err) {
			continue
		}
		if err := s.checkResume(err); err != nil {
			return s.callerError(err)
		}
		if s.started {
			if err := s.goOnAfter(s.failedEngine); err != nil {
				return s.callerError(err)
			}
			p.release()
		}
	}
}

func newStream(j *job, sink Sink) *stream {
	s := &stream{job: j, sink: sink, prompt: j.placingPrompt()}
	s.ended = sync.NewCond(&s.mu)
	return s
}

// inputsZone returns the zone with most of the large results that an engine would read, and their size.
func (s *stream) inputsZone(g *stageGraph) (zone string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.largeInputsZone()
}

// recordEvents records which events were forwarded.
func (s *stream) recordEvents() {
	j := s.job
	j.events, j.lastEvent, j.longestGap = s.splitter.events, s.splitter.lastID, s.gaps.longest
	if s.splitter.brokenOff() {
		j.partialBytes = len(s.splitter.partial)
	}
}

// checkServers refuses a request at once if one of its stages or its final service has no
// server, because the work done until then would be wasted.
func (j *job) checkServers() error {
	services := []string{j.service.Name}
	for i, stage := range j.route.Stages {
		if j.pieceCount(i) > 0 {
			services = append(services, stage.Service)
		}
	}
	if err := j.checkRestWait(j.core.servers.shortestPause(j.service.Name, j.regions, nil), idleFirstEventTime(j.Request)); err != nil {
		return err
	}
	for _, service := range services {
		if !j.core.servers.anyOpen(service, j.regions) {
			return j.refuse(verdict.ReasonNoServer, j.retryAfter(), "no server of %s", service)
		}
	}
	return nil
}

// awaitOwners waits until the host knows the owners of the pools. When all hosts start
// together and do not know each other yet, each would choose servers on its own, and
// several would overload the same ones.
func (j *job) awaitOwners(ctx context.Context) error {
	settled := j.core.options.OwnersKnown
	if settled == nil {
		return nil
	}
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return j.contextError(ctx)
	}
}

// homeZone returns the zone in which the last stages should produce their results. It is
// empty, meaning any, for a prompt that shares too few tokens to be tied to an engine.
func (s *stream) homeZone() string {
	if s.prompt.SharedTokens < minHomeTokens {
		return ""
	}
	return s.job.core.servers.homeZone(s.job.service.Name, s.prompt, s.job.regions)
}

// stream is the answer to one request, produced by one or more engines. While a stream is hedged,
// only the goroutine of the second attempt chooses engines.
type stream struct {
	job    *job
	sink   Sink
	prompt placing.Prompt
	// expectedFirstEvent is the expected time to the first event at the engine chosen
	// last.
	expectedFirstEvent time.Duration
	// copyFrom is the address from which that engine copies shared parts of the prompt.
	copyFrom netip.AddrPort
	// unavailable holds the engines that were chosen for the prompt but accepted no work.
	unavailable []string
	// avoided holds the engines that the prompt is sent to only if no other takes it.
	avoided []string
	// silent holds the engines that are no better than the silent one whose stream is hedged.
	silent []string

	mu sync.Mutex
	// attempts holds the sends in progress, of which at most two are not superseded. ended is
	// signaled when one ends.
	attempts []*attempt
	ended    *sync.Cond
	// owner is the attempt that forwarded the last events; nil if none has.
	owner *attempt
	// started reports whether the caller has received the head, and fixed whether it has received that
	// of an answer that no other engine can go on with.
	started bool
	fixed   bool
	// splitter has the state of the stream after the last events that were forwarded, and gaps the
	// gaps between them.
	splitter eventSplitter
	gaps     eventGaps
	// complete reports whether the stream was forwarded whole. err is how the last attempt failed, and
	// failedEngine its engine.
	complete     bool
	err          error
	failedEngine Server
	// hedges counts the attempts that were added because an engine was silent.
	hedges int
	// retryTaken reports whether the retry for the next engine was taken from the budget.
	retryTaken bool
}

// callerError returns err in the form that the caller receives.
func (s *stream) callerError(err error) error {
	if s.started && !errors.Is(err, ErrDisconnected) && !errors.Is(err, errIsolated) {
		s.job.log.WithError(err).WithField("events", s.splitter.events).Info("stream cut off")
		return ErrCut
	}
	return err
}

// checkResume decides whether another engine may serve the request after err. It returns
// the final error if not.
func (s *stream) checkResume(err error) error {
	j := s.job
	if errors.Is(err, ErrCut) || errors.Is(err, ErrDisconnected) {
		return err
	}
	if verdict.Of(err) == verdict.NotRun && !s.started {
		return j.checkRetry(err)
	}
	if !j.route.Resumable || !s.splitter.canResume() || j.possibleRuns() >= j.route.MaxAttempts {
		return verdict.New(verdict.Unknown, verdict.ReasonServerFailed, "relay: %w", err)
	}
	if s.retryTaken {
		s.retryTaken = false
		return nil
	}
	if !j.core.retries.tryTake(j.service.Name) {
		return verdict.New(verdict.Unknown, verdict.ReasonServerFailed, "relay: no retry left: %w", err)
	}
	return nil
}

// goOnAfter prepares a stream that broke off at an engine to go on at another one.
func (s *stream) goOnAfter(engine Server) error {
	s.job.log.WithFields(logrus.Fields{"server": engine.Instance, "version": engine.Version, "events": s.splitter.events}).
		Info("stream broke off, and goes on at another backend server")
	return s.checkVersion()
}
