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
	"answered":        "it was answered",
	"left":            "its caller left",
	"cut":             "its answer had begun and could not be ended",
	"timeout":         "its time was over",
	"crowded":         "stages were too full when it came, it would have been late",
	"late":            "a stage's owner told that it would not be reached in time",
	"overload":        "servers turned it away, and no retry was left",
	"deadline":        "less time was left than it takes at idle servers",
	"no_server":       "no server takes it: all are gone, leave, or are in evacuated zones",
	"unreachable":     "no host was known to reach any backend server",
	"resting":         "all servers had asked the host for rest or had used up their rate limits",
	"harmful":         "servers ended under requests like it",
	"harmful_part":    "servers ended under requests that have a part of its prompt",
	"version_unknown": "its caller took a stream up, no host knew which software version began it, and it is not known that only one has served of late",
	"version_gone":    "no server of the software version that began the stream is left",
	"server_failed":   "its server failed or broke off, and it may not run again",
	"not_ready":       "the host had no configuration, or could not confirm it",
	"no_key":          "its key is in no configuration",
	"no_route":        "its path is in no configuration",
	"unusable_route":  "its route, or a service that it needs, can't be used as configured; the log of the version in force says why",
	"stages_left_out": "one of its stages needs results, and it leaves out all stages before that one",
	"leaving":         "the host was about to end",
	"refused":         "a server turned it away",
	"connection":      "a connection broke",
}

// stateChanges are the messages of log lines that record a change in the state on which a host
// bases its decisions. The value is the field that has to match a server of the request; with
// an empty value the line is relevant to every request.
var stateChanges = map[string]string{
	"configuration in force":                                "",
	"the platform does not answer":                          "",
	"the platform answers again":                            "",
	"the platform lost writes and is in a new era":          "",
	"the process stood still; confirming the configuration": "",
	"hosts known": "",
	"the software versions before this host's start are not known":         "",
	"learned which software versions servers had before this host's start": "",
	"backend server listed":                                  "server",
	"backend server lapsed":                                  "server",
	"backend server gone":                                    "server",
	"a backend server leaves":                                "server",
	"a backend server asks for rest":                         "server",
	"a backend server states a rate limit":                   "server",
	"a backend server lifts its rate limit":                  "server",
	"a backend server is brittle":                            "server",
	"a backend server is not brittle any more":               "server",
	"the rate limit of a backend server is used up":          "server",
	"a host that grants permits for a backend server failed": "server",
	"the first event is overdue":                             "server",
	"the owner of a stage pool failed; asking the next":      "",
	"the owner of an engine pool failed":                     "",
	linksLostMessage:                                         "",
	linksBackMessage:                                         "",
	"no host reaches any backend server":                     "",
	"some host may reach a backend server again":             "",
	"leaving": "",
}

// goesOnMessage is the message of the log line of a stream that broke off and goes on.
const goesOnMessage = "stream broke off, and goes on at another backend server"

// Trace is the trace of one request through the logs.
type Trace struct {
	Request string
	// Lines are the lines of the request, in order of time.
	Lines []Line
	// StateChanges are the latest state changes of each kind, for each server of the request, that
	// the host that accepted the request logged before the request ended.
	StateChanges []Line
	// Crashes are the lines of all hosts about crashes under requests with the same digest, and about
	// the answers that outweighed them, in order of time.
	Crashes []Line
	// MissingHosts are the hosts that the lines refer to and whose logs were not given.
	MissingHosts []string
	// LastLine is the last line of the request. Ended is false if no log contains it.
	LastLine Line
	Ended    bool

	// loss is the loss of links that explains how the request ended, or nil.
	loss *linkLoss
}

// RequestTrace returns the trace of the request with the given id. Its error wraps ErrUnknown
// if no log mentions the request.
func (g *Logs) RequestTrace(id string) (Trace, error) {
	t := Trace{Request: id, Lines: g.requestLines(id)}
	if len(t.Lines) == 0 {
		return Trace{}, fmt.Errorf("%w: %s: read the logs of %d hosts; the log of the host that accepted it may be missing", ErrUnknown, id, len(g.hosts))
	}
	t.MissingHosts = g.missingHosts(t.Lines)
	for _, l := range t.Lines {
		if l.Message == endMessage {
			t.LastLine, t.Ended = l, true
		}
	}
	if t.Ended {
		t.StateChanges = g.latestStateChanges(t)
		t.Crashes = g.crashes(t)
		if loss, ok := g.linkLossOf(t.LastLine); ok {
			t.loss = &loss
		}
	}
	return t, nil
}

