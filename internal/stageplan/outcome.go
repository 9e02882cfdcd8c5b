// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// ResendOverdue sends the pieces of calls that take far too long again: either the answer was lost
// or the server is much slower than before. It returns these calls and reports whether it must be
// called again for the remaining ones. Their answers are accepted if they arrive after all; until
// then their results occupy memory as if they had been lost.
func (s *Scheduler) ResendOverdue(now time.Time) (late []*Call, again bool) {
	for _, state := range s.servers {
		for _, b := range slices.Clone(state.running) {
			if b.cancelled {
				s.dropCancelled(now, b)
				again = true
				continue
			}
			if now.Sub(b.startedAt) < overdueAfter(b.expected) {
				again = true
				continue
			}
			late = append(late, b)
			s.remove(b)
			b.overdue = true
			s.overdue = append(s.overdue, b)
			state.recordOverdue(now.Sub(b.startedAt).Seconds() / s.nominalTime(len(b.items)).Seconds())
			state.unavailableUntil = now.Add(fullBackoff)
			s.reserveLost(now, b)
			s.resend(b.items)
		}
	}
	return late, again || len(s.overdue) > 0
}

// overdueAfter returns how long a call with the given expected time is awaited.
func overdueAfter(expected time.Duration) time.Duration {
	return time.Duration(overdueFactor*float64(expected)) + overdueSlack
}

// reserveLost accounts for the results of a call without an answer, which occupy memory until
// they expire.
func (s *Scheduler) reserveLost(now time.Time, b *Call) {
	b.server.used -= b.bytes
	b.server.reserve(b.lostHandle(), b.bytes, now.Add(s.spec.ResultTTL))
}

// lostHandle stands for the results of a call without an answer.
func (c *Call) lostHandle() string {
	return fmt.Sprintf("lost %d", c.number)
}

// end removes a call whose answer has arrived or is no longer awaited, with the memory that is
// reserved for it.
func (s *Scheduler) end(b *Call) {
	b.settle()
	if !b.overdue {
		s.remove(b)
		b.server.used -= b.bytes
		return
	}
	s.overdue = slices.DeleteFunc(s.overdue, func(other *Call) bool { return other == b })
	b.server.release(b.lostHandle())
}

// CancelUnwanted returns the calls to cancel because no caller has waited for their pieces for
// unwantedGrace, and reports whether it must be called again. Their slots remain occupied
// until the calls should have ended, since a stage server finishes a call even if its caller
// has left.
func (s *Scheduler) CancelUnwanted(now time.Time) (cancelled []*Call, again bool) {
	for _, state := range s.servers {
		for _, b := range state.running {
			switch {
			case b.cancelled || !b.unwanted():
			case b.unwantedSince.IsZero():
				b.unwantedSince = now
				again = true
			case now.Sub(b.unwantedSince) < unwantedGrace:
				again = true
			default:
				b.cancelled = true
				cancelled = append(cancelled, b)
			}
		}
	}
	for _, b := range slices.Clone(s.overdue) {
		if !b.unwanted() {
			continue
		}
		s.overdue = slices.DeleteFunc(s.overdue, func(other *Call) bool { return other == b })
		b.settle()
		b.cancelled = true
		cancelled = append(cancelled, b)
	}
	return cancelled, again
}

// dropCancelled frees the slot of a cancelled call once it should have ended.
func (s *Scheduler) dropCancelled(now time.Time, b *Call) {
	if now.Sub(b.startedAt) < b.expected {
		return
	}
	s.remove(b)
	b.settle()
	b.abandoned = true
	s.reserveLost(now, b)
}

// resend queues pieces again. A piece that was sent too often fails its task, unless another call
// may still answer.
func (s *Scheduler) resend(items []callItem) {
	for _, item := range items {
		t := item.task
		if t.ended || t.results[item.position].Handle != "" || slices.Contains(t.pending, item.position) {
			continue
		}
		if t.attempts[item.position] >= maxAttempts {
			if t.inFlight[item.position] == 0 {
				t.Finish(FailureFailed)
			}
			continue
		}
		if len(t.pending) == 0 && !slices.Contains(s.waiting, t) {
			s.waiting = append(s.waiting, t)
		}
		t.pending = append(t.pending, item.position)
	}
}

