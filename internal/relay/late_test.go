// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// lateStreamEvents is the number of events of a stream.
	lateStreamEvents = 12
	// silence is longer than the gap after which a stream is sent to a second server.
	silence = 1200 * time.Millisecond
)

// writeEvents writes the events of a stream from one to another one, some time apart, and its end after the
// last one.
func writeEvents(w io.Writer, from, to int, gap time.Duration) {
	for id := from; id <= to; id++ {
		event := eventStream(id, id, "\n")
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		_ = w.(interface{ Flush() error }).Flush()
		time.Sleep(gap)
	}
	if to == lateStreamEvents {
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// resumePoint returns the event after which a request goes on, 0 if it begins.
func resumePoint(r *http.Request) int {
	id, _ := strconv.Atoi(r.Header.Get(headerResumeAt))
	return id
}

// serveSilent serves a stream at two servers. The first that gets it sends some events, falls silent and calls
// goOn after that; the second one begins to answer after the given time. The caller must get the whole stream.
func serveSilent(t *testing.T, events int, secondAfter time.Duration, goOn func(w io.Writer) (reset bool)) {
	t.Helper()
	var sends atomic.Int64
	answer := func(w io.Writer, r *http.Request) bool {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		if sends.Add(1) == 1 {
			writeAnswer(w, r, framingChunked, typeEvents, "x", 0)
			writeEvents(w, 1, events, 5*time.Millisecond)
			_ = w.(interface{ Flush() error }).Flush()
			time.Sleep(silence)
			return goOn(w)
		}
		time.Sleep(secondAfter)
		writeAnswer(w, r, framingChunked, typeEvents, "x", 0)
		writeEvents(w, resumePoint(r)+1, lateStreamEvents, 5*time.Millisecond)
		return false
	}
	site := newLoopbackSite(t, newScriptedServer(t, answer), newScriptedServer(t, answer))
	sink, err := site.serve(t, "resumable")
	assert.NilError(t, err)
	assert.Equal(t, sink.body.String(), eventStream(1, lateStreamEvents, "\n"))
	assert.Equal(t, sends.Load(), int64(2))
}

// eventsBefore are the numbers of events after which servers fall silent.
var eventsBefore = []int{0, 3}

// A stream was broken off though a second server worked on it, because the last events of the first one, which
// had crashed, arrived late and ended the second one's run.
func TestLateEventsOfCrashedServerEndSecondRun(t *testing.T) {
	t.Parallel()
	for _, events := range eventsBefore {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(events, " events, reset ", reset), func(t *testing.T) {
				t.Parallel()
				serveSilent(t, events, 900*time.Millisecond, func(w io.Writer) bool {
					writeEvents(w, events+1, events+2, 0)
					return reset
				})
			})
		}
	}
}

// A stream was broken off if the last events of a server that had lost its power arrived late, after which its
// connection stayed open.
func TestLateEventsOfLostServerEndSecondRun(t *testing.T) {
	t.Parallel()
	for _, events := range eventsBefore {
		t.Run(fmt.Sprint(events, " events"), func(t *testing.T) {
			t.Parallel()
			serveSilent(t, events, 900*time.Millisecond, func(w io.Writer) bool {
				writeEvents(w, events+1, events+2, 0)
				time.Sleep(4 * time.Second)
				return false
			})
		})
	}
}

// A stream was broken off if late events ended the run of a third server, after a second one had refused the
// stream while earlier ones were held.
func TestLateEventsAfterRefusalEndThirdRun(t *testing.T) {
	t.Parallel()
	const events = 3
	var sends atomic.Int64
	answer := func(w io.Writer, r *http.Request) bool {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		switch sends.Add(1) {
		case 1:
			writeAnswer(w, r, framingChunked, typeEvents, "x", 0)
			writeEvents(w, 1, events, 5*time.Millisecond)
			time.Sleep(700 * time.Millisecond)
			writeEvents(w, events+1, events+1, 0)
			time.Sleep(1500 * time.Millisecond)
			writeEvents(w, events+2, events+2, 0)
			return true
		case 2:
			time.Sleep(500 * time.Millisecond)
			return refuse(w, r)
		default:
			time.Sleep(1800 * time.Millisecond)
			writeAnswer(w, r, framingChunked, typeEvents, "x", 0)
			writeEvents(w, resumePoint(r)+1, lateStreamEvents, 5*time.Millisecond)
			return false
		}
	}
	site := newLoopbackSite(t, newScriptedServer(t, answer), newScriptedServer(t, answer), newScriptedServer(t, answer))
	sink, err := site.serve(t, "resumable")
	assert.NilError(t, err)
	assert.Equal(t, sink.body.String(), eventStream(1, lateStreamEvents, "\n"))
	assert.Equal(t, sends.Load(), int64(3))
}