// latestStateChanges returns the latest state change of each kind, for each server of the
// request, on the host that accepted the request, up to the end of the request.
func (g *Logs) latestStateChanges(t Trace) []Line {
	servers := make(map[string]bool)
	for _, l := range t.Lines {
		servers[l.textField("server")] = true
	}
	last := make(map[string]Line)
	for _, l := range g.lines {
		serverField, ok := stateChanges[l.Message]
		if !ok || l.Host != t.LastLine.Host || l.Time.After(t.LastLine.Time) || serverField != "" && !servers[l.textField(serverField)] {
			continue
		}
		last[l.Message+" "+l.textField(serverField)] = l
	}
	return slices.SortedFunc(maps.Values(last), func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write writes the trace as text.
func (t Trace) Write(w io.Writer) error {
	var b strings.Builder
	t.writeSummary(&b)
	for _, l := range t.Lines {
		fmt.Fprintf(&b, "  %s  %s  %s%s\n", l.Time.Format(timeLayout), l.Host, l.Message, formatFields(l))
	}
	if len(t.StateChanges) > 0 {
		fmt.Fprintf(&b, "what %s believed, and for how long:\n", t.LastLine.Host)
		for _, l := range t.StateChanges {
			fmt.Fprintf(&b, "  %s  %s%s\n", t.LastLine.Time.Sub(l.Time).Round(time.Millisecond), l.Message, formatFields(l))
		}
	}
	t.writeVersions(&b)
	t.writeSilence(&b)
	t.writeBadAnswers(&b)
	t.writeCrashes(&b)
	t.writeAnswerEnd(&b)
	t.writeTimes(&b)
	for _, host := range t.MissingHosts {
		fmt.Fprintf(&b, "the log of %s is missing: it was asked for this request\n", host)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeSummary writes how the request ended and why.
func (t Trace) writeSummary(b *strings.Builder) {
	if !t.Ended {
		fmt.Fprintf(b, "request %s: no log has its end; that of the host which took it is missing, or it was under way\n", t.Request)
		return
	}
	outcome := t.LastLine.textField("outcome")
	cause, ok := causes[outcome]
	if !ok {
		cause = outcome
	}
	fmt.Fprintf(b, "request %s on %s, workspace %s: %s: %s\n", t.Request, t.LastLine.textField("route"), t.LastLine.textField("workspace"), outcome, cause)
	if t.loss != nil {
		fmt.Fprintf(b, "its host could not send it to a server: %v\n", *t.loss)
	}
}

// writeVersions writes at which software versions the parts of a stream ran, if it broke off or was taken
// up.
func (t Trace) writeVersions(b *strings.Builder) {
	var parts []string
	for _, l := range t.Lines {
		if l.Message == goesOnMessage || l.Message == endMessage {
			if server := l.textField("server"); server != "" {
				parts = append(parts, fmt.Sprintf("%s (version %s)", server, l.textField("version")))
			}
		}
	}
	continues, _ := t.LastLine.Fields["continues"].(bool)
	if continues {
		fmt.Fprintf(b, "its caller took up the stream that attempt %q began", t.LastLine.textField("origin"))
		if evidence := t.LastLine.textField("version_evidence"); evidence != "" {
			fmt.Fprintf(b, " at version %q (evidence: %s)", t.LastLine.textField("stream_version"), evidence)
		}
		b.WriteString("\n")
	}
	if continues && len(parts) > 0 || len(parts) > 1 {
		fmt.Fprintf(b, "ran at %s\n", strings.Join(parts, ", then "))
	}
}

// writeAnswerEnd writes how the last answer of a server ended, unless its end was marked.
func (t Trace) writeAnswerEnd(b *strings.Builder) {
	l := t.LastLine
	partial, _ := l.Fields["partial_bytes"].(float64)
	unverified, _ := l.Fields["end_unverified"].(bool)
	if !t.Ended || partial == 0 && !unverified && l.textField("framing") != "connection" {
		return
	}
	fmt.Fprintf(b, "answer of %s: framing %s", l.textField("server"), l.textField("framing"))
	if partial > 0 {
		fmt.Fprintf(b, "; it ended inside an event, of which %.0f bytes had come", partial)
	}
	if unverified {
		b.WriteString("; nothing shows that it is whole, so it counts only if its server was up after it")
	}
	b.WriteString("\n")
}

// writeTimes writes how long the parts of the request took.
func (t Trace) writeTimes(b *strings.Builder) {
	if !t.Ended {
		return
	}
	stages, first, took := t.LastLine.durationField("stages_ms"), t.LastLine.durationField("first_ms"), t.LastLine.durationField("took_ms")
	fmt.Fprintf(b, "time: %v in all of %v, in time within %v", took, t.LastLine.durationField("held_ms"), t.LastLine.durationField("objective_ms"))
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
