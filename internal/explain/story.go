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

// ErrUnknown says that no log has a request.
var ErrUnknown = errors.New("explain: no line names the request")

// causes name why a request ended so, by its outcome.
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

// beliefs are the lines by which a host's belief changed that may have decided, with the
// field that ties them to a request's server; empty ties them to any.
var beliefs = map[string]string{
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

// Story is the way of one request.
type Story struct {
	Request string
	// Lines are the request's own, in order of time.
	Lines []Line
	// Beliefs are what the host that took it last learnt of each kind, and of its servers,
	// before it ended.
	Beliefs []Line
	// Missing are the hosts that its lines name and whose logs were not given.
	Missing []string
	// End is its last line; Ended is false where no log has one.
	End   Line
	Ended bool
}

// Of tells the way of a request. Its error is ErrUnknown.
func (g *Logs) Of(id string) (Story, error) {
	s := Story{Request: id, Lines: g.of(id)}
	if len(s.Lines) == 0 {
		return Story{}, fmt.Errorf("%w: %s; logs of %d hosts were read, that of the host which took it may be missing", ErrUnknown, id, len(g.hosts))
	}
	s.Missing = g.missing(s.Lines)
	for _, l := range s.Lines {
		if l.Message == ended {
			s.End, s.Ended = l, true
		}
	}
	if s.Ended {
		s.Beliefs = g.beliefsOf(s)
	}
	return s, nil
}

// beliefsOf returns the last line of each kind of belief that the host which took a request
// had when that ended.
func (g *Logs) beliefsOf(s Story) []Line {
	servers := make(map[string]bool)
	for _, l := range s.Lines {
		servers[l.text("server")] = true
	}
	last := make(map[string]Line)
	for _, l := range g.lines {
		tie, ok := beliefs[l.Message]
		if !ok || l.Host != s.End.Host || l.At.After(s.End.At) || tie != "" && !servers[l.text(tie)] {
			continue
		}
		last[l.Message+" "+l.text(tie)] = l
	}
	return slices.SortedFunc(maps.Values(last), func(a, b Line) int { return a.At.Compare(b.At) })
}

// Write writes the story for people.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	s.head(&b)
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "  %s  %s  %s%s\n", l.At.Format(clock), l.Host, l.Message, fieldsOf(l))
	}
	if len(s.Beliefs) > 0 {
		fmt.Fprintf(&b, "what %s believed, and for how long:\n", s.End.Host)
		for _, l := range s.Beliefs {
			fmt.Fprintf(&b, "  %s  %s%s\n", s.End.At.Sub(l.At).Round(time.Millisecond), l.Message, fieldsOf(l))
		}
	}
	s.times(&b)
	for _, host := range s.Missing {
		fmt.Fprintf(&b, "the log of %s is missing: it was asked for this request\n", host)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// head tells how the request ended and why.
func (s Story) head(b *strings.Builder) {
	if !s.Ended {
		fmt.Fprintf(b, "request %s: no log has its end; that of the host which took it is missing, or it was under way\n", s.Request)
		return
	}
	outcome := s.End.text("outcome")
	cause, ok := causes[outcome]
	if !ok {
		cause = outcome
	}
	fmt.Fprintf(b, "request %s on %s, workspace %s: %s: %s\n", s.Request, s.End.text("route"), s.End.text("workspace"), outcome, cause)
}

// times tells where the time went.
func (s Story) times(b *strings.Builder) {
	if !s.Ended {
		return
	}
	stages, first, took := s.End.milliseconds("stages_ms"), s.End.milliseconds("first_ms"), s.End.milliseconds("took_ms")
	fmt.Fprintf(b, "time: %v in all of %v, in time within %v", took, s.End.milliseconds("held_ms"), s.End.milliseconds("objective_ms"))
	if stages > 0 {
		fmt.Fprintf(b, "; stages %v", stages)
	}
	if first > 0 {
		fmt.Fprintf(b, "; %v from there to the first byte, %v to the end", first-stages, took-first)
	}
	b.WriteString("\n")
}

// fieldsOf returns a line's fields in order, for people.
func fieldsOf(l Line) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