// A server that was only slow was given up for the second one, although it went on before that one answered.
func TestSlowServerIsGivenUpForSecondOne(t *testing.T) {
	t.Parallel()
	for _, events := range eventsBefore {
		for _, gap := range []time.Duration{0, 5 * time.Millisecond, 30 * time.Millisecond, 250 * time.Millisecond} {
			t.Run(fmt.Sprint(events, " events, gap ", gap), func(t *testing.T) {
				t.Parallel()
				var finished atomic.Bool
				serveSilent(t, events, 3500*time.Millisecond, func(w io.Writer) bool {
					writeEvents(w, events+1, lateStreamEvents, gap)
					finished.Store(true)
					return false
				})
				assert.Assert(t, finished.Load())
			})
		}
	}
}

// An event came twice, or events of two runs were mixed, if both servers sent at the same time.
func TestEventsOfTwoRunsAreMixed(t *testing.T) {
	t.Parallel()
	const events = 3
	for _, secondAfter := range []time.Duration{0, 100, 200, 250, 300, 350, 400} {
		secondAfter *= time.Millisecond
		for _, gap := range []time.Duration{0, 20 * time.Millisecond, 110 * time.Millisecond} {
			t.Run(fmt.Sprint("second after ", secondAfter, ", gap ", gap), func(t *testing.T) {
				t.Parallel()
				serveSilent(t, events, secondAfter, func(w io.Writer) bool {
					writeEvents(w, events+1, lateStreamEvents, gap)
					return false
				})
			})
		}
	}
}

// A stream lacked the late events of a server that had crashed, which were left to a second one: that one refused
// the stream, and the third was asked to go on after them.
func TestStreamLacksLateEventsThatWereDropped(t *testing.T) {
	t.Parallel()
	const events = 3
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			answer := func(w io.Writer, r *http.Request) bool {
				if r.Method == http.MethodGet {
					_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return false
				}
				switch sends.Add(1) {
				case 1:
					writeAnswer(w, r, framingChunked, typeEvents, "x", 0)
					writeEvents(w, 1, events, 5*time.Millisecond)
					time.Sleep(silence)
					writeEvents(w, events+1, events+2, 0)
					return reset
				case 2:
					time.Sleep(1500 * time.Millisecond)
					return refuse(w, r)
				default:
					writeAnswer(w, r, framingChunked, typeEvents, "x", 0)
					writeEvents(w, resumePoint(r)+1, lateStreamEvents, 5*time.Millisecond)
					return false
				}
			}
			site := newLoopbackSite(t, newScriptedServer(t, answer), newScriptedServer(t, answer), newScriptedServer(t, answer))
			sink, err := site.serve(t, "resumable")
			assert.NilError(t, err)
			assert.Equal(t, sink.body.String(), eventStream(1, lateStreamEvents, "\n"))
			assert.Equal(t, sends.Load(), int64(3))
		})
	}
}

// A stream ended as complete with half of its events: the error of a read that also returned late events was dropped,
// and the next read reported the end of the body.
func TestStreamBrokenWithinChunkLooksComplete(t *testing.T) {
	t.Parallel()
	for _, events := range eventsBefore {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(events, " events, reset ", reset), func(t *testing.T) {
				t.Parallel()
				serveSilent(t, events, 900*time.Millisecond, func(w io.Writer) bool {
					part := eventStream(events+1, events+2, "\n")
					_, _ = fmt.Fprintf(w, "%x\r\n%s", 2*len(part), part)
					return reset
				})
			})
		}
	}
}

// A stream was broken off because a server that broke off had sent events for longer than they are held.
func TestBreakWithEventsEndsSecondRun(t *testing.T) {
	t.Parallel()
	const events = 3
	serveSilent(t, events, 900*time.Millisecond, func(w io.Writer) bool {
		writeEvents(w, events+1, events+1, 150*time.Millisecond)
		part := eventStream(events+2, events+3, "\n")
		_, _ = fmt.Fprintf(w, "%x\r\n%s", 2*len(part), part)
		return false
	})
}

// The last events of a slow server were dropped because they came together with the end of the body.
func TestLastEventsAreDroppedWithEndOfBody(t *testing.T) {
	t.Parallel()
	for _, events := range eventsBefore {
		t.Run(fmt.Sprint(events, " events"), func(t *testing.T) {
			t.Parallel()
			var finished atomic.Bool
			serveSilent(t, events, 3500*time.Millisecond, func(w io.Writer) bool {
				rest := eventStream(events+1, lateStreamEvents, "\n")
				_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
				finished.Store(true)
				return false
			})
			assert.Assert(t, finished.Load())
		})
	}
}
