// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"net"
	"net/netip"
	"sync"
)

// callerShare is the part of the connections that one caller's address may
// hold, so that a flood from it leaves room for the others.
const callerShare = 4

// boundedListener accepts no more connections than it has room for, and no more
// than a share of them from one address. It closes those beyond at once.
type boundedListener struct {
	net.Listener
	most int

	mu sync.Mutex
	// open counts the connections by address, total all of them.
	open  map[netip.Addr]int
	total int
}

func newBoundedListener(l net.Listener, most int) *boundedListener {
	return &boundedListener{Listener: l, most: most, open: make(map[netip.Addr]int)}
}

// Accept returns the next connection that there is room for.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := addressOf(conn)
		if l.take(from) {
			return &boundedConn{Conn: conn, free: sync.OnceFunc(func() { l.free(from) })}, nil
		}
		_ = conn.Close()
	}
}

// addressOf returns the zero address for a connection that has none.
func addressOf(conn net.Conn) netip.Addr {
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr()
}

func (l *boundedListener) take(from netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.most || l.open[from] >= max(l.most/callerShare, 1) {
		return false
	}
	l.total++
	l.open[from]++
	return true
}

func (l *boundedListener) free(from netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.open[from]--
	if l.open[from] == 0 {
		delete(l.open, from)
	}
}

type boundedConn struct {
	net.Conn
	free func()
}

// Close gives the connection's room back.
func (c *boundedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}
