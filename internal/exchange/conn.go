// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

const readBufferSize = 4 << 10

// conn is one connection to a backend server. One goroutine uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// restedAt is when the connection was put back; expires is when the server
	// may close it.
	restedAt time.Time
	expires  time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}
}

// quiet reports whether nothing has arrived on a resting connection: no byte,
// no close, no reset. Where the platform cannot tell, it says yes.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
