// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the time constant of the average rate of arriving pieces.
	arrivalWindow = time.Second
	// forecastRounds is how often a forecast is extended by the work that arrives meanwhile.
	// Each round adds less if less arrives than is done.
	forecastRounds = 3
	// maxArrivalShare is the share of the pool's throughput that may arrive for the queue
	// still to shrink.
	maxArrivalShare = 0.95
	// maxWait stands for a wait without end.
	maxWait = time.Hour
)

// arrivalRate is the rate of arriving work that is due within one of dueSteps.
type arrivalRate struct {
	// piecesPerSecond is the arrival rate as of updatedAt.
	piecesPerSecond float64
	updatedAt       time.Time
	// lead is how long before its rank time work arrives, on average.
	lead time.Duration
}

// currentRate returns the recent arrival rate in pieces a second.
func (f *arrivalRate) currentRate(now time.Time) float64 {
	return f.piecesPerSecond * math.Exp(-now.Sub(f.updatedAt).Seconds()/arrivalWindow.Seconds())
}

// recordArrival records a new task that can be in time.
func (s *Scheduler) recordArrival(now time.Time, t *Task) {
	if s.late(now, t) {
		return
	}
	lead := t.rankTime().Sub(now)
	f := &s.arrivalRates[stepIndex(lead)]
	if f.updatedAt.IsZero() {
		f.updatedAt, f.lead = now, lead
	}
	f.piecesPerSecond = f.currentRate(now) + float64(len(t.pending))/arrivalWindow.Seconds()
	f.updatedAt = now
	f.lead += (lead - f.lead) / averageWeight
}

// expectedWait returns how long a task waits that has the given number of pieces ahead: until
// these are done, and those that will arrive and precede it. Late tasks wait for all work that
// arrives in time.
func (s *Scheduler) expectedWait(now time.Time, t *Task, nextFreeIn time.Duration, rate float64, ahead int) time.Duration {
	if t.deferred {
		return s.expectedLateWait(now, t, nextFreeIn, rate, ahead)
	}
	due := t.rankTime().Sub(now)
	wait := nextFreeIn + seconds(float64(ahead)/rate)
	for range forecastRounds {
		wait = nextFreeIn + seconds((float64(ahead)+s.arrivalsAhead(now, wait, due))/rate)
	}
	return wait
}

// expectedLateWait returns how long a task waits that runs after all that are in time. The
// wait has no end if arriving work takes all of the pool. Rejecting a task that was late on
// arrival costs more, since its caller has come back or earlier stages are done. For these the
// backlog is assumed to last as long again as it already has.
func (s *Scheduler) expectedLateWait(now time.Time, t *Task, nextFreeIn time.Duration, rate float64, ahead int) time.Duration {
	if ahead == 0 {
		return nextFreeIn
	}
	wait := maxWait
	if free := maxArrivalShare*rate - s.arrivalsAhead(now, time.Second, maxWait); free > 0 {
		wait = seconds(float64(ahead) / free)
	}
	if t.Latest.Before(t.arrivedAt) && !s.backlogSince.IsZero() {
		wait = min(wait, now.Sub(s.backlogSince)+seconds(float64(ahead)/rate))
	}
	return nextFreeIn + wait
}

// arrivalsAhead returns how many pieces arrive within a time that are due sooner than due. It
// returns 0 unless the pool has had a backlog for long: many tasks that arrive together are
// not yet a rate.
func (s *Scheduler) arrivalsAhead(now time.Time, within, due time.Duration) float64 {
	if !s.backlogEstablished(now) {
		return 0
	}
	var pieces float64
	for i := range s.arrivalRates {
		f := &s.arrivalRates[i]
		pieces += f.currentRate(now) * min(within, max(due-f.lead, 0)).Seconds()
	}
	return pieces
}

// arrivalsWithin returns how many pieces that can be in time arrive within a time.
func (s *Scheduler) arrivalsWithin(now time.Time, within time.Duration) float64 {
	var pieces float64
	for i := range s.arrivalRates {
		pieces += s.arrivalRates[i].currentRate(now) * within.Seconds()
	}
	return pieces
}

// seconds converts a number of seconds to a duration of at most maxWait.
func seconds(count float64) time.Duration {
	return time.Duration(min(count, maxWait.Seconds()) * float64(time.Second))
}
