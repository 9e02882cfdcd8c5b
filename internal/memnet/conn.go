// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/internal/peek"
)

// conn is one end of a link, as the user of the network gets it.
type conn struct {
	link          *link
	in, out       *stream
	local, remote netip.AddrPort
	// resetOnClose reports whether a close resets the connection.
	resetOnClose atomic.Bool
}

var _ net.Conn = (*conn)(nil)

// Read reads data. It returns io.EOF after all data if the other end was closed, and another error
// if the connection was reset.
func (c *conn) Read(buffer []byte) (int, error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	s := c.in
	for {
		switch {
		case s.unread || c.link.reset:
			return 0, io.ErrClosedPipe
		case s.hasEnded():
			return 0, io.EOF
		case hasPassed(s.readDeadline):
			return 0, &net.OpError{Op: "read", Net: "memnet", Err: os.ErrDeadlineExceeded}
		}
		limit := untilDeadline(s.readDeadline)
		if len(s.queue) > 0 {
			p := &s.queue[0]
			if due := s.untilDue(); due > 0 {
				if limit == 0 || due < limit {
					limit = due
				}
				s.wait(limit, nil)
				continue
			}
			if p.arrived || s.passes() {
				count := copy(buffer, p.data)
				p.data, p.arrived = p.data[count:], true
				if len(p.data) == 0 {
					s.remove()
				}
				return count, nil
			}
		}
		var healed <-chan struct{}
		if len(s.queue) > 0 || s.ended {
			healed = c.link.network.delayed(s.direction.from, s.direction.to)
		}
		s.wait(limit, healed)
	}
}

// Write writes data. It fails once the other end is known to be closed.
func (c *conn) Write(data []byte) (int, error) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	s := c.out
	for s.writing {
		s.wait(0, nil)
	}
	s.writing = true
	defer func() {
		s.writing = false
		s.notify()
	}()
	size, _ := s.direction.packetLimits()
	written := 0
	for {
		switch {
		case s.ended || c.link.reset || s.unread && c.in.hasEnded():
			return written, io.ErrClosedPipe
		case hasPassed(s.writeDeadline):
			return written, &net.OpError{Op: "write", Net: "memnet", Err: os.ErrDeadlineExceeded}
		case written == len(data):
			return written, nil
		case s.isFull():
			s.wait(untilDeadline(s.writeDeadline), nil)
			continue
		}
		count := min(size, len(data)-written)
		s.send(data[written : written+count])
		if written += count; written == len(data) {
			return written, nil
		}
	}
}

// hasPassed reports whether a deadline has passed. A zero one never does.
func hasPassed(deadline time.Time) bool { return !deadline.IsZero() && time.Until(deadline) <= 0 }

// untilDeadline returns the time until a deadline that hasn't passed, or 0 if there is none.
func untilDeadline(deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return max(time.Until(deadline), 1)
}

// Close closes this end. The other end sees the close after the data sent before.
func (c *conn) Close() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.resetOnClose.Load() {
		c.link.closeLocked()
		c.in.unread, c.out.ended = true, true
		return nil
	}
	c.link.closeEnd(c.in, c.out)
	return nil
}

// CloseWrite ends the data that this end sends. Data of the other end still arrives.
func (c *conn) CloseWrite() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.out.ended = true
	c.out.notify()
	return nil
}

// SetLinger sets what Close does: with 0 seconds it resets the connection, as on TCP connections.
func (c *conn) SetLinger(seconds int) error {
	c.resetOnClose.Store(seconds == 0)
	return nil
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadlines(&t, &t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadlines(&t, nil)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadlines(nil, &t)
	return nil
}

func (c *conn) setDeadlines(read, write *time.Time) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if read != nil {
		c.in.readDeadline = *read
		c.in.notify()
	}
	if write != nil {
		c.out.writeDeadline = *write
		c.out.notify()
	}
}

// Peek returns peek.Closed if the other end was closed and the close is not delayed. It does not
// report pending data.
func (c *conn) Peek() peek.State {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.out.unread && c.in.passes() {
		return peek.Closed
	}
	return peek.Unknown
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }
