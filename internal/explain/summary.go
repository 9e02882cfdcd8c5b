// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
	"unicode"
)

const (
	// maxRows bounds the rows of each table. Requests with a further name are counted together
	// under otherRows, so that logs with very many names do not exhaust memory.
	maxRows   = 1024
	otherRows = "(others)"
	// maxNameBytes bounds the length of a name.
	maxNameBytes = 128
	// noName stands for a missing name, such as the workspace of a public route.
	noName = "-"
)

// Summary counts how requests ended, and where the time of late ones went, for each route,
// workspace, zone and pool. Its memory is bounded, whatever it reads.
type Summary struct {
	// since is the earliest time of day at which counted requests ended, zero for all.
	since time.Time
	// requests is the number of requests counted, and unread that of lines that could not be
	// read.
	requests, unread int
	routes           table
	workspaces       table
	zones            table
	// pools counts a request in each pool that it passed, with its times there.
	pools   table
	engines engineTable
}

// NewSummary returns an empty summary of the requests that ended at or after a time of day, or
// of all requests if it is zero.
func NewSummary(since time.Time) *Summary {
	s := &Summary{
		since: since, routes: newTable("route"), workspaces: newTable("workspace"), zones: newTable("zone"), pools: newTable("pool"), engines: newEngineTable(),
	}
	s.pools.stagesOnly = true
	return s
}

// Read adds one log, with one JSON object per line after an optional prefix. Lines that cannot
// be read are counted. Its error is that of the reader.
func (s *Summary) Read(r io.Reader) error {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		switch {
		case tooLong:
			s.unread++
		case len(bytes.TrimSpace(line)) > 0:
			s.add(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("explain: %w", err)
		}
	}
}

// add counts one line.
func (s *Summary) add(text []byte) {
	l, kind := parseEndLine(text)
	switch kind {
	case lineUnreadable:
		s.unread++
		return
	case lineOther:
		return
	}
	// Times of day are in year 0, which is before the zero time.
	if !s.since.IsZero() && l.at.Before(s.since) {
		return
	}
	s.requests++
	ended, lost := l.result(), l.lostTime()
	s.routes.add(l.Route, ended, lost)
	s.workspaces.add(l.Workspace, ended, lost)
	s.zones.add(l.Zone, ended, lost)
	for pool, times := range l.poolTimes() {
		s.pools.add(pool, ended, times)
	}
	if l.EngineSpeed > 0 && l.Server != "" {
		s.engines.add(cleanName(l.Server), l.EngineSpeed, ended)
	}
}

// parts is where the time of a request went, in milliseconds. room is part of queue.
type parts struct {
	queue, call, room float64
	// engine is the time from the end of the stages to the first event, and gap the part of the
	// longest gap over its limit.
	engine, gap float64
}

// add adds the times of another request.
func (p *parts) add(other parts) {
	p.queue += other.queue
	p.call += other.call
	p.room += other.room
	p.engine += other.engine
	p.gap += other.gap
}

// lostTime returns where the time of a request went.
func (l *endLine) lostTime() parts {
	var p parts
	for _, stage := range l.stages {
		p.add(parts{queue: stage.queue, call: stage.call, room: stage.room})
	}
	if l.FirstTime > 0 {
		p.engine = max(l.FirstTime-l.StagesTime, 0)
	}
	if l.GapLimit > 0 {
		p.gap = max(l.LongestGap-l.GapLimit, 0)
	}
	return p
}

// poolTimes returns the times of a request in each pool that it passed.
func (l *endLine) poolTimes() map[string]parts {
	pools := make(map[string]parts, len(l.stages))
	for _, stage := range l.stages {
		p := pools[stage.pool]
		p.add(parts{queue: stage.queue, call: stage.call, room: stage.room})
		pools[stage.pool] = p
	}
	return pools
}

// cleanName returns a name that is safe to print and of bounded length.
func cleanName(name string) string {
	if name == "" {
		return noName
	}
	name = strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, strings.ToValidUTF8(name[:min(len(name), maxNameBytes)], ""))
	// The strings of a decoded line must not be kept alive by its short names.
	return strings.Clone(name)
}
