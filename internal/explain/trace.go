// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// ErrUnknown is returned for a request that no log mentions.
var ErrUnknown = errors.New("explain: request not found in any log")

// causes explains each outcome of a request.
var causes = map[string]string{
	"answered":      "it was answered",
	"left":          "its caller left",
	"cut":           "its answer had begun and could not be ended",
	"timeout":       "its time was over",
	"crowded":       "stages were too full when it came, it would have been late",
	"late":          "a stage's owner told that it would not be reached in time",
	"overload":      "servers turned it away, and no retry was left",
	"deadline":      "less time was left than it takes at idle servers",
	"no_server":     "no server takes it: all are gone, leave, or are in evacuated zones",
	"resting":       "all servers had asked the host for rest",
	"harmful":       "servers ended under requests like it",
	"server_failed": "its server failed or broke off, and it may not run again",
	"not_ready":     "the host had no configuration, or could not confirm it",
	"no_key":        "its key is in no configuration",
	"no_route":      "its path is in no configuration",
	"leaving":       "the host was about to end",
	"refused":       "a server turned it away",
	"connection":    "a connection broke",
}

// stateChanges are the messages of log lines that record a change in the state on which a host
// bases its decisions. The value is the field that has to match a server of the request; with
// an empty value the line is relevant to every request.
var stateChanges = map[string]string{
	"configuration in force":                                "",
	"the platform does not answer":                          "",
	"the platform answers again":                            "",
	"the process stood still; confirming the configuration": "",
	"hosts known":                                           "",
	"backend server listed":                                 "server",
	"backend server lapsed":                                 "server",
	"backend server gone":                                   "server",
	"a backend server leaves":                               "server",
	"a backend server asks for rest":                        "server",
	"the first event is overdue":                            "server",
	"the owner of a stage pool failed; asking the next":     "",
	"the owner of an engine pool failed":                    "",
	"leaving":                                               "",
}

// Story is the trace of one request through the logs.
type Story struct {
	Request string
	// Lines are the lines of the request, in order of time.
	Lines []Line
	// Beliefs are the latest state changes of each kind, for each server of the request, that
	// the host that accepted the request logged before the request ended.
	Beliefs []Line
	// Missing are the hosts that the lines refer to and whose logs were not given.
	Missing []string
	// End is the last line of the request. Ended is false if no log contains it.
	End   Line
	Ended bool
}

// Of returns the trace of the request with the given id. Its error wraps ErrUnknown if no log
// mentions the request.
func (g *Logs) Of(id string) (Story, error) {
	s := Story{Request: id, Lines: g.requestLines(id)}
	if len(s.Lines) == 0 {
		return Story{}, fmt.Errorf("%w: %s: read the logs of %d hosts; the log of the host that accepted it may be missing", ErrUnknown, id, len(g.hosts))
	}
	s.Missing = g.missingHosts(s.Lines)
	for _, l := range s.Lines {
		if l.Message == endMessage {
			s.End, s.Ended = l, true
		}
	}
	if s.Ended {
		s.Beliefs = g.latestStateChanges(s)
	}
	return s, nil
}

// latestStateChanges returns the latest state change of each kind, for each server of the
// request, on the host that accepted the request, up to the end of the request.
func (g *Logs) latestStateChanges(s Story) []Line {
	servers := make(map[string]bool)
	for _, l := range s.Lines {
		servers[l.textField("server")] = true
	}
	last := make(map[string]Line)
	for _, l := range g.lines {
		serverField, ok := stateChanges[l.Message]
		if !ok || l.Host != s.End.Host || l.At.After(s.End.At) || serverField != "" && !servers[l.textField(serverField)] {
			continue
		}
		last[l.Message+" "+l.textField(serverField)] = l
	}
	return slices.SortedFunc(maps.Values(last), func(a, b Line) int { return a.At.Compare(b.At) })
}

// Write writes the trace as text.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	s.writeSummary(&b)
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "  %s  %s  %s%s\n", l.At.Format(timeLayout), l.Host, l.Message, formatFields(l))
	}
	if len(s.Beliefs) > 0 {
		fmt.Fprintf(&b, "what %s believed, and for how long:\n", s.End.Host)
		for _, l := range s.Beliefs {
			fmt.Fprintf(&b, "  %s  %s%s\n", s.End.At.Sub(l.At).Round(time.Millisecond), l.Message, formatFields(l))
		}
	}
	s.writeTimes(&b)
	for _, host := range s.Missing {
		fmt.Fprintf(&b, "the log of %s is missing: it was asked for this request\n", host)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeSummary writes how the request ended and why.
func (s Story) writeSummary(b *strings.Builder) {
	if !s.Ended {
		fmt.Fprintf(b, "request %s: no log has its end; that of the host which took it is missing, or it was under way\n", s.Request)
		return
	}
	outcome := s.End.textField("outcome")
	cause, ok := causes[outcome]
	if !ok {
		cause = outcome
	}
	fmt.Fprintf(b, "request %s on %s, workspace %s: %s: %s\n", s.Request, s.End.textField("route"), s.End.textField("workspace"), outcome, cause)
}

// writeTimes writes how long the parts of the request took.
func (s Story) writeTimes(b *strings.Builder) {
	if !s.Ended {
		return
	}
	stages, first, took := s.End.durationField("stages_ms"), s.End.durationField("first_ms"), s.End.durationField("took_ms")
	fmt.Fprintf(b, "time: %v in all of %v, in time within %v", took, s.End.durationField("held_ms"), s.End.durationField("objective_ms"))
	if stages > 0 {
		fmt.Fprintf(b, "; stages %v", stages)
	}
	if first > 0 {
		fmt.Fprintf(b, "; %v from there to the first byte, %v to the end", first-stages, took-first)
	}
	b.WriteString("\n")
}

// formatFields returns the fields of a line as text, sorted by name.
func formatFields(l Line) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
