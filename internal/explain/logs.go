// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"cmp"
	"slices"
	"time"
)

// endMessage is the message of the last line of a request, on the host that accepted it.
const endMessage = "request ended"

// Logs holds the merged logs of several hosts. The zero value is empty and ready to use.
type Logs struct {
	// lines are sorted by time.
	lines []Line
	// hosts is the set of hosts that wrote a line.
	hosts map[string]bool
	// Unparsed is the number of lines that could not be parsed.
	Unparsed int
}

// Add adds the lines of one host, and the number of its lines that could not be parsed.
func (g *Logs) Add(lines []Line, unread int) {
	if g.hosts == nil {
		g.hosts = make(map[string]bool)
	}
	for _, l := range lines {
		g.hosts[l.Host] = true
	}
	g.lines = append(g.lines, lines...)
	slices.SortStableFunc(g.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	g.Unparsed += unread
}

// Filter selects requests that have ended. A field with its zero value selects all of them.
type Filter struct {
	// Outcome is the outcome that requests ended with.
	Outcome string
	// Since is the earliest time of day at which requests ended.
	Since time.Time
	// MaxRequests is the maximum number of requests. Those that took longest are selected.
	MaxRequests int
}

// matches reports whether the filter selects the request whose last line is l.
func (f Filter) matches(l Line) bool {
	if f.Outcome != "" && l.textField("outcome") != f.Outcome {
		return false
	}
	// Times of day are in year 0, which is before the zero time.
	return f.Since.IsZero() || !l.Time.Before(f.Since)
}

// Requests returns the ids of the requests that a filter selects, the slowest first.
func (g *Logs) Requests(f Filter) []string {
	var ends []Line
	for _, l := range g.lines {
		if l.Message == endMessage && f.matches(l) {
			ends = append(ends, l)
		}
	}
	slices.SortStableFunc(ends, func(a, b Line) int { return cmp.Compare(b.durationField("took_ms"), a.durationField("took_ms")) })
	if f.MaxRequests > 0 {
		ends = ends[:min(len(ends), f.MaxRequests)]
	}
	ids := make([]string, 0, len(ends))
	for _, l := range ends {
		ids = append(ids, l.Request)
	}
	return ids
}

// missingHosts returns the hosts that the lines of a request refer to and whose logs were
// not added, sorted.
func (g *Logs) missingHosts(lines []Line) []string {
	var hosts []string
	for _, l := range lines {
		for _, name := range []string{"owner", "peer"} {
			if host := l.textField(name); host != "" && !g.hosts[host] && !slices.Contains(hosts, host) {
				hosts = append(hosts, host)
			}
		}
		if host := l.textField(forwardField); l.Message == forwardMessage && !g.hasHostAt(host) && !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// requestLines returns the lines of a request in order of time.
func (g *Logs) requestLines(id string) []Line {
	var lines []Line
	for _, l := range g.lines {
		if l.Request == id {
			lines = append(lines, l)
		}
	}
	return lines
}
