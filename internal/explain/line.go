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
	// maxLineBytes limits the length of one line. The longest lines hold the state of a pool
	// with 60 servers.
	maxLineBytes = 1 << 20
	// timeLayout is the layout of the time of day in a line.
	timeLayout = "15:04:05.000"
)

// Line is one line of a host's log.
type Line struct {
	// Time is the time of day by the host's clock. Its date is January 1 of year 0.
	Time time.Time
	// Host is the address at which callers reach the host that wrote the line.
	Host    string
	Message string
	// Request is the id of the request that the line is about. It is empty if there is none.
	Request string
	// Fields are the remaining fields of the line by name.
	Fields map[string]any
}

// textField returns a field as text. It returns "" if the field is missing.
func (l Line) textField(name string) string {
	v, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// durationField returns a field that holds milliseconds as a duration. It returns 0 if the
// field is missing or not a number.
func (l Line) durationField(name string) time.Duration {
	ms, _ := l.Fields[name].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Read reads one log, with one JSON object per line after an optional prefix. It returns the
// lines in order and the number of lines that could not be parsed.
func Read(r io.Reader) (lines []Line, unread int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		l, ok := parseLine(text)
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

// parseLine parses one line of a log. It returns false if the line holds no JSON object, no
// message or no valid time.
func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Host, l.Message, l.Request = l.textField("node"), l.textField("msg"), l.textField("request")
	at, err := time.Parse(timeLayout, l.textField("time"))
	if err != nil || l.Message == "" {
		return Line{}, false
	}
	l.Time = at
	for _, name := range []string{"node", "msg", "request", "time", "level"} {
		delete(fields, name)
	}
	return l, true
}
