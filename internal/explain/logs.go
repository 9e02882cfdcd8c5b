// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"cmp"
	"slices"
	"time"
)

// ended is the last line of a request, on the host that took it.
const ended = "request ended"

// Logs are those of some hosts.
type Logs struct {
	// lines are in order of time.
	lines []Line
	hosts map[string]bool
	// Unread counts lines that could not be read.
	Unread int
}

// Add takes in one host's lines.
func (g *Logs) Add(lines []Line, unread int) {
	if g.hosts == nil {
		g.hosts = make(map[string]bool)
	}
	for _, l := range lines {
		g.hosts[l.Host] = true
	}
	g.lines = append(g.lines, lines...)
	slices.SortStableFunc(g.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	g.Unread += unread
}

// Filter chooses requests; zero fields choose all.
type Filter struct {
	Outcome string
	// Since is the time of day from which on they ended.
	Since time.Time
	// Slowest is how many are chosen, those that took longest.
	Slowest int
}

// chooses reports whether a filter chooses a request by its last line.
func (f Filter) chooses(l Line) bool {
	if f.Outcome != "" && l.text("outcome") != f.Outcome {
		return false
	}
	// Times of day are of the year 0, before the zero time.
	return f.Since.IsZero() || !l.At.Before(f.Since)
}

// Requests returns the ids of the requests that a filter chooses, the slowest first.
func (g *Logs) Requests(f Filter) []string {
	var ends []Line
	for _, l := range g.lines {
		if l.Message == ended && f.chooses(l) {
			ends = append(ends, l)
		}
	}
	slices.SortStableFunc(ends, func(a, b Line) int { return cmp.Compare(b.milliseconds("took_ms"), a.milliseconds("took_ms")) })
	if f.Slowest > 0 {
		ends = ends[:min(len(ends), f.Slowest)]
	}
	ids := make([]string, 0, len(ends))
	for _, l := range ends {
		ids = append(ids, l.Request)
	}
	return ids
}

// missing returns the hosts that a request's lines name and whose logs are not among
// these.
func (g *Logs) missing(lines []Line) []string {
	var hosts []string
	for _, l := range lines {
		for _, name := range []string{"owner", "peer"} {
			if host := l.text(name); host != "" && !g.hosts[host] && !slices.Contains(hosts, host) {
				hosts = append(hosts, host)
			}
		}
	}
	slices.Sort(hosts)
	return hosts
}

// of returns the lines of a request.
func (g *Logs) of(id string) []Line {
	var lines []Line
	for _, l := range g.lines {
		if l.Request == id {
			lines = append(lines, l)
		}
	}
	return lines
}
