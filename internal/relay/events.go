// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import "bytes"

// eventsMost bounds what is held back of one event; a longer one is passed on
// as it comes.
const eventsMost = 1 << 20

// splitter cuts a stream of server-sent events after whole events.
type splitter struct {
	// rest is the beginning of an event that is not whole yet.
	rest []byte
	// last is the id of the last whole event that had one.
	last string
	// events counts whole events.
	events int
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes the next bytes and returns the whole events among what has come;
// the slice is valid until the next call.
func (s *splitter) add(part []byte) []byte {
	s.rest = append(s.rest, part...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 && len(s.rest) < eventsMost {
		return nil
	}
	if end < 0 {
		whole := s.rest
		s.rest = nil
		return whole
	}
	whole := s.rest[:end+len(eventEnd)]
	s.scan(whole)
	rest := bytes.Clone(s.rest[end+len(eventEnd):])
	s.rest = rest
	return whole
}

func (s *splitter) scan(whole []byte) {
	s.events += bytes.Count(whole, eventEnd)
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			s.last = string(bytes.TrimSpace(value))
		}
	}
}