// Refuse records that a call was not accepted, because the server was full or could not be
// reached.
func (s *Scheduler) Refuse(now time.Time, b *Call, full bool) {
	if b.abandoned || b.cancelled {
		return
	}
	s.end(b)
	if b.overdue {
		// Its server was judged when the call became overdue.
		s.resend(b.unanswered(b.items))
		return
	}
	if full {
		b.server.unavailableUntil = now.Add(s.fullBackoffTime(b.server) << min(b.server.consecutiveFull, maxFullDoublings))
		b.server.consecutiveFull++
		for _, item := range b.items {
			item.task.attempts[item.position]--
		}
	} else {
		b.server.failures++
		pause := minEjection << min(b.server.failures-1, 10)
		b.server.unavailableUntil = now.Add(min(pause, maxEjection))
	}
	s.resend(b.items)
}

// Withdraw queues the pieces of a call again that was not sent. It does not count as an attempt.
func (s *Scheduler) Withdraw(b *Call) {
	if b.abandoned || b.cancelled {
		return
	}
	s.end(b)
	for _, item := range b.items {
		item.task.attempts[item.position]--
	}
	s.resend(b.unanswered(b.items))
}

// fullBackoffTime returns how long a full server gets no calls. It is working on calls that
// this host does not know of or has abandoned, and accepts more when one of them ends.
func (s *Scheduler) fullBackoffTime(state *serverState) time.Duration {
	return max(time.Duration(float64(s.CallTime())*min(state.slowdown, slowFactor)), fullBackoff)
}

// Finish records the outcomes of a call, one for each item, and returns the results that are
// no longer needed.
func (s *Scheduler) Finish(now time.Time, b *Call, outcomes []Outcome) []Result {
	if b.abandoned || b.cancelled {
		return nil
	}
	s.end(b)
	state := b.server
	state.failures, state.consecutiveFull = 0, 0
	state.recordAnswer()
	if s.spec.LoadAware {
		state.load.recordEnd(now)
	}
	if allMade(outcomes) {
		state.slowdown += slowdownGain * (now.Sub(b.startedAt).Seconds()/s.nominalTime(len(b.items)).Seconds() - state.slowdown)
	}
	s.recordMade(now, countMade(outcomes))
	var unwanted []Result
	var again []callItem
	for i, item := range b.items {
		t := item.task
		if !t.ended {
			t.times.call = now.Sub(b.startedAt)
		}
		switch o := outcomes[i]; {
		case o.Failure == FailureRoom:
			t.attempts[item.position]--
			state.unavailableUntil = now.Add(capacityBackoff)
			state.roomRefusedUntil = state.unavailableUntil
			again = append(again, item)
		case o.Failure == FailureFailed:
			again = append(again, item)
		case o.Failure != "":
			t.Finish(o.Failure)
		default:
			r := Result{Handle: o.Handle, Server: state.Address, Zone: state.Zone}
			state.reserve(o.Handle, t.ResultBytes, now.Add(s.spec.ResultTTL))
			if t.ended || t.results[item.position].Handle != "" {
				unwanted = append(unwanted, r)
				continue
			}
			t.results[item.position] = r
			// A duplicate that still waits must not be sent: a server may give it the same
			// handle, and releasing the duplicate would release the result.
			t.pending = slices.DeleteFunc(t.pending, func(p int) bool { return p == item.position })
			if t.missing--; t.missing == 0 {
				t.Finish("")
			}
		}
	}
	s.resend(b.unanswered(again))
	for _, item := range b.items {
		if t := item.task; t.ended && t.failure != "" {
			unwanted = append(unwanted, t.TakeResults()...)
		}
	}
	return unwanted
}

// allMade reports whether a server made all pieces of a call, so that the call's time is a
// sample of its speed.
func allMade(outcomes []Outcome) bool {
	return !slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Failure != "" })
}

func countMade(outcomes []Outcome) int {
	count := 0
	for _, o := range outcomes {
		if o.Failure == "" {
			count++
		}
	}
	return count
}

func (s *Scheduler) remove(b *Call) {
	b.server.running = slices.DeleteFunc(b.server.running, func(other *Call) bool { return other == b })
}

// Release records that a server has released results.
func (s *Scheduler) Release(address netip.AddrPort, handles []string) {
	state := s.servers[address]
	if state == nil {
		return
	}
	for _, handle := range handles {
		state.release(handle)
	}
}
