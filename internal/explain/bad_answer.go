// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"fmt"
	"strings"

	"github.com/wingvale/wingvale/verdict"
)

// failedSendMessage is the message of the log line of a send that brought no answer.
const failedSendMessage = "send failed"

// writeBadAnswers writes which servers sent something that is no answer to the request.
func (t Trace) writeBadAnswers(b *strings.Builder) {
	for _, l := range t.Lines {
		if l.Message == failedSendMessage && l.textField("reason") == string(verdict.ReasonBadAnswer) {
			fmt.Fprintf(b, "%s sent bytes that are no whole answer to the request (%s); the connection was closed, and the request may have run\n",
				l.textField("server"), l.textField("error"))
		}
	}
}
