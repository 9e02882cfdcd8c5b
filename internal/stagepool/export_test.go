// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"net/netip"
	"time"
)

// Scheduler lets tests drive the pure part of a pool.
type Scheduler struct{ s *scheduler }

// Batch is one call that a Scheduler gave out.
type Batch struct{ b *batch }

// Task is one Work under way.
type Task struct{ t *task }

// NewScheduler returns a scheduler with servers.
func NewScheduler(spec Spec, servers ...Server) *Scheduler {
	return NewRestingScheduler(spec, func(string) time.Duration { return 0 }, servers...)
}

// NewRestingScheduler is NewScheduler for servers that may rest.
func NewRestingScheduler(spec Spec, rest func(instance string) time.Duration, servers ...Server) *Scheduler {
	s := newScheduler(spec, rest)
	s.setServers(servers)
	return &Scheduler{s: s}
}

// SetServers replaces the servers.
func (s *Scheduler) SetServers(servers ...Server) { s.s.setServers(servers) }

// Add lets work wait.
func (s *Scheduler) Add(now time.Time, w Work) Task { return Task{t: s.s.add(now, w)} }

// Next returns the next call, if any.
func (s *Scheduler) Next(now time.Time) (Batch, bool) {
	b := s.s.next(now)
	return Batch{b: b}, b != nil
}

// Finish ends a call.
func (s *Scheduler) Finish(now time.Time, b Batch, outcomes ...Outcome) []Result {
	return s.s.finished(now, b.b, outcomes)
}

// Refuse ends a call that was not taken.
func (s *Scheduler) Refuse(now time.Time, b Batch, full bool) { s.s.refused(now, b.b, full) }

// Overdue gives up on calls that take far too long and returns how many.
func (s *Scheduler) Overdue(now time.Time) int {
	late, _ := s.s.overdue(now)
	return len(late)
}

// Release gives results up.
func (s *Scheduler) Release(server netip.AddrPort, handles ...string) { s.s.released(server, handles) }

// Server returns where a call goes.
func (b Batch) Server() Server { return b.b.server.Server }

// Requests returns whose pieces a call has.
func (b Batch) Requests() []string {
	var names []string
	for _, i := range b.b.items {
		names = append(names, i.task.Request)
	}
	return names
}

// Done reports whether a task has ended, and with what failure.
func (t Task) Done() (Failure, bool) { return t.t.failure, t.t.ended }

// Results returns a task's results.
func (t Task) Results() []Result { return t.t.results }

// Backlogs is what one host knows of all pools.
type Backlogs struct{ o *backlogs }

// NewBacklogs returns what a host knows that heard of none.
func NewBacklogs() Backlogs { return Backlogs{o: newBacklogs()} }

// Note takes an backlog in.
func (o Backlogs) Note(shard string, wait time.Duration, at time.Time) {
	var waits Queue
	for i := range waits {
		waits[i] = wait
	}
	o.o.note(shard, Backlog{Waits: waits, At: at})
}

// Tell passes all on to another host.
func (o Backlogs) Tell(other Backlogs) { other.o.take(time.Now(), o.o.messages(time.Now())) }

// Wait returns the wait at a shard, and whether it is believed.
func (o Backlogs) Wait(shard string) (time.Duration, bool) {
	backlog, ok := o.o.of(shard)
	return backlog.Waits.Longest(), ok
}

// Queue returns how long new work waits.
func (s *Scheduler) Queue(now time.Time) Queue { return s.s.queue(now) }

// Waiting reports whether pieces of a task wait to be sent.
func (t Task) Waiting() bool { return len(t.t.pending) > 0 }
