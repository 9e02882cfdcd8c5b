// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import "bytes"

// maxPartialEvent limits how many bytes of an incomplete event are buffered; a longer
// event is forwarded as it arrives.
const maxPartialEvent = 1 << 20

// eventSplitter splits a stream of server-sent events at event boundaries. Lines end with LF, CR
// or both, as the WHATWG HTML standard defines in "Parsing an event stream".
type eventSplitter struct {
	// partial holds the bytes after the last boundary: the start of an event that is not complete
	// yet, or of a comment.
	partial []byte
	// scanned is the number of bytes of partial that were read, and lineStart the start of the
	// line that they end in.
	scanned   int
	lineStart int
	// lineFirst is the first byte of that line if the line was forwarded in part, 0 otherwise.
	lineFirst byte
	// afterCR reports whether the last line ended with a CR; an LF that follows belongs to it.
	// pairs reports whether an LF has followed a CR.
	afterCR bool
	pairs   bool
	// afterFirstLine reports whether a line has ended. The first one may begin with a byte order
	// mark.
	afterFirstLine bool
	// inside reports whether a field of an event that is not complete yet has been read, and
	// nextID is the id of that event.
	inside bool
	nextID string
	// partForwarded reports whether a part of an incomplete event, or of a comment, was forwarded.
	partForwarded bool
	// eventsBefore is the number of events of earlier servers.
	eventsBefore int
	// lastID is the id of the last complete event that had one. afterID reports whether an event
	// without an id has followed.
	lastID  string
	afterID bool
	// events counts complete events.
	events int
}

var (
	byteOrderMark = []byte("\ufeff")
	idField       = []byte("id:")
)

// restart begins with the stream of another server, which goes on after the last complete event.
func (s *eventSplitter) restart() {
	*s = eventSplitter{lastID: s.lastID, afterID: s.afterID, events: s.events, eventsBefore: s.events, partForwarded: s.partForwarded}
}

// resumeAfter goes on with a stream after an event that another host has forwarded; it does nothing
// if there is none.
func (s *eventSplitter) resumeAfter(id string) {
	if id != "" {
		s.lastID, s.events = id, 1
	}
}

// split adds the next bytes and returns those up to the last event boundary. The slice is valid
// until the next call.
func (s *eventSplitter) split(part []byte) []byte {
	s.partial = append(s.partial, part...)
	if !s.dropMark() {
		return nil
	}
	end := s.scan()
	if end == 0 && len(s.partial) < maxPartialEvent {
		return nil
	}
	if end == 0 {
		s.partForwarded = true
		if s.lineFirst == 0 && s.lineStart < len(s.partial) {
			s.lineFirst = s.partial[s.lineStart]
		}
		end = len(s.partial)
	}
	forwarded := s.partial[:end]
	s.partial = bytes.Clone(s.partial[end:])
	s.scanned -= end
	s.lineStart = max(s.lineStart-end, 0)
	return forwarded
}

// scan reads the lines that have ended, and returns the number of bytes up to the last boundary.
func (s *eventSplitter) scan() int {
	boundary := 0
	for s.scanned < len(s.partial) {
		if s.afterCR && s.partial[s.scanned] == '\n' {
			s.scanned++
			s.pairs = true
		} else {
			length := bytes.IndexAny(s.partial[s.scanned:], "\r\n")
			if length < 0 {
				s.afterCR = false
				s.scanned = len(s.partial)
				break
			}
			end := s.scanned + length
			s.endLine(s.partial[s.lineStart:end])
			s.scanned = end + 1
		}
		s.afterCR = s.partial[s.scanned-1] == '\r'
		s.lineStart = s.scanned
		if !s.inside {
			boundary = s.scanned
		}
	}
	return boundary
}

// endLine reads a line; if lineFirst is set, it is the rest of one.
func (s *eventSplitter) endLine(line []byte) {
	line = s.trimMark(line)
	first := s.lineFirst
	s.lineFirst, s.afterFirstLine = 0, true
	if first == 0 && len(line) > 0 {
		first = line[0]
	}
	switch first {
	case 0:
		s.endEvent()
	case ':':
		// A comment is no part of an event.
		s.partForwarded = s.partForwarded && s.inside
	default:
		s.inside = true
		if value, ok := bytes.CutPrefix(line, idField); ok && first == line[0] {
			s.nextID = string(bytes.TrimSpace(value))
		}
	}
}

// endEvent ends an event at a blank line.
func (s *eventSplitter) endEvent() {
	if !s.inside {
		return
	}
	s.events++
	if s.nextID != "" {
		s.lastID = s.nextID
	}
	s.afterID = s.nextID == ""
	s.inside, s.nextID, s.partForwarded = false, "", false
}

// trimMark removes a byte order mark from the start of the stream.
func (s *eventSplitter) trimMark(line []byte) []byte {
	if s.afterFirstLine {
		return line
	}
	return bytes.TrimPrefix(line, byteOrderMark)
}

// dropMark drops the byte order mark of a server that goes on with a stream: it would stand inside
// the stream for the caller. It reports false while more bytes are needed to decide.
func (s *eventSplitter) dropMark() bool {
	if s.eventsBefore == 0 || s.afterFirstLine || s.scanned > 0 {
		return true
	}
	if len(s.partial) < len(byteOrderMark) && bytes.HasPrefix(byteOrderMark, s.partial) {
		return false
	}
	s.partial = bytes.TrimPrefix(s.partial, byteOrderMark)
	return true
}

// canResume reports whether another server can go on after what was forwarded. It can't if a part of an
// event was, or an event that no id names.
func (s *eventSplitter) canResume() bool {
	return !s.partForwarded && !s.afterID
}

// brokenOff reports whether a stream that ends here was broken off: inside an event, or between the CR
// and the LF of a line end.
func (s *eventSplitter) brokenOff() bool {
	return s.insideEvent() || s.afterCR && s.pairs
}

// hasEvent reports whether the current server has sent a complete event.
func (s *eventSplitter) hasEvent() bool {
	return s.events > s.eventsBefore
}

// insideEvent reports whether an event has begun that is not complete.
func (s *eventSplitter) insideEvent() bool {
	if s.inside || s.lineFirst != 0 {
		return s.inside || s.lineFirst != ':'
	}
	line := s.trimMark(s.partial[s.lineStart:])
	return len(line) > 0 && line[0] != ':'
}
