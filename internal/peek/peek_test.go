// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peek_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/peek"
)

// pair returns both ends of a loopback connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	near, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	far, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// await reads one byte, or the end, to make sure that what was sent has arrived.
func await(c net.Conn) {
	var one [1]byte
	_, _ = c.Read(one[:])
}

func TestStateOfConnection(t *testing.T) {
	near, far := pair(t)
	assert.Equal(t, peek.StateOf(near), peek.Quiet)
	_, err := far.Write([]byte("ab"))
	assert.NilError(t, err)
	await(near)
	assert.Equal(t, peek.StateOf(near), peek.Data)
	await(near)
	assert.Equal(t, peek.StateOf(near), peek.Quiet)
	assert.NilError(t, far.Close())
	await(near)
	assert.Equal(t, peek.StateOf(near), peek.Closed)
	assert.NilError(t, near.Close())
	assert.Equal(t, peek.StateOf(near), peek.Closed)
	pipe, _ := net.Pipe()
	assert.Equal(t, peek.StateOf(pipe), peek.Unknown)
}

func TestResetMeansEnded(t *testing.T) {
	near, far := pair(t)
	tcp, ok := far.(*net.TCPConn)
	assert.Assert(t, ok)
	assert.NilError(t, tcp.SetLinger(0))
	assert.NilError(t, far.Close())
	await(near)
	assert.Equal(t, peek.StateOf(near), peek.Closed)
}
