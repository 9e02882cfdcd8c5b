// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"net"
	"net/netip"
	"sync"
)

// callerShareDivisor is the divisor of the connection limit that applies to a single caller
// address, so that a flood from one address leaves room for others.
const callerShareDivisor = 4

// boundedListener limits the open connections, in total and per address. It closes connections
// beyond the limits at once.
type boundedListener struct {
	net.Listener
	maxConns int

	mu sync.Mutex
	// openByAddress counts the open connections by address; total counts all.
	openByAddress map[netip.Addr]int
	total         int
}

func newBoundedListener(l net.Listener, maxConns int) *boundedListener {
	return &boundedListener{Listener: l, maxConns: maxConns, openByAddress: make(map[netip.Addr]int)}
}

// Accept returns the next connection within the limits.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := addressOf(conn)
		if l.acquire(from) {
			return &boundedConn{Conn: conn, releaseSlot: sync.OnceFunc(func() { l.releaseSlot(from) })}, nil
		}
		_ = conn.Close()
	}
}

// addressOf returns the remote address, or the zero address if there is none.
func addressOf(conn net.Conn) netip.Addr {
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr()
}

func (l *boundedListener) acquire(from netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.maxConns || l.openByAddress[from] >= max(l.maxConns/callerShareDivisor, 1) {
		return false
	}
	l.total++
	l.openByAddress[from]++
	return true
}

func (l *boundedListener) releaseSlot(from netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.openByAddress[from]--
	if l.openByAddress[from] == 0 {
		delete(l.openByAddress, from)
	}
}

type boundedConn struct {
	net.Conn
	releaseSlot func()
}

// Close closes the connection and releases its place.
func (c *boundedConn) Close() error {
	defer c.releaseSlot()
	return c.Conn.Close()
}
