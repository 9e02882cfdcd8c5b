// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package memnet_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/memnet"
)

var (
	near = netip.MustParseAddr("10.0.0.1")
	far  = netip.MustParseAddrPort("10.0.0.2:80")
)

const oneWayLatency = 5 * time.Millisecond

// withEcho calls do with a connection from near to a host that echoes all data.
func withEcho(t *testing.T, do func(n *memnet.Network, c net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(func(_, _ netip.Addr) time.Duration { return oneWayLatency })
		l, err := n.Listen(far)
		assert.NilError(t, err)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go echo(c)
			}
		}()
		c, err := n.Dialer(near)(t.Context(), "tcp", far.String())
		assert.NilError(t, err)
		do(n, c)
		n.HealAll()
		_ = c.Close()
		_ = l.Close()
	})
}

func echo(c net.Conn) {
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 64)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		if _, err := c.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// roundTrip sends a byte and returns the time until it has been echoed.
func roundTrip(c net.Conn) (time.Duration, error) {
	start := time.Now()
	if _, err := c.Write([]byte("x")); err != nil {
		return 0, err
	}
	_ = c.SetReadDeadline(start.Add(3 * time.Second))
	_, err := c.Read(make([]byte, 1))
	return time.Since(start), err
}

func TestRoundTripTakesTwiceOneWayLatency(t *testing.T) {
	withEcho(t, func(_ *memnet.Network, c net.Conn) {
		took, err := roundTrip(c)
		assert.NilError(t, err)
		assert.Equal(t, took, 2*oneWayLatency)
	})
}

func TestCutDelaysDataUntilHealed(t *testing.T) {
	withEcho(t, func(n *memnet.Network, c net.Conn) {
		n.Cut(near, far.Addr())
		time.AfterFunc(time.Second, func() { n.Heal(near, far.Addr()) })
		took, err := roundTrip(c)
		assert.NilError(t, err)
		assert.Assert(t, took >= time.Second, "took %v", took)
	})
}

func TestCutBlocksNewConnections(t *testing.T) {
	withEcho(t, func(n *memnet.Network, _ net.Conn) {
		n.Cut(far.Addr(), near)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := n.Dialer(near)(ctx, "tcp", far.String())
		assert.Assert(t, err != nil)
	})
}

func TestFrozenHostSendsNothing(t *testing.T) {
	withEcho(t, func(n *memnet.Network, c net.Conn) {
		n.Freeze(far.Addr(), true)
		time.AfterFunc(time.Second, func() { n.Freeze(far.Addr(), false) })
		took, err := roundTrip(c)
		assert.NilError(t, err)
		assert.Assert(t, took >= time.Second, "took %v", took)
	})
}

func TestKillResetsConnections(t *testing.T) {
	withEcho(t, func(n *memnet.Network, c net.Conn) {
		n.Kill(far.Addr())
		_, err := roundTrip(c)
		assert.Assert(t, err != nil)
	})
}

func TestSilencedConnectionDeliversNothing(t *testing.T) {
	withEcho(t, func(n *memnet.Network, c net.Conn) {
		n.Silence(func(from, to netip.Addr) bool { return from == near && to == far.Addr() })
		_, err := c.Write([]byte("x"))
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
		_, err = c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		newConn, err := n.Dialer(near)(context.Background(), "tcp", far.String())
		assert.NilError(t, err)
		_, err = newConn.Write([]byte("y"))
		assert.NilError(t, err)
		buffer := make([]byte, 1)
		_, err = newConn.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer), "y")
		assert.NilError(t, newConn.Close())
		// The far end does not see the close. Killing its host closes it.
		assert.NilError(t, c.Close())
		n.Kill(far.Addr())
	})
}

func TestSilencedConnectionHidesKilledHost(t *testing.T) {
	withEcho(t, func(n *memnet.Network, c net.Conn) {
		n.Silence(func(_, _ netip.Addr) bool { return true })
		n.Kill(far.Addr())
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err := c.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
}
