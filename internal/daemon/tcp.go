// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package daemon

import (
	"net"
	"syscall"
	"time"
)

const (
	// silenceTolerance is the shortest silence of a peer that may end a connection.
	silenceTolerance = 2 * time.Second
	// dialedIdle and acceptedIdle are how long a connection is idle before its peer is probed, and
	// probeInterval is the time between probes.
	dialedIdle    = time.Second
	acceptedIdle  = 2 * time.Second
	probeInterval = time.Second
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, see tcp(7).
const tcpUserTimeout = 0x12

func newDialer() *net.Dialer {
	return &net.Dialer{Control: controlUserTimeout(dialedIdle), KeepAliveConfig: keepAlive(dialedIdle)}
}

func newListenConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: controlUserTimeout(acceptedIdle), KeepAliveConfig: keepAlive(acceptedIdle)}
}

func keepAlive(idle time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: probeInterval, Count: int(silenceTolerance / probeInterval)}
}

// userTimeout returns how long sent data may remain unacknowledged. With this option, Linux ignores the
// number of probes: it drops a connection at the first probe that is due so long after the last byte
// that was received. The peer may have fallen silent just before the first probe.
func userTimeout(idle time.Duration) time.Duration {
	return idle + silenceTolerance
}

// controlUserTimeout returns a function that sets the option on a socket.
func controlUserTimeout(idle time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout(idle).Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	}
}
