// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"fmt"
	"strings"
	"time"
)

// Messages of the log lines of silent streams and of sends that a host ended.
const (
	hedgedMessage    = "silent stream sent to a second backend server"
	endedSendMessage = "the host ended a send"
	lateMessage      = "late events of a silent backend server dropped"
)

// findings explains what a host found out about a silent server.
var findings = map[string]string{
	"gone":       "the server accepted no connection",
	"silent":     "the server accepted connections and sent nothing on any",
	"connection": "the server answered on other connections",
	"busy":       "the server sent to other streams, and the prompt may have waited there",
}

// endReasons explains why a host ended a send.
var endReasons = map[string]string{
	"silent":      "its server was gone",
	"superseded":  "another server had answered",
	"deadline":    "the time of the request was over",
	"caller_left": "the caller had left",
	"drained":     "the host was shutting down",
}

// explanation returns the explanation of a key, or the key itself if there is none.
func explanation(of map[string]string, key string) string {
	if text, ok := of[key]; ok {
		return text
	}
	return key
}

// writeSilence writes for each silent server what was known of it and where the stream was sent, and for each
// send that the host ended why.
func (t Trace) writeSilence(b *strings.Builder) {
	for _, l := range t.Lines {
		switch l.Message {
		case hedgedMessage:
			fmt.Fprintf(b, "%s was silent for %v: %s; sent to %s as well, %s other servers were sending\n", l.textField("server"),
				l.durationField("silent_ms"), explanation(findings, l.textField("finding")), l.textField("second"), l.textField("others_sending"))
		case lateMessage:
			fmt.Fprintf(b, "%s had sent events up to %s before it ended; ", l.textField("server"), l.textField("last_event"))
			if works, _ := l.Fields["second_works"].(bool); works {
				fmt.Fprintf(b, "a second server goes on after event %s\n", l.textField("after_event"))
			} else {
				b.WriteString("the second server had ended, too\n")
			}
		case endedSendMessage:
			fmt.Fprintf(b, "the host ended its send to %s: %s", l.textField("server"), explanation(endReasons, l.textField("reason")))
			if by := l.textField("replaced_by"); by != "" {
				fmt.Fprintf(b, " (%s)", by)
			}
			b.WriteString(formatSilence(l))
		}
	}
}

// formatSilence returns when a server last sent something, as far as a line says.
func formatSilence(l Line) string {
	var parts []string
	for _, f := range []struct{ field, on string }{{"silent_ms", "on this connection"}, {"server_silent_ms", "on any"}} {
		if _, ok := l.Fields[f.field]; ok {
			parts = append(parts, fmt.Sprintf("%v before %s", l.durationField(f.field).Round(time.Millisecond), f.on))
		}
	}
	if len(parts) == 0 {
		return "; the server had sent nothing\n"
	}
	return "; the server's last data came " + strings.Join(parts, ", ") + "\n"
}
