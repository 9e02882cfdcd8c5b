// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Overdue gives up on calls that take far too long: the answer is lost, or the
// server much slower than it was. It returns them, and reports whether there
// are calls to look at again. What they made takes up room until it expires.
func (s *Scheduler) Overdue(now time.Time) (late []*Call, again bool) {
	for _, state := range s.servers {
		for _, b := range slices.Clone(state.running) {
			if b.cut {
				s.dropCut(now, b)
				again = true
				continue
			}
			if now.Sub(b.began) < overdueAfter(b.expected) {
				again = true
				continue
			}
			late = append(late, b)
			s.remove(b)
			b.abandoned = true
			state.overdue(now.Sub(b.began).Seconds() / s.even(len(b.items)).Seconds())
			state.until = now.Add(fullPause)
			s.lose(now, b)
			s.resend(b.items)
		}
	}
	return late, again
}

// overdueAfter is how long a call is waited for that was expected to take so long.
func overdueAfter(expected time.Duration) time.Duration {
	return time.Duration(overdueFactor*float64(expected)) + overdueSlack
}

// lose notes that the results of a call are not known: they take up room until
// they expire.
func (s *Scheduler) lose(now time.Time, b *Call) {
	b.server.used -= b.bytes
	b.server.hold(fmt.Sprintf("lost %d", b.began.UnixNano()), b.bytes, now.Add(s.spec.Hold))
}

// Unwanted returns the calls to end because nobody has waited for their pieces
// for unwantedFor, and reports whether there are calls to look at again. Their
// servers stay taken until the calls should have ended: a stage server ends what
// it is at work on, whether its caller is there or not.
func (s *Scheduler) Unwanted(now time.Time) (cut []*Call, again bool) {
	for _, state := range s.servers {
		for _, b := range state.running {
			switch {
			case b.cut || !b.unwanted():
			case b.unwantedAt.IsZero():
				b.unwantedAt = now
				again = true
			case now.Sub(b.unwantedAt) < unwantedFor:
				again = true
			default:
				b.cut = true
				cut = append(cut, b)
			}
		}
	}
	return cut, again
}

// dropCut frees the place of a call that was cut once it should have ended.
func (s *Scheduler) dropCut(now time.Time, b *Call) {
	if now.Sub(b.began) < b.expected {
		return
	}
	s.remove(b)
	b.abandoned = true
	s.lose(now, b)
}

// resend lets pieces wait again.
func (s *Scheduler) resend(items []sent) {
	for _, item := range items {
		t := item.task
		if t.ended || t.results[item.position].Handle != "" || slices.Contains(t.pending, item.position) {
			continue
		}
		if t.tries[item.position] >= triesMost {
			t.Finish(FailureFailed)
			continue
		}
		if len(t.pending) == 0 && !slices.Contains(s.waiting, t) {
			s.waiting = append(s.waiting, t)
		}
		t.pending = append(t.pending, item.position)
	}
}

// Refuse notes that a call was not taken: the server was full, or could not be
// reached.
func (s *Scheduler) Refuse(now time.Time, b *Call, full bool) {
	if b.abandoned || b.cut {
		return
	}
	s.remove(b)
	b.server.used -= b.bytes
	if full {
		b.server.until = now.Add(s.untilRoom(b.server) << min(b.server.fulls, fullsMost))
		b.server.fulls++
		for _, item := range b.items {
			item.task.tries[item.position]--
		}
	} else {
		b.server.failures++
		pause := ejectFirst << min(b.server.failures-1, 10)
		b.server.until = now.Add(min(pause, ejectMost))
	}
	s.resend(b.items)
}

// untilRoom is how long a server is left alone that was full: it works on calls
// that this host does not know of, or gave up, and has room when one ends.
func (s *Scheduler) untilRoom(state *serverState) time.Duration {
	return max(time.Duration(float64(s.CallTime())*min(state.factor, slowFactor)), fullPause)
}

// Finish takes the outcomes of a call, one for each item, and returns the
// results that nobody wants.
func (s *Scheduler) Finish(now time.Time, b *Call, outcomes []Outcome) []Result {
	if b.abandoned || b.cut {
		return nil
	}
	s.remove(b)
	state := b.server
	state.failures, state.fulls = 0, 0
	state.answered()
	state.used -= b.bytes
	if worked(outcomes) {
		state.factor += factorGain * (now.Sub(b.began).Seconds()/s.even(len(b.items)).Seconds() - state.factor)
	}
	s.made(now, countMade(outcomes))
	var unwanted []Result
	var again []sent
	for i, item := range b.items {
		t := item.task
		switch o := outcomes[i]; {
		case o.Failure == FailureRoom:
			t.tries[item.position]--
			state.until = now.Add(roomPause)
			again = append(again, item)
		case o.Failure == FailureFailed:
			again = append(again, item)
		case o.Failure != "":
			t.Finish(o.Failure)
		default:
			r := Result{Handle: o.Handle, Server: state.Address, Zone: state.Zone}
			state.hold(o.Handle, t.ResultBytes, now.Add(s.spec.Hold))
			if t.ended || t.results[item.position].Handle != "" {
				unwanted = append(unwanted, r)
				continue
			}
			t.results[item.position] = r
			// A copy that still waits must not be sent: a server may give it
			// the same handle, and giving up the copy would take the result.
			t.pending = slices.DeleteFunc(t.pending, func(p int) bool { return p == item.position })
			if t.missing--; t.missing == 0 {
				t.Finish("")
			}
		}
	}
	s.resend(again)
	for _, item := range b.items {
		if t := item.task; t.ended && t.failure != "" {
			unwanted = append(unwanted, t.TakeResults()...)
		}
	}
	return unwanted
}

// worked reports whether a server made all pieces of a call, so that its time
// tells how fast it is.
func worked(outcomes []Outcome) bool {
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

// Release notes that a server has given up results.
func (s *Scheduler) Release(address netip.AddrPort, handles []string) {
	state := s.servers[address]
	if state == nil {
		return
	}
	for _, handle := range handles {
		if h, ok := state.held[handle]; ok {
			state.used -= h.bytes
			delete(state.held, handle)
		}
	}
}
