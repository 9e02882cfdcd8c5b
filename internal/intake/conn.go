// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// errEvicted is the error of reads of a connection that was closed because its head did not fit into the memory.
var errEvicted = errors.New("intake: no memory for the head of a request")

// Listener returns a listener whose connections hold memory for the heads of their requests.
func (m *Memory) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, memory: m}
}

type listener struct {
	net.Listener
	memory *Memory
}

// Accept accepts a connection, which is a *Conn.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, memory: l.memory}, nil
}

// Conn is a connection of a client. What it sends counts against the memory from the first byte of a request until
// Release.
type Conn struct {
	net.Conn
	memory *Memory

	mu sync.Mutex
	// holding is that of the request that is read or served; nil between requests. begun reports whether its
	// handler runs, which then holds what the body takes, and sending whether it writes an answer.
	holding        *Holding
	begun, sending bool
	// wire counts the bytes that were read.
	wire int64
}

// Read reads data.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.count(int64(n)) {
		return 0, errEvicted
	}
	return n, err
}

// count counts bytes that were read, and reports whether there is memory for them.
func (c *Conn) count(n int64) bool {
	c.mu.Lock()
	c.wire += n
	if c.begun {
		c.mu.Unlock()
		return true
	}
	if c.holding == nil {
		c.holding = c.memory.Hold(c.stop)
	}
	h := c.holding
	c.mu.Unlock()
	h.Passed(n)
	if h.Grow(n) {
		return true
	}
	_ = c.Conn.Close()
	return false
}

// stop ends the reading of a request, or the writing of its answer. Only while the body is read, the request can be
// answered.
func (c *Conn) stop() {
	c.mu.Lock()
	inBody := c.begun && !c.sending
	c.mu.Unlock()
	if inBody {
		// An error means that the connection is closed already.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
}

// Begin records that the handler of a request runs, and returns the holding of the request.
func (c *Conn) Begin() *Holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	if c.holding == nil {
		c.holding = c.memory.Hold(c.stop)
	}
	return c.holding
}

// sendBytes is how much of a large answer is written at a time.
const sendBytes = 16 << 10

// Send writes a part of an answer to w, which writes to the connection. A large part counts against the memory until
// the client has taken it.
func (c *Conn) Send(w io.Writer, part []byte) error {
	size := int64(len(part))
	if size <= sendBytes {
		_, err := w.Write(part)
		return err
	}
	c.mu.Lock()
	h := c.holding
	c.sending = true
	c.mu.Unlock()
	h.Send(size)
	defer h.Sent(size)
	for len(part) > 0 {
		n, err := w.Write(part[:min(len(part), sendBytes)])
		if err != nil {
			return err
		}
		h.Passed(int64(n))
		part = part[n:]
	}
	return nil
}

// Release records that the handler has returned, and gives back what the request held.
func (c *Conn) Release() {
	c.mu.Lock()
	h := c.holding
	c.holding, c.begun, c.sending = nil, false, false
	c.mu.Unlock()
	if h != nil {
		h.Release()
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.Release()
	return c.Conn.Close()
}

// Wire returns how many bytes were read from the connection.
func (c *Conn) Wire() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wire
}

// CloseWrite ends the data that this end sends.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}
