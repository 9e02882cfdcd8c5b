// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/verdict"
)

// finding is what is known of an engine that is silent for a stream.
type finding string

const (
	// findingGone means that the engine accepts no connections.
	findingGone finding = "gone"
	// findingSilent means that it accepts connections and sends nothing on any.
	findingSilent finding = "silent"
	// findingConnection means that it sends on other connections, or answers on a new one, so that the
	// connection of the stream may be lost.
	findingConnection finding = "connection"
	// findingBusy means that it sends on other connections, has sent nothing for this stream yet, and
	// that the connection is not likely to be lost: the prompt may be waiting at the engine.
	findingBusy finding = "busy"
)

// maxHedges limits how often a stream is sent to a further engine because one is silent. Engines may reject
// it.
const maxHedges = 4

// patienceFactor times the timeout is how long an engine may be silent if it is not known that another one would
// do better.
const patienceFactor = 2

var (
	errNoHedge     = errors.New("relay: no other server for a silent stream")
	errHedgeUnsent = verdict.New(verdict.NotRun, verdict.ReasonNoServer, "%w", errNoHedge)
)

// checkSilence looks at the engine of an attempt whose next event is overdue, and sends the stream to a
// second engine if that may bring the event sooner. The attempt goes on until one of both does.
func (s *stream) checkSilence(parent context.Context, a *attempt) {
	if _, _, waiting := a.watch.silence(); !waiting || parent.Err() != nil {
		return
	}
	f := s.look(a)
	waited, timeout, waiting := a.watch.silence()
	if !waiting {
		return
	}
	s.mu.Lock()
	a.finding = f
	s.mu.Unlock()
	if waited >= timeout && f != findingConnection && a.watch.activity.lastReceived().IsZero() {
		s.reportSilent(a, waited)
	}
	if !s.othersMayDoBetter(f, a) {
		timeout *= patienceFactor
	}
	switch {
	case waited < timeout:
	case f == findingGone && s.giveUp(a):
		return
	case s.hedge(parent, a, waited):
	case f == findingGone && !s.job.core.servers.isListed(a.engine.Instance):
		// Nothing can come from the engine any more, and the caller may do better elsewhere. One that
		// is leaving may accept no connections and still end its streams.
		a.cancel(errStreamSilent)
		return
	}
	a.watch.again()
}

// look finds out what is known of the engine of an attempt.
func (s *stream) look(a *attempt) finding {
	now, server := time.Now(), a.watch.activity.server
	switch {
	case !server.sends(now, minSilence):
		return server.ask(func() finding { return s.job.core.askServer(a.engine) })
	case a.watch.activity.lastReceived().IsZero() && (!a.reused.Load() || a.watch.activity.earlierReceive(now, minSilence)):
		return findingBusy
	default:
		return findingConnection
	}
}

// askServer finds out whether a server answers on a new connection.
func (c *Core) askServer(s Server) finding {
	ctx, cancel := context.WithTimeout(c.options.Context, lookTime)
	defer cancel()
	if c.mayAskStatus(s) {
		switch err := c.askStatus(ctx, s); {
		case err == nil:
			return findingConnection
		case verdict.Of(err) != verdict.NotRun && ctx.Err() != nil:
			return findingSilent
		default:
			return findingGone
		}
	}
	if c.connectTo(ctx, s) == connectAccepted {
		return findingSilent
	}
	return findingGone
}

// mayAskStatus reports whether a server may be asked for its status.
func (c *Core) mayAskStatus(s Server) bool {
	_, restricted := c.options.Limits.Restriction(s.Instance)
	return c.options.Dialect.StatusTarget() != "" && !restricted && c.servers.pause(s.Instance) == 0
}

// askStatus asks a server for its status on a new connection.
func (c *Core) askStatus(ctx context.Context, s Server) error {
	answer, err := c.options.Servers.Do(ctx, exchange.Call{
		Address: s.Address, Method: http.MethodGet, Target: c.options.Dialect.StatusTarget(), Host: s.Address.String(), NewConnection: true,
	})
	if err != nil {
		return fmt.Errorf("relay: ask %s for its status: %w", s.Instance, err)
	}
	_ = answer.Body.Close()
	return nil
}

// othersMayDoBetter reports whether another engine is likely to send the next event before the engine of an
// attempt: that one is gone, its connection seems lost, or it is silent and others are not.
func (s *stream) othersMayDoBetter(f finding, a *attempt) bool {
	switch f {
	case findingGone, findingConnection:
		return true
	case findingSilent:
		return s.job.core.servers.sendingServers(s.job.service.Name, a.engine.Instance, minSilence) > 0
	default:
		return false
	}
}

