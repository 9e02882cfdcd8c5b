// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package logging writes log lines without ever holding up who logs: lines wait
// in a bounded buffer, and where the reader stands still, they are dropped and
// counted.
package logging

import (
	"fmt"
	"io"
	"sync"
)

// DefaultLines bounds the lines that wait; at some 300 bytes a line they take
// less than half a megabyte.
const DefaultLines = 1024

// Writer is an io.Writer that takes whole lines and never blocks. Close must be
// called once.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex
	// dropped counts the lines lost since the last that was written.
	dropped int
	total   int64
	closed  bool
}

// NewWriter returns a writer to out that holds at most lines lines.
func NewWriter(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails.
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
		w.total++
	}
	return len(line), nil
}

// Dropped returns how many lines were lost.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.takeDropped(); n > 0 {
			// There is nobody to tell that standard output is gone.
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
		_, _ = w.out.Write(line)
	}
}

func (w *Writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close takes no more lines. Done tells when those that wait are written.
func (w *Writer) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}

// Done is closed when all lines are written.
func (w *Writer) Done() <-chan struct{} {
	return w.done
}
