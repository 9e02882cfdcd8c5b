// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import (
	"slices"
	"time"
)

// maxReads bounds the prefills that are tracked for an engine.
const maxReads = 256

// prefill is when an engine is expected to read a prompt.
type prefill struct {
	id       uint64
	startsAt time.Time
	endsAt   time.Time
}

// addRead records the prefill of a prompt that is placed on the engine.
func (e *engine) addRead(now time.Time, id uint64, x expectation) {
	e.freeAt = now.Add(x.wait + x.read)
	e.reads = slices.DeleteFunc(e.reads, func(r prefill) bool { return !r.endsAt.After(now) })
	if len(e.reads) >= maxReads {
		e.reads = slices.Delete(e.reads, 0, 1)
	}
	e.reads = append(e.reads, prefill{id: id, startsAt: now.Add(x.wait), endsAt: e.freeAt})
}

// withdrawRead takes away what remains of the prefill of a prompt that was not sent, so that those that
// were to follow it at once start earlier. A report may arrive late: what is over has not delayed
// the prompts that were placed since.
func (e *engine) withdrawRead(now time.Time, id uint64) {
	if id == 0 {
		return
	}
	at := slices.IndexFunc(e.reads, func(r prefill) bool { return r.id == id && r.endsAt.After(now) })
	if at < 0 {
		return
	}
	end := e.reads[at].endsAt
	left := min(end.Sub(e.reads[at].startsAt), end.Sub(now))
	e.reads = slices.Delete(e.reads, at, at+1)
	for i := at; i < len(e.reads); i++ {
		r := &e.reads[i]
		if !r.startsAt.Equal(end) {
			return
		}
		end = r.endsAt
		r.startsAt, r.endsAt = r.startsAt.Add(-left), r.endsAt.Add(-left)
	}
	e.freeAt = e.freeAt.Add(-left)
}
