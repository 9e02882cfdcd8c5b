// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// ErrNoMemory means that a request must be refused since there is no memory for it.
var ErrNoMemory = errors.New("intake: no memory for the request")

const (
	// firstBytes is the first size of the buffer for a body, which doubles as the body arrives.
	firstBytes = 2 << 10
	// maxOverhead is how many bytes may arrive for each byte of a body before its reading is paced, and
	// overheadSlack how many more. wireTime is the pause for each byte of one paced body; several take as much
	// longer.
	maxOverhead   = 2
	overheadSlack = 16 << 10
	wireTime      = 100 * time.Nanosecond
	// maxPause limits one pause, so that a body is read again as long as its client waits.
	maxPause = 2 * time.Second
)

// BodyReader reads the bodies of requests. Bodies in tiny chunks cost far more processor time than others, and are
// read the slower the more of them there are. It is safe for concurrent use.
type BodyReader struct {
	// paced counts the bodies whose reading is paced.
	paced atomic.Int64
}

// Read reads a body of at most limit bytes. announced is its length, or -1 if it isn't known. It returns an error
// that wraps ErrNoMemory if the request has to give way to others.
func (r *BodyReader) Read(ctx context.Context, body io.Reader, announced, limit int64, c *Conn) ([]byte, error) {
	if announced >= 0 {
		limit = min(limit, announced)
	}
	h := c.Begin()
	b := bodyRead{reader: r, conn: c, start: c.Wire()}
	defer b.end()
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown, err := grow(h, buffer, limit)
			if err != nil {
				return nil, err
			}
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		h.Passed(int64(n))
		switch {
		case errors.Is(err, io.EOF):
			h.Complete()
			return buffer, nil
		case h.Evicted():
			return nil, ErrNoMemory
		case err != nil:
			return nil, err
		}
		if err := b.pace(ctx, int64(len(buffer))); err != nil {
			return nil, err
		}
	}
}

// grow returns a larger buffer with the same content. It has room for one byte more than limit, so that the end of
// the body, or an error behind it, is read without growing again.
func grow(h *Holding, buffer []byte, limit int64) ([]byte, error) {
	size := min(max(2*int64(cap(buffer)), firstBytes), limit+1)
	if size <= int64(cap(buffer)) {
		// The body is longer than its limit, which its reader reports next.
		size = int64(cap(buffer)) + 1
	}
	if !h.Grow(size - int64(cap(buffer))) {
		return nil, ErrNoMemory
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	return grown, nil
}

// bodyRead is the reading of one body.
type bodyRead struct {
	reader *BodyReader
	conn   *Conn
	// start and done are the bytes that the connection had read when the body began, and at the last pause.
	start, done int64
	paced       bool
}

// pace waits if far more bytes arrive than the body has.
func (b *bodyRead) pace(ctx context.Context, length int64) error {
	wire := b.conn.Wire() - b.start
	if wire <= maxOverhead*length+overheadSlack {
		return nil
	}
	if !b.paced {
		b.paced = true
		b.reader.paced.Add(1)
	}
	pause := time.Duration(wire-b.done) * wireTime * time.Duration(b.reader.paced.Load())
	if pause < time.Millisecond {
		return nil
	}
	b.done = wire
	timer := time.NewTimer(min(pause, maxPause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *bodyRead) end() {
	if b.paced {
		b.reader.paced.Add(-1)
	}
}
