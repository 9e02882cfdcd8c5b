// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package intake_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/intake"
)

const kilobyte = 1 << 10

func newMemory(bytes int64) *intake.Memory {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return intake.NewMemory(intake.MemoryOptions{Bytes: bytes, Log: log, Scope: tally.NoopScope})
}

// stalled returns requests that hold bytes each, and a counter of those that were evicted.
func stalled(m *intake.Memory, count int, bytes int64) (evicted func() int) {
	var mu sync.Mutex
	gone := 0
	for range count {
		h := m.Hold(func() {
			mu.Lock()
			defer mu.Unlock()
			gone++
		})
		h.Passed(bytes)
		h.Grow(bytes)
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return gone
	}
}

// A slow request inside the limits was refused while requests that had stopped held the memory.
func TestSlowRequestGivesWayToStalledOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory(1024 * kilobyte)
		evicted := stalled(m, 10, 100*kilobyte)
		time.Sleep(2 * time.Second)
		slow := m.Hold(func() { t.Error("the slow request was evicted") })
		for i := range 100 {
			slow.Passed(4 * kilobyte)
			assert.Assert(t, slow.Grow(4*kilobyte), "refused at %d", i)
			time.Sleep(100 * time.Millisecond)
		}
		slow.Complete()
		assert.Check(t, evicted() > 0 && evicted() < 10, "%d evicted", evicted())
		slow.Release()
	})
}

// Requests that have arrived were dropped for others, though servers may run them already.
func TestCompleteRequestIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory(1024 * kilobyte)
		whole := m.Hold(func() { t.Error("the complete request was evicted") })
		assert.Assert(t, whole.Grow(700*kilobyte))
		whole.Complete()
		time.Sleep(2 * time.Second)
		next := m.Hold(func() {})
		assert.Check(t, !next.Grow(700*kilobyte))
		next.Release()
		whole.Release()
		assert.Check(t, m.Hold(func() {}).Grow(700*kilobyte), "released bytes are not free")
	})
}

// Large requests took the memory that small ones need.
func TestLargeRequestsKeepSmallOnesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory(1024 * kilobyte)
		for range 10 {
			h := m.Hold(func() {})
			if h.Grow(250 * kilobyte) {
				h.Complete()
			}
		}
		for range 10 {
			assert.Check(t, m.Hold(func() {}).Grow(4*kilobyte))
		}
	})
}

// bodyOf returns a connection and a body that arrives in chunks, of which each byte takes wireBytes on the connection.
func bodyOf(m *intake.Memory, text string, wireBytes int) (*intake.Conn, io.Reader) {
	client, server := net.Pipe()
	l := m.Listener(&oneListener{conn: server})
	c, _ := l.Accept()
	go func() {
		defer func() { _ = client.Close() }()
		for i := range text {
			if _, err := client.Write([]byte(text[i:i+1] + strings.Repeat("-", wireBytes-1))); err != nil {
				return
			}
		}
	}()
	return c.(*intake.Conn), &framedReader{conn: c, wireBytes: wireBytes, left: len(text)}
}

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	conn net.Conn
}

func (l *oneListener) Accept() (net.Conn, error) { return l.conn, nil }

// framedReader reads one byte of a body at a time.
type framedReader struct {
	conn            net.Conn
	wireBytes, left int
}

func (r *framedReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	frame := make([]byte, r.wireBytes)
	if _, err := io.ReadFull(r.conn, frame); err != nil {
		return 0, err
	}
	b[0] = frame[0]
	return 1, nil
}

// A single body in the smallest chunks is inside the limits, and was refused or held up.
func TestBodyInTinyChunksIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory(1024 * kilobyte)
		text := strings.Repeat("abc", 10*kilobyte)
		c, body := bodyOf(m, text, 6)
		began := time.Now()
		var r intake.BodyReader
		got, err := r.Read(t.Context(), body, -1, 40*kilobyte, c)
		assert.NilError(t, err)
		assert.Equal(t, string(got), text)
		assert.Check(t, time.Since(began) < time.Second, "took %v", time.Since(began))
		c.Release()
		assert.NilError(t, c.Close())
	})
}

// A body was read on after its client had left.
func TestPacedBodyIsReadAfterClientLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory(1024 * kilobyte)
		c, body := bodyOf(m, strings.Repeat("x", 30*kilobyte), 100)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		var r intake.BodyReader
		_, err := r.Read(ctx, body, -1, 40*kilobyte, c)
		assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.NilError(t, c.Close())
	})
}