// hedge sends the stream of a silent attempt to a second engine, and returns when that has ended. It reports
// false if the stream can't be sent to one.
func (s *stream) hedge(parent context.Context, a *attempt, waited time.Duration) bool {
	j := s.job
	if !s.mayHedge(a) {
		return false
	}
	if !j.core.retries.tryTake(j.service.Name) {
		j.core.scope.Counter("hedges_without_retry").Inc(1)
		return false
	}
	ctx, b := s.beginHedge(parent, a)
	if b == nil {
		j.core.retries.giveBack(j.service.Name)
		return true
	}
	err := s.serveHedge(parent, ctx, a, b, waited)
	if errors.Is(err, errNoHedge) {
		j.core.retries.giveBack(j.service.Name)
	}
	s.finish(b, err)
	return !errors.Is(err, errNoHedge)
}

// mayHedge reports whether the stream of an attempt may be sent to a second engine.
func (s *stream) mayHedge(a *attempt) bool {
	j := s.job
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAlone(a) && !s.fixed && s.hedges < maxHedges && s.splitter.canResume() && j.mayRunOnceMore() && !j.suspected() && j.checkBeforeSend() == nil
}

// isAlone reports whether an attempt is in progress and no other is. The mutex must be held.
func (s *stream) isAlone(a *attempt) bool {
	return len(s.attempts) == 1 && s.attempts[0] == a
}

// beginHedge adds the second attempt, unless the first one has ended or sends again.
func (s *stream) beginHedge(parent context.Context, a *attempt) (context.Context, *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, _, waiting := a.watch.silence(); !waiting || !s.isAlone(a) {
		return nil, nil
	}
	if a.answered {
		s.job.recordSilence()
	}
	s.hedges++
	a.hedged, a.heldAt = true, time.Time{}
	return s.addAttempt(parent)
}

// serveHedge chooses the second engine for a stream and sends it there.
func (s *stream) serveHedge(parent, ctx context.Context, a, b *attempt, waited time.Duration) error {
	j := s.job
	g := a.inputs
	s.mu.Lock()
	started, f := s.started, a.finding
	s.mu.Unlock()
	if started {
		g = newStageGraph(j, s.homeZone())
		defer g.release()
		if err := s.job.runStages(ctx, g, false); err != nil {
			return errHedgeUnsent
		}
	}
	s.silent = nil
	if s.othersMayDoBetter(f, a) {
		s.silent = j.core.servers.silentServers(j.service.Name, minSilence)
	}
	zone, bytes := s.inputsZone(g)
	engine, ok := s.chooseEngine(ctx, zone, bytes)
	if !ok {
		return errHedgeUnsent
	}
	s.begin(b, engine, s.prompt)
	s.mu.Lock()
	b.inputs, b.send.inputs = g, g.inputHandles()
	superseded := b.superseded
	s.mu.Unlock()
	if superseded {
		s.withdraw(engine)
		return errHedgeUnsent
	}
	j.triedInstances = append(j.triedInstances, engine.Instance)
	j.core.scope.Tagged(map[string]string{"finding": string(f)}).Counter("streams_hedged").Inc(1)
	j.log.WithFields(logrus.Fields{
		"server": a.engine.Instance, "finding": string(f), "silent_ms": waited.Milliseconds(), "second": engine.Instance,
		"others_sending": j.core.servers.sendingServers(j.service.Name, a.engine.Instance, minSilence),
	}).Info("silent stream sent to a second backend server")
	return s.run(parent, ctx, b)
}

// giveUp ends an attempt whose engine is gone if the stream must not be sent to a second engine meanwhile,
// or can't be by this host, and may go on afterwards. It reports whether it did.
func (s *stream) giveUp(a *attempt) bool {
	j := s.job
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isAlone(a) || s.fixed || !j.suspected() && j.checkIsolated() == nil {
		return false
	}
	if !s.splitter.canResume() || !j.mayRunOnceMore() || !j.core.retries.tryTake(j.service.Name) {
		return false
	}
	s.retryTaken = true
	if a.answered {
		j.recordSilence()
	}
	a.cancel(errStreamSilent)
	return true
}

// withdraw records that an engine that was chosen gets no send.
func (s *stream) withdraw(engine Server) {
	j := s.job
	j.core.servers.cancelRequest(engine.Instance)
	j.core.options.Limits.Released(engine.Instance)
	s.withdrawPlacement(engine.Instance, s.prompt.ID)
}
