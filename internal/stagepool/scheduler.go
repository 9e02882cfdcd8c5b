// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// heavyBytes is the size of results or inputs from which work is done in
	// its zone: the platform's price of one gigabyte that crosses zones is some
	// ten requests' worth.
	heavyBytes = 256 << 10
	// zonePatience is how long heavy work waits for a server of its zone, about
	// half a call.
	zonePatience = 100 * time.Millisecond
	// slowFactor is how much slower than the quickest a server must be to get
	// work only when no other is left.
	slowFactor = 2.5
	// factorGain is the weight of one call in a server's factor.
	factorGain = 0.4
	// ejectFirst and ejectMost bound how long a failing server is left alone.
	ejectFirst = 200 * time.Millisecond
	ejectMost  = 3 * time.Second
	// fullPause is how long a server that was full is left alone: some host
	// that also holds itself for the owner uses it.
	fullPause = 40 * time.Millisecond
	// triesMost bounds how often one piece is sent.
	triesMost = 4
	// priorityTime is how much later a task may be due to go before one of the
	// next lower priority.
	priorityTime = 700 * time.Millisecond
	// lateMargin is kept between the end of a call and the moment by which it
	// must have ended, for the ways and the next call's turn; without it, a
	// crowded pool serves everybody just too late.
	lateMargin = 60 * time.Millisecond
	// latelyWeight is how many calls the average time of calls comes from.
	latelyWeight = 8
	// factorFade is the half-life of a server's slowness, so that one that got
	// well is tried again.
	factorFade = 3 * time.Second
	// roomPause is how long a server without room gets no work, unless results
	// are given up there before.
	roomPause = 50 * time.Millisecond
	// overdueFactor times its expected time and overdueSlack is how long a call
	// may take before its pieces are sent to another server.
	overdueFactor = 2.0
	overdueSlack  = 120 * time.Millisecond
	// recheck is how soon servers whose calls are overdue are looked at again.
	recheck = 50 * time.Millisecond
)

// task is one Work under way.
type task struct {
	Work
	arrived time.Time
	results []Result
	// pending has the positions of pieces that wait to be sent.
	pending []int
	// tries counts the sends of each piece.
	tries []int
	// missing is how many pieces have no result.
	missing int
	failure Failure
	ended   bool
	done    chan struct{}
}

func (t *task) finish(f Failure) {
	if t.ended {
		return
	}
	t.ended = true
	t.failure = f
	t.pending = nil
	close(t.done)
}

// sent is one piece of a call.
type sent struct {
	task     *task
	position int
}

// batch is one call to one server.
type batch struct {
	server   *serverState
	items    []sent
	began    time.Time
	expected time.Duration
	bytes    int64
	// abandoned says that its answer is not waited for any more; cancel ends
	// it.
	abandoned bool
	cancel    context.CancelFunc
}

// serverState is what the owner knows of a server.
type serverState struct {
	Server
	running []*batch
	// used is the room that results and running calls take.
	used int64
	held map[string]heldResult
	// factor is how long calls take over what was expected.
	factor   float64
	fadedAt  time.Time
	failures int
	until    time.Time
	gone     bool
}

type heldResult struct {
	bytes   int64
	expires time.Time
}

// scheduler decides what the next call of a pool has and where it goes. It is
// not safe for concurrent use.
type scheduler struct {
	spec    Spec
	servers map[netip.AddrPort]*serverState
	// waiting has the tasks with pending pieces.
	waiting []*task
	// lately is the average time of the last calls, as their pieces have it.
	lately time.Duration
}

func newScheduler(spec Spec) *scheduler {
	return &scheduler{spec: spec, servers: make(map[netip.AddrPort]*serverState)}
}

// setServers replaces the servers, and keeps what is known of those that stay.
func (s *scheduler) setServers(servers []Server) {
	listed := make(map[netip.AddrPort]bool, len(servers))
	for _, server := range servers {
		listed[server.Address] = true
		old := s.servers[server.Address]
		if old != nil && old.Instance == server.Instance {
			old.Server = server
			continue
		}
		s.servers[server.Address] = &serverState{Server: server, factor: 1, held: make(map[string]heldResult)}
	}
	for address, state := range s.servers {
		if !listed[address] {
			state.gone = true
			delete(s.servers, address)
		}
	}
}

