// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// lineMost bounds one line: the longest is a pool's state with 60 servers.
	lineMost = 1 << 20
	// clock is the form of the time of day in a line.
	clock = "15:04:05.000"
)

// Line is one line of a host's log.
type Line struct {
	// At is the time of day by the host's clock.
	At time.Time
	// Host is the address that callers reach it at.
	Host    string
	Message string
	// Request is the id of the request that it is about; empty is none.
	Request string
	// Fields are all others that it has.
	Fields map[string]any
}

// text returns a field as text; empty where it is missing.
func (l Line) text(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// milliseconds returns a field that tells a time; 0 where it is missing.
func (l Line) milliseconds(name string) time.Duration {
	ms, _ := l.Fields[name].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Read reads one log: a JSON object a line, whatever stands before it. It returns the lines
// in order and how many could not be read.
func Read(r io.Reader) (lines []Line, unread int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), lineMost)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		l, ok := parse(text)
		if !ok {
			unread++
			continue
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("explain: %w", err)
	}
	return lines, unread, nil
}

// parse reads one line; it reports false for what is none.
func parse(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Host, l.Message, l.Request = l.text("node"), l.text("msg"), l.text("request")
	at, err := time.Parse(clock, l.text("time"))
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.At = at
	for _, name := range []string{"node", "msg", "request", "time", "level"} {
		delete(fields, name)
	}
	return l, true
}
