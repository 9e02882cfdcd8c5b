// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/relay"
)

// A stream was ended at a server that was leaving, accepted no connections any more and paused.
func TestStreamOfLeavingServerIsEnded(t *testing.T) {
	started := make(chan struct{})
	write := func(w io.Writer, id int) {
		event := eventStream(id, id, "\n")
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		_ = w.(interface{ Flush() error }).Flush()
	}
	server := newScriptedServer(t, func(w io.Writer, r *http.Request) bool {
		writeAnswer(w, r, framingChunked, typeEvents, "x", 0)
		write(w, 1)
		close(started)
		time.Sleep(1800 * time.Millisecond)
		write(w, 2)
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return false
	})
	site := newLoopbackSite(t, server)
	go func() {
		<-started
		_ = server.listener.Close()
		known := relay.Server{Instance: engineService + "-0", Service: engineService, Address: server.address(t), Zone: "a", Slots: loopbackSlots}
		leaving := known
		leaving.Leaving = true
		site.core.ChangeServers([]listed.Change[relay.Server]{{Service: engineService, Old: &known, New: &leaving}})
	}()
	sink, err := site.serve(t, "resumable")
	assert.NilError(t, err)
	assert.Equal(t, sink.body.String(), eventStream(1, 2, "\n"))
}

// An answer was credited to the server that a stream was sent to last, although another one had sent it.
func TestAnswerIsCreditedToOtherServer(t *testing.T) {
	first, second := relay.Server{Instance: "first"}, relay.Server{Instance: "second"}
	site := newLoopbackSite(t)
	assert.Equal(t, relay.ServerOfAnswer(site.core, first, second, false), "first")
	assert.Equal(t, relay.ServerOfAnswer(site.core, first, second, true), "second")
}
