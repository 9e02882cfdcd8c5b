// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/wingvale/wingvale/verdict"
)

// errDrained is the cancellation cause of requests that are cut short by the end of the
// host.
var errDrained = errors.New("relay: host is shutting down")

// drainRetryAfter is the Retry-After of a caller that a draining host refuses: another
// host can serve it at once.
const drainRetryAfter = 10 * time.Millisecond

// unknownRouteFactor times the objective is the assumed maximum duration of a plain answer
// on a route without recorded durations. The value is small; a request that is not done
// when the host ends still gets an error answer.
const unknownRouteFactor = 2.0

// Drain is how a host drains.
type Drain struct {
	// End is when the host ends. Requests that are not done then are answered.
	End time.Time
	// CertainFrom is the time of arrival from which a request is taken only if its own time limit is before End.
	// How long others took says nothing certain, and one that is cut off may have run.
	CertainFrom time.Time
	// OthersServe reports whether there are hosts that don't drain. If there are none, nothing is gained by
	// refusing a request that probably ends in time.
	OthersServe func() bool
}

// drainState holds how a draining host ends.
type drainState struct {
	// started is done once the host drains.
	started context.Context
	start   context.CancelFunc
	// Drain is set before started is done.
	Drain
}

func newDrainState() *drainState {
	d := &drainState{}
	d.started, d.start = context.WithCancel(context.Background())
	return d
}

// StartDrain starts to drain the core: it refuses requests that may not be done by the end, and
// then answers those that are not. It must be called at most once.
func (c *Core) StartDrain(d Drain) {
	c.drain.Drain = d
	c.drain.start()
}

// remaining returns how long a draining host continues to run; it reports false if the
// host does not drain.
func (d *drainState) remaining() (time.Duration, bool) {
	if d.started.Err() == nil {
		return 0, false
	}
	return time.Until(d.End), true
}

// withDrainDeadline returns a context derived from ctx that is cancelled with errDrained
// when a draining host has no more than rest left to run, unless the request's own
// deadline is before the host's end. The returned function releases its resources.
func (j *job) withDrainDeadline(ctx context.Context, rest time.Duration) (context.Context, func()) {
	d := j.core.drain
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.started, func() {
		if !j.deadline.After(d.End) {
			return
		}
		timer := time.AfterFunc(time.Until(d.End)-rest, func() { cancel(errDrained) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// checkDrainOnArrival refuses a request that a draining host may not be able to finish. It
// has not run yet, so another host can serve it; here it would be cut off.
func (j *job) checkDrainOnArrival() error {
	need, _ := j.maxDurations()
	return j.checkDrain(need - time.Since(j.Arrived))
}

// checkDrainBeforeSend is checkDrainOnArrival for a request that is about to be sent.
func (j *job) checkDrainBeforeSend() error {
	_, need := j.maxDurations()
	return j.checkDrain(need)
}

func (j *job) checkDrain(need time.Duration) error {
	d := j.core.drain
	left, leaving := d.remaining()
	if !leaving || j.possibleRuns() > 0 || j.remaining() <= left {
		return nil
	}
	if need <= left && (j.Arrived.Before(d.CertainFrom) || !d.OthersServe()) {
		return nil
	}
	j.core.scope.Counter("left_to_others").Inc(1)
	return j.drainRefusal()
}

// maxDurations returns the maximum time that the request may take from its arrival and
// from its send. If no duration is recorded for its route, that is all of its time, or for
// a plain answer without stages, which is small, a multiple of the objective.
func (j *job) maxDurations() (arrived, sent time.Duration) {
	arrived, sent, ok := j.core.durations.upperBounds(j.route.Name, j.maxEvents())
	if ok {
		return arrived, sent
	}
	held := j.deadline.Sub(j.Arrived)
	if !j.route.Stream && !j.hasPieces() {
		held = min(held, time.Duration(unknownRouteFactor*float64(j.route.Objective)))
	}
	return held, held
}

// drainRefusal returns the error for a request that this host cannot finish.
func (j *job) drainRefusal() error {
	v := verdict.NotRun
	if j.possibleRuns() > 0 {
		v = verdict.Unknown
	}
	return verdict.New(v, verdict.ReasonLeaving, "relay: this host leaves; another may serve it").WithRetryAfter(drainRetryAfter)
}

// recordDurations records how long an answered request took.
func (j *job) recordDurations() {
	now := time.Now()
	first := j.Arrived.Add(j.firstByteDuration)
	j.core.durations.add(j.route.Name, requestDurations{toFirstByte: j.firstByteDuration, sendToFirstByte: max(first.Sub(j.lastSendTime()), 0), afterFirstByte: now.Sub(first), events: j.events})
}
