// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import "bytes"

// maxPartialEvent limits how many bytes of an incomplete event are buffered; a longer
// event is forwarded as it arrives.
const maxPartialEvent = 1 << 20

// eventSplitter splits a stream of server-sent events at event boundaries.
type eventSplitter struct {
	// partial is the start of an event that is not complete yet.
	partial []byte
	// lastID is the id of the last complete event that had one.
	lastID string
	// events counts complete events.
	events int
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// split adds the next bytes and returns the complete events received so far. The slice is
// valid until the next call.
func (s *eventSplitter) split(part []byte) []byte {
	s.partial = append(s.partial, part...)
	end := bytes.LastIndex(s.partial, eventEnd)
	if end < 0 && len(s.partial) < maxPartialEvent {
		return nil
	}
	if end < 0 {
		whole := s.partial
		s.partial = nil
		return whole
	}
	whole := s.partial[:end+len(eventEnd)]
	s.scan(whole)
	rest := bytes.Clone(s.partial[end+len(eventEnd):])
	s.partial = rest
	return whole
}

func (s *eventSplitter) scan(whole []byte) {
	s.events += bytes.Count(whole, eventEnd)
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			s.lastID = string(bytes.TrimSpace(value))
		}
	}
}
