// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/internal/peek"
)

const readBufferSize = 4 << 10

// conn is a connection to a backend server. Only one goroutine uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// openedAt is when the connection was opened, idleSince when it was returned to the pool, and
	// expiresAt when the server may close it.
	openedAt  time.Time
	idleSince time.Time
	expiresAt time.Time
	// received reports whether any byte has arrived since the connection was last taken
	// from the pool.
	received atomic.Bool
	// isLimited reports whether only readLeft more bytes may be read.
	isLimited bool
	readLeft  int
	// marks has the hashes of texts in the last answers that no others have, at most maxMarks.
	marks []uint64
}

func newConn(c net.Conn) *conn {
	n := &conn{Conn: c, openedAt: time.Now()}
	n.reader = bufio.NewReaderSize(n, readBufferSize)
	return n
}

// Read reads from the connection and records whether a byte has arrived.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.isLimited {
		if c.readLeft == 0 {
			return 0, errHeadTooLong
		}
		buffer = buffer[:min(len(buffer), c.readLeft)]
	}
	n, err := c.Conn.Read(buffer)
	if c.isLimited {
		c.readLeft -= n
	}
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// isQuiet reports whether nothing has arrived on an idle connection: no byte, no close and
// no reset. It returns true if the platform cannot tell.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := peek.StateOf(c.Conn)
	return state == peek.Quiet || state == peek.Unknown
}