func (s *scheduler) add(now time.Time, w Work) *task {
	t := &task{
		Work:    w,
		arrived: now,
		results: make([]Result, len(w.Pieces)),
		tries:   make([]int, len(w.Pieces)),
		missing: len(w.Pieces),
		done:    make(chan struct{}),
	}
	for i := range w.Pieces {
		t.pending = append(t.pending, i)
	}
	s.waiting = append(s.waiting, t)
	return t
}

// pieces is how many pieces wait.
func (s *scheduler) pieces() int {
	total := 0
	for _, t := range s.waiting {
		total += len(t.pending)
	}
	return total
}

// oldest is how long the first task has waited for the start of its pieces.
func (s *scheduler) oldest(now time.Time) time.Duration {
	var oldest time.Duration
	for _, t := range s.waiting {
		oldest = max(oldest, now.Sub(t.arrived))
	}
	return oldest
}

// expected is how long a call with so many pieces takes at a server.
func (s *scheduler) expected(state *serverState, pieces int) time.Duration {
	return time.Duration(float64(s.even(pieces)) * state.factor)
}

// even is how long a call with so many pieces takes at an undisturbed server.
func (s *scheduler) even(pieces int) time.Duration {
	return s.spec.CallTime + time.Duration(pieces)*s.spec.PieceTime
}

// wait is how long new work that can be in time waits for the start of its
// call, roughly: what is late already goes after it.
func (s *scheduler) wait(now time.Time) time.Duration {
	usable := s.usable(now)
	if len(usable) == 0 {
		return s.spec.CallTime
	}
	pieces := 0
	for _, t := range s.waiting {
		if !s.late(now, t) {
			pieces += len(t.pending)
		}
	}
	rounds := float64(pieces) / float64(s.spec.Size*len(usable)*s.spec.Slots)
	busy := 0
	for _, state := range usable {
		busy += len(state.running)
	}
	if busy >= len(usable)*s.spec.Slots {
		rounds += 0.5 / float64(len(usable))
	}
	return time.Duration(rounds * float64(s.even(s.spec.Size)))
}

// callTime is how long calls take lately.
func (s *scheduler) callTime() time.Duration {
	if s.lately == 0 {
		return s.even(s.spec.Size / 2)
	}
	return s.lately
}

// late reports whether a task that starts now cannot end in time. One that holds
// room elsewhere never counts as late: while it waits, the pool where the room
// is comes to a stand.
func (s *scheduler) late(now time.Time, t *task) bool {
	if t.holdsRoom() {
		return false
	}
	return now.Add(s.callTime() + lateMargin).After(t.Latest)
}

// fade lets a server's slowness be forgotten.
func (s *serverState) fade(now time.Time) {
	if !s.fadedAt.IsZero() && len(s.running) == 0 {
		s.factor = 1 + (s.factor-1)*math.Exp2(-now.Sub(s.fadedAt).Seconds()/factorFade.Seconds())
	}
	s.fadedAt = now
}

