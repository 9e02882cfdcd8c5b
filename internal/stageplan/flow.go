// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"math"
	"time"
)

const (
	// flowSpan is over how long the pieces that come are averaged.
	flowSpan = time.Second
	// reachRounds is how often a forecast is taken further by what comes
	// meanwhile; each round adds less where less comes than is made.
	reachRounds = 3
	// flowShare of the rate is what may come for the waiting work to shrink.
	flowShare = 0.95
	// never is a wait that nothing outlives.
	never = time.Hour
)

// flow is what comes that is due within one of dueSteps.
type flow struct {
	// pace is how many pieces come a second, as of at.
	pace float64
	at   time.Time
	// lead is how long before its rank work comes.
	lead time.Duration
}

// paced is how many pieces a second come lately.
func (f *flow) paced(now time.Time) float64 {
	return f.pace * math.Exp(-now.Sub(f.at).Seconds()/flowSpan.Seconds())
}

// came notes a task that is new and can be in time.
func (s *Scheduler) came(now time.Time, t *Task) {
	if s.late(now, t) {
		return
	}
	lead := t.rank().Sub(now)
	f := &s.flows[stepOf(lead)]
	if f.at.IsZero() {
		f.at, f.lead = now, lead
	}
	f.pace = f.paced(now) + float64(len(t.pending))/flowSpan.Seconds()
	f.at = now
	f.lead += (lead - f.lead) / latelyWeight
}

// reach is how long a task waits that has so many pieces ahead: until they are
// made, and those that will come and go before it. What is late waits for all
// that comes in time.
func (s *Scheduler) reach(now time.Time, t *Task, turn time.Duration, rate float64, ahead int) time.Duration {
	if t.last {
		return s.reachLate(now, t, turn, rate, ahead)
	}
	due := t.rank().Sub(now)
	wait := turn + seconds(float64(ahead)/rate)
	for range reachRounds {
		wait = turn + seconds((float64(ahead)+s.flowWithin(now, wait, due))/rate)
	}
	return wait
}

// reachLate is how long a task waits that goes after all that is in time: for
// ever where what comes takes all of the pool. For one that was late when it came,
// of a caller that came back or with work done, a refusal costs more: the crowd is
// taken to last as long again as it has.
func (s *Scheduler) reachLate(now time.Time, t *Task, turn time.Duration, rate float64, ahead int) time.Duration {
	if ahead == 0 {
		return turn
	}
	wait := never
	if free := flowShare*rate - s.flowWithin(now, time.Second, never); free > 0 {
		wait = seconds(float64(ahead) / free)
	}
	if t.Latest.Before(t.arrived) && !s.crowdedSince.IsZero() {
		wait = min(wait, now.Sub(s.crowdedSince)+seconds(float64(ahead)/rate))
	}
	return turn + wait
}

// flowWithin is how many pieces come within a time that are due sooner than due;
// none where the pool has not been crowded for long: many that come together are
// no flow yet.
func (s *Scheduler) flowWithin(now time.Time, within, due time.Duration) float64 {
	if !s.crowdedLong(now) {
		return 0
	}
	var pieces float64
	for i := range s.flows {
		f := &s.flows[i]
		pieces += f.paced(now) * min(within, max(due-f.lead, 0)).Seconds()
	}
	return pieces
}

// comesWithin is how many pieces come within a time that can be made in time.
func (s *Scheduler) comesWithin(now time.Time, within time.Duration) float64 {
	var pieces float64
	for i := range s.flows {
		pieces += s.flows[i].paced(now) * within.Seconds()
	}
	return pieces
}

// seconds returns a time of so many seconds, at most never.
func seconds(count float64) time.Duration {
	return time.Duration(min(count, never.Seconds()) * float64(time.Second))
}
