// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"fmt"
	"slices"
	"strings"
)

// Messages of the log lines of crashes of backend servers, and of answers that outweigh them.
const (
	crashMessage   = "a backend server crashed while serving a request"
	clearedMessage = "an answer cleared a request of crashes"
)

// crashes returns the lines of all hosts about crashes under requests with the digest of a trace, or with
// the part of a prompt that it was refused for, in order of time.
func (g *Logs) crashes(t Trace) []Line {
	digest, part := t.LastLine.textField("digest"), t.LastLine.textField("part")
	if digest == "" {
		return nil
	}
	var lines []Line
	for _, l := range g.lines {
		switch {
		case l.Message != crashMessage && l.Message != clearedMessage:
		case l.textField("digest") == digest, part != "" && l.hasPart(part):
			lines = append(lines, l)
		}
	}
	return lines
}

// hasPart reports whether a line names a part of a prompt.
func (l Line) hasPart(part string) bool {
	parts, _ := l.Fields["parts"].([]any)
	return slices.Contains(parts, any(part))
}

// writeCrashes writes which servers crashed under requests like this one, and which answers outweighed
// that.
func (t Trace) writeCrashes(b *strings.Builder) {
	if part := t.LastLine.textField("part"); part != "" {
		fmt.Fprintf(b, "it was refused for part %s of its prompt, which these requests had as well:\n", part)
	}
	for _, l := range t.Crashes {
		fmt.Fprintf(b, "%s  ", l.Time.Format(timeLayout))
		if l.Message == clearedMessage {
			fmt.Fprintf(b, "cleared of %s crashes by attempt %s, which %s answered (framing %s)\n", l.textField("ends"), l.Request, l.textField("server"), l.textField("framing"))
			continue
		}
		fmt.Fprintf(b, "%s crashed under attempt %s%s\n", l.textField("server"), l.Request, crashTime(l))
	}
}

// crashTime returns how far the answer of a server that crashed had come.
func crashTime(l Line) string {
	unverified, _ := l.Fields["end_unverified"].(bool)
	answered, _ := l.Fields["answered"].(bool)
	switch {
	case unverified:
		return ", after an answer that ended in good order"
	case answered:
		return ", after its answer had begun"
	default:
		return ""
	}
}