// usable returns the servers that may get work, the quickest first. A slow one
// is left out while there are others.
func (s *scheduler) usable(now time.Time) []*serverState {
	var states []*serverState
	for _, state := range s.servers {
		state.fade(now)
		if !state.Leaving && !now.Before(state.until) {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(a, b *serverState) int {
		if c := cmp.Compare(a.factor, b.factor); c != 0 {
			return c
		}
		return a.Address.Compare(b.Address)
	})
	return states
}

// next returns the next call, or nil where nothing can be sent now.
func (s *scheduler) next(now time.Time) *batch {
	s.expire(now)
	if len(s.waiting) == 0 {
		return nil
	}
	usable := s.usable(now)
	var free, slow []*serverState
	zones := make(map[string]bool)
	for _, state := range usable {
		zones[state.Zone] = true
		switch {
		case len(state.running) >= s.spec.Slots:
		case state.factor > usable[0].factor*slowFactor:
			slow = append(slow, state)
		default:
			free = append(free, state)
		}
	}
	if len(free)+len(slow) == 0 {
		return nil
	}
	s.order(now)
	s.giveUp(now, len(usable))
	if len(free) > 0 {
		most := min((s.pieces()+len(free)-1)/len(free), s.spec.Size)
		for _, state := range free {
			if b := s.fill(now, state, max(most, 1), zones); b != nil {
				return b
			}
		}
	}
	return s.fillSlow(now, slow, len(usable)-len(slow), zones)
}

// fillSlow gives a slow server what would wait longer for the quick ones than
// it takes there, from the end of the order.
func (s *scheduler) fillSlow(now time.Time, slow []*serverState, quick int, zones map[string]bool) *batch {
	for _, state := range slow {
		rounds := float64(s.pieces()) / float64(s.spec.Size*max(quick, 1))
		if time.Duration(rounds*float64(s.even(s.spec.Size))) < s.expected(state, s.spec.Size) {
			continue
		}
		slices.Reverse(s.waiting)
		b := s.fill(now, state, s.spec.Size, zones)
		slices.Reverse(s.waiting)
		if b != nil {
			return b
		}
	}
	return nil
}

// order puts first what can still keep its objective, and there what must end
// first.
func (s *scheduler) order(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *task) int {
		lateA, lateB := s.late(now, a), s.late(now, b)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		return a.rank().Compare(b.rank())
	})
}

// rank orders tasks: by when they must end, with some time for each priority.
func (t *task) rank() time.Time {
	return t.Latest.Add(time.Duration(t.Priority) * priorityTime)
}

// giveUp ends tasks that would not be reached before they are of no use, so that
// their callers hear of it at once. The order must be fresh.
func (s *scheduler) giveUp(now time.Time, servers int) {
	round := float64(s.even(s.spec.Size)) / float64(s.spec.Size*s.spec.Slots*servers)
	ahead := 0
	s.waiting = slices.DeleteFunc(s.waiting, func(t *task) bool {
		wait := time.Duration(float64(ahead) * round)
		if now.Add(wait + s.spec.CallTime).After(t.Deadline) {
			t.finish(FailureLate)
			return true
		}
		ahead += len(t.pending)
		return false
	})
}

func (s *scheduler) fill(now time.Time, state *serverState, most int, zones map[string]bool) *batch {
	b := &batch{server: state, began: now}
	room := s.spec.Room - state.used
	for _, t := range s.waiting {
		if !s.fits(now, t, state, zones) {
			continue
		}
		b.take(t, s.takes(t, b, most, room))
		if len(b.items) >= most {
			break
		}
	}
	if len(b.items) == 0 {
		return nil
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(t *task) bool { return len(t.pending) == 0 })
	b.expected = s.expected(state, len(b.items))
	even := s.even(len(b.items))
	s.lately = s.callTime() + (even-s.callTime())/latelyWeight
	state.used += b.bytes
	state.running = append(state.running, b)
	return b
}

// takes is how many pieces of a task go into a call. A task is split only where
// it is larger than a call, or where more waits than a call takes and full calls
// count: otherwise its pieces end together and in one zone.
func (s *scheduler) takes(t *task, b *batch, most int, room int64) int {
	count := min(len(t.pending), s.spec.Size-len(b.items))
	if s.spec.Room > 0 && t.ResultBytes > 0 {
		count = min(count, int(max(room-b.bytes, 0)/t.ResultBytes))
	}
	whole := min(len(t.pending), s.spec.Size)
	if count > 0 && s.pieces() > s.spec.Size {
		return min(count, most-len(b.items))
	}
	if count < whole && (len(b.items) > 0 || int64(whole)*t.ResultBytes <= s.spec.Room) {
		return 0
	}
	if len(b.items) > 0 && len(b.items)+count > most {
		return 0
	}
	return count
}

func (b *batch) take(t *task, count int) {
	for range count {
		position := t.pending[0]
		b.items = append(b.items, sent{task: t, position: position})
		b.bytes += t.ResultBytes
		t.tries[position]++
		t.pending = t.pending[1:]
	}
}

// fits reports whether a task may run at a server as far as zones go.
func (s *scheduler) fits(now time.Time, t *task, state *serverState, zones map[string]bool) bool {
	if !t.heavy() || t.Zone == "" || t.Zone == state.Zone || !zones[t.Zone] {
		return true
	}
	return now.Sub(t.arrived) > zonePatience
}

