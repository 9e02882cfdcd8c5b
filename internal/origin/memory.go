// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// entry is what a host knows of a stream.
type entry struct {
	version    string
	recordedAt time.Time
}

// memory holds the versions of the streams that a host knows, at most MaxRecords. It is not safe for
// concurrent use.
type memory struct {
	known *simplelru.LRU[Stream, entry]
	// groups has the streams in known by group.
	groups [keeperGroups]map[Stream]struct{}
	// latest is when the last of them was recorded; zero if there are none.
	latest time.Time
	// dropped counts the streams that were removed for lack of space within retention.
	dropped int
}

func newMemory() *memory {
	m := &memory{}
	for i := range m.groups {
		m.groups[i] = make(map[Stream]struct{})
	}
	known, err := simplelru.NewLRU(MaxRecords, func(s Stream, e entry) {
		delete(m.groups[s.group()], s)
		if time.Since(e.recordedAt) < retention {
			m.dropped++
		}
	})
	if err != nil {
		panic(err) // the size is a positive constant
	}
	m.known = known
	return m
}

// add adds a record unless a later one of the same stream is known, and reports whether the stream was
// unknown.
func (m *memory) add(r Record) bool {
	old, ok := m.known.Peek(r.Stream)
	if ok && old.recordedAt.After(r.RecordedAt) {
		return false
	}
	m.known.Add(r.Stream, entry{version: r.Version, recordedAt: r.RecordedAt})
	m.groups[r.Stream.group()][r.Stream] = struct{}{}
	if r.RecordedAt.After(m.latest) {
		m.latest = r.RecordedAt
	}
	return !ok
}

// recent returns the records of a group that callers may still ask for.
func (m *memory) recent(g group, now time.Time) []Record {
	var records []Record
	for s := range m.groups[g] {
		if e, ok := m.known.Peek(s); ok && now.Sub(e.recordedAt) < retention {
			records = append(records, Record{Stream: s, Version: e.version, RecordedAt: e.recordedAt})
		}
	}
	return records
}
