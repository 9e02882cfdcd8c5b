// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import "time"

// Times is where the time of a task went.
type Times struct {
	// Queue is how long the task was queued until its last piece was sent.
	Queue time.Duration
	// Room is the part of Queue in which servers were free for the task, but none of them had
	// memory for its results.
	Room time.Duration
	// Call is how long the last call of the task took, 0 if none was sent.
	Call time.Duration
}

// taskTimes records the times of a task.
type taskTimes struct {
	// sentAt is when a piece was last sent. It is zero if none was.
	sentAt time.Time
	// call is the duration of the call that ended last. It is 0 while no call has ended since
	// sentAt.
	call time.Duration
	// room is the time without memory for the results until roomSince, or in total if roomSince
	// is zero. roomSince is when the current period without memory was last seen to continue.
	room      time.Duration
	roomSince time.Time
	// endedQueued says that the task ended while pieces of it were queued.
	endedQueued bool
}

// recordSent records that pieces of the task were sent.
func (t *taskTimes) recordSent(now time.Time) {
	t.recordRoom(now, false)
	t.sentAt, t.call = now, 0
}

// recordRoom records whether the task waits only for memory at the servers.
func (t *taskTimes) recordRoom(now time.Time, lacking bool) {
	if !t.roomSince.IsZero() {
		t.room += now.Sub(t.roomSince)
	}
	t.roomSince = time.Time{}
	if lacking {
		t.roomSince = now
	}
}

// Times returns where the time of a task went that ends now.
func (t *Task) Times(now time.Time) Times {
	record := t.times
	record.recordRoom(now, false)
	times := Times{Room: record.room, Call: record.call}
	if record.endedQueued || len(t.pending) > 0 || record.sentAt.IsZero() {
		times.Queue = now.Sub(t.arrivedAt)
		return times
	}
	times.Queue = record.sentAt.Sub(t.arrivedAt)
	if times.Call == 0 {
		times.Call = now.Sub(record.sentAt)
	}
	return times
}

// recordRoom records for each queued task whether it waits only for memory at the servers. It
// must be called when no more calls can be built. It reads the state of the servers and changes
// none of it, so that it has no effect on decisions.
func (s *Scheduler) recordRoom(now time.Time, zones map[string]bool) {
	if !s.spec.LoadAware || s.spec.ResultCapacity <= 0 {
		return
	}
	var free []*serverState
	for _, state := range s.servers {
		if len(state.running) < s.spec.Slots && !state.Leaving && s.restTime(state.Instance) == 0 &&
			(!now.Before(state.unavailableUntil) || now.Before(state.roomRefusedUntil)) {
			free = append(free, state)
		}
	}
	for _, t := range s.waiting {
		t.times.recordRoom(now, s.lacksRoom(now, t, free, zones))
	}
}

// lacksRoom reports whether servers of those given may run a task, but none has memory for its
// results.
func (s *Scheduler) lacksRoom(now time.Time, t *Task, free []*serverState, zones map[string]bool) bool {
	if t.ResultBytes <= 0 {
		return false
	}
	// A task goes into one call unless a server cannot hold the results of a whole call.
	need := int64(min(len(t.pending), s.spec.Size)) * t.ResultBytes
	if need > s.spec.ResultCapacity {
		need = t.ResultBytes
	}
	lacking := false
	for _, state := range free {
		if !s.zoneAllows(now, t, state, zones) {
			continue
		}
		if !now.Before(state.roomRefusedUntil) && s.spec.ResultCapacity-state.used >= need {
			return false
		}
		lacking = true
	}
	return lacking
}
