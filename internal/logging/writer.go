// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package logging writes log lines without blocking the caller: lines are queued in a bounded
// buffer, and dropped and counted while the buffer is full because its reader has stalled.
package logging

import (
	"fmt"
	"io"
	"sync"
)

// DefaultMaxLines limits the queued lines; at some 300 bytes a line they use less than half a
// megabyte.
const DefaultMaxLines = 1024

// Writer is an io.Writer for whole lines that never blocks. Close must be called once.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex
	// dropped counts the lines dropped since the last line that was written.
	dropped      int
	totalDropped int64
	closed       bool
}

// NewWriter returns a writer to out that queues at most lines lines.
func NewWriter(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the buffer is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped++
		w.totalDropped++
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.resetDropped(); n > 0 {
			// Errors are ignored: there is nowhere to report that standard output is closed.
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		_, _ = w.out.Write(line)
	}
}

func (w *Writer) resetDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close stops accepting lines. Done is closed when the queued lines are written.
func (w *Writer) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

// Done returns a channel that is closed when all lines are written.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}
