// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package peek inspects the receive state of a connection without reading from it.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// State is the receive state of a connection that is not being read.
type State int

// The possible states.
const (
	// Unknown means that the connection cannot report its state.
	Unknown State = iota
	// Quiet means that no data is pending, and the connection is open as far as this end
	// knows.
	Quiet
	// Data means that unread bytes are pending.
	Data
	// Closed means that the other end closed or reset the connection, and no data is
	// pending.
	Closed
)

// Peeker is a connection without a socket that reports its own state.
type Peeker interface {
	Peek() State
}

// StateOf returns the state of a connection.
func StateOf(c net.Conn) State {
	if p, ok := c.(Peeker); ok {
		return p.Peek()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) { state = socketState(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func socketState(fd int) State {
	var one [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return Quiet
		case err == nil && n > 0:
			return Data
		default:
			return Closed
		}
	}
}
