// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package memnet_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/memnet"
)

const (
	mebibyte = 1 << 20
	// slack is the time of some packets on a link with 1 MiB/s. maxBytesInFlight is the number of
	// bytes that one connection has in flight: 16 queued packets, and three in processing.
	slack            = 20 * time.Millisecond
	maxBytesInFlight = 76 << 10
)

var otherHost = netip.MustParseAddr("10.0.0.3")

// withConnections connects each of the hosts to the far one, and calls do with both ends of each
// connection.
func withConnections(t *testing.T, rates map[netip.Addr]memnet.Rate, hosts []netip.Addr, do func(n *memnet.Network, nearConns, farConns []net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		for host, r := range rates {
			n.SetRate(host, r)
		}
		l, err := n.Listen(far)
		assert.NilError(t, err)
		var nearConns, farConns []net.Conn
		for _, host := range hosts {
			accepted := make(chan net.Conn)
			go func() {
				c, _ := l.Accept()
				accepted <- c
			}()
			c, err := n.Dialer(host)(t.Context(), "tcp", far.String())
			assert.NilError(t, err)
			nearConns, farConns = append(nearConns, c), append(farConns, <-accepted)
		}
		do(n, nearConns, farConns)
		for i := range nearConns {
			_ = nearConns[i].Close()
			_ = farConns[i].Close()
		}
		_ = l.Close()
	})
}

// transfer sends bytes from one end to the other and returns the time that this took.
func transfer(t *testing.T, from, to net.Conn, bytes int) time.Duration {
	start := time.Now()
	go func() { _, _ = from.Write(make([]byte, bytes)) }()
	_, err := io.ReadFull(to, make([]byte, bytes))
	assert.Check(t, err)
	return time.Since(start)
}

func checkDuration(t *testing.T, got, want, slack time.Duration) {
	t.Helper()
	assert.Check(t, got >= want-slack && got <= want+slack, "took %v, want %v", got, want)
}

func TestRateLimitDelaysTransfer(t *testing.T) {
	for name, rates := range map[string]map[netip.Addr]memnet.Rate{
		"sender":   {near: {Out: mebibyte}},
		"receiver": {far.Addr(): {In: mebibyte}},
		"both":     {near: {Out: mebibyte}, far.Addr(): {In: mebibyte / 2}},
	} {
		t.Run(name, func(t *testing.T) {
			withConnections(t, rates, []netip.Addr{near}, func(n *memnet.Network, nearConns, farConns []net.Conn) {
				want := time.Second
				if name == "both" {
					want *= 2
				}
				checkDuration(t, transfer(t, nearConns[0], farConns[0], mebibyte), want, slack)
				assert.Equal(t, transfer(t, farConns[0], nearConns[0], mebibyte), time.Duration(0))
				sent := n.Sent()
				assert.Equal(t, sent[memnet.Flow{From: near, To: far.Addr(), Port: far.Port()}], int64(mebibyte))
				assert.Equal(t, sent[memnet.Flow{From: far.Addr(), To: near, Port: far.Port()}], int64(mebibyte))
			})
		})
	}
}

func TestConnectionsShareRateLimit(t *testing.T) {
	// The connection that starts first is ahead by the bytes that it has in flight.
	const tolerance = time.Second * maxBytesInFlight / mebibyte
	rates := map[netip.Addr]memnet.Rate{far.Addr(): {In: mebibyte, Out: mebibyte}}
	withConnections(t, rates, []netip.Addr{near, otherHost, near}, func(_ *memnet.Network, nearConns, farConns []net.Conn) {
		var transfers sync.WaitGroup
		transfers.Go(func() { checkDuration(t, transfer(t, nearConns[0], farConns[0], mebibyte), 2*time.Second, tolerance) })
		transfers.Go(func() { checkDuration(t, transfer(t, nearConns[1], farConns[1], mebibyte), 2*time.Second, tolerance) })
		transfers.Go(func() {
			time.Sleep(time.Second)
			took := transfer(t, nearConns[2], farConns[2], 1<<10)
			assert.Check(t, took <= 2*time.Second*maxBytesInFlight/mebibyte, "small message waited %v behind two connections' data in flight", took)
		})
		transfers.Wait()
	})
}

func TestRateLimitsOfDirectionsAreIndependent(t *testing.T) {
	rates := map[netip.Addr]memnet.Rate{far.Addr(): {In: mebibyte, Out: mebibyte}}
	withConnections(t, rates, []netip.Addr{near, otherHost}, func(_ *memnet.Network, nearConns, farConns []net.Conn) {
		var transfers sync.WaitGroup
		transfers.Go(func() { checkDuration(t, transfer(t, nearConns[0], farConns[0], mebibyte), time.Second, slack) })
		transfers.Go(func() { checkDuration(t, transfer(t, farConns[1], nearConns[1], mebibyte), time.Second, slack) })
		transfers.Wait()
	})
}

func TestRateLimitBlocksWriter(t *testing.T) {
	rates := map[netip.Addr]memnet.Rate{far.Addr(): {In: mebibyte}}
	withConnections(t, rates, []netip.Addr{near}, func(_ *memnet.Network, nearConns, farConns []net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, farConns[0]) }()
		start := time.Now()
		_, err := nearConns[0].Write(make([]byte, mebibyte))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) >= time.Second-time.Second*maxBytesInFlight/mebibyte, "blocked for %v", time.Since(start))
	})
}