// expire ends the tasks that are of no use any more and forgets results that
// their servers have dropped.
func (s *scheduler) expire(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t *task) bool {
		if t.ended {
			return true
		}
		if now.Add(s.spec.CallTime).After(t.Deadline) {
			t.finish(FailureLate)
			return true
		}
		return false
	})
	for _, state := range s.servers {
		for handle, h := range state.held {
			if now.After(h.expires) {
				state.used -= h.bytes
				delete(state.held, handle)
			}
		}
	}
}

// overdue gives up on calls that take far too long: the answer is lost, or the
// server much slower than it was. It returns them, and reports whether there
// are calls to look at again. What they made takes up room until it expires.
func (s *scheduler) overdue(now time.Time) (late []*batch, again bool) {
	for _, state := range s.servers {
		for _, b := range slices.Clone(state.running) {
			limit := time.Duration(overdueFactor*float64(b.expected)) + overdueSlack
			if now.Sub(b.began) < limit {
				again = true
				continue
			}
			late = append(late, b)
			s.remove(b)
			b.abandoned = true
			state.factor = max(state.factor, now.Sub(b.began).Seconds()/s.even(len(b.items)).Seconds())
			state.until = now.Add(fullPause)
			state.used -= b.bytes
			state.hold(fmt.Sprintf("lost %d", b.began.UnixNano()), b.bytes, now.Add(s.spec.Hold))
			s.resend(b.items)
		}
	}
	return late, again
}

// hold notes room that is taken until it is given up or expires.
func (s *serverState) hold(handle string, bytes int64, expires time.Time) {
	s.used += bytes
	s.held[handle] = heldResult{bytes: bytes, expires: expires}
}

// resend lets pieces wait again.
func (s *scheduler) resend(items []sent) {
	for _, item := range items {
		t := item.task
		if t.ended || t.results[item.position].Handle != "" || slices.Contains(t.pending, item.position) {
			continue
		}
		if t.tries[item.position] >= triesMost {
			t.finish(FailureFailed)
			continue
		}
		if len(t.pending) == 0 && !slices.Contains(s.waiting, t) {
			s.waiting = append(s.waiting, t)
		}
		t.pending = append(t.pending, item.position)
	}
}

// refused notes that a call was not taken: the server was full, or could not be
// reached.
func (s *scheduler) refused(now time.Time, b *batch, full bool) {
	if b.abandoned {
		return
	}
	s.remove(b)
	b.server.used -= b.bytes
	if full {
		b.server.until = now.Add(fullPause)
	} else {
		b.server.failures++
		pause := ejectFirst << min(b.server.failures-1, 10)
		b.server.until = now.Add(min(pause, ejectMost))
	}
	s.resend(b.items)
}

// finished takes the outcomes of a call, one for each item, and returns the
// results that nobody wants.
func (s *scheduler) finished(now time.Time, b *batch, outcomes []Outcome) []Result {
	if b.abandoned {
		return nil
	}
	s.remove(b)
	state := b.server
	state.failures = 0
	state.used -= b.bytes
	if worked(outcomes) {
		state.factor += factorGain * (now.Sub(b.began).Seconds()/s.even(len(b.items)).Seconds() - state.factor)
	}
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
			t.finish(o.Failure)
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
				t.finish("")
			}
		}
	}
	s.resend(again)
	for _, item := range b.items {
		if t := item.task; t.ended && t.failure != "" {
			unwanted = append(unwanted, t.takeResults()...)
		}
	}
	return unwanted
}

// worked reports whether a server made all pieces of a call, so that its time
// tells how fast it is.
func worked(outcomes []Outcome) bool {
	return !slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Failure != "" })
}

// takeResults returns the results of a failed task once.
func (t *task) takeResults() []Result {
	var results []Result
	for i, r := range t.results {
		if r.Handle != "" {
			results = append(results, r)
			t.results[i] = Result{}
		}
	}
	return results
}

func (s *scheduler) remove(b *batch) {
	b.server.running = slices.DeleteFunc(b.server.running, func(other *batch) bool { return other == b })
}

// released notes that a server has given up results.
func (s *scheduler) released(address netip.AddrPort, handles []string) {
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
