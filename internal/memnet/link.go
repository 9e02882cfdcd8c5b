// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/internal/peek"
)

// link is a connection between two hosts. It consists of two pipes and copies data between them,
// with the latency, the rate limit and the cuts of the network.
type link struct {
	network  *Network
	from, to netip.Addr
	port     uint16
	ends     [4]net.Conn
	forward  direction
	backward direction
	stop     chan struct{}
	once     sync.Once
	// closed reports for the near and the far end whether its user has closed it.
	closed [2]atomic.Bool
	// silent reports that neither data nor the end of the data is delivered any more.
	// endedDirections counts the directions that have ended on a silent link. The link is closed
	// once both have.
	silent          atomic.Bool
	endedDirections atomic.Int32
}

// conn is one end of a link, as the user of the network gets it.
type conn struct {
	net.Conn
	link          *link
	end           int
	local, remote netip.AddrPort
}

// Close closes this end. The other end sees the close after the data sent before.
func (c conn) Close() error {
	c.link.closed[c.end].Store(true)
	return c.Conn.Close()
}

// Peek returns peek.Ended if the other end was closed and the close is not delayed. It does not
// report pending data.
func (c conn) Peek() peek.State {
	delayed := c.link.network.isDelayed(c.remote.Addr(), c.local.Addr())
	if c.link.closed[1-c.end].Load() && !delayed && !c.link.silent.Load() {
		return peek.Closed
	}
	return peek.Unknown
}

// LocalAddr returns the address of this end.
func (c conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the address of the other end.
func (c conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

func (n *Network) newLink(from, to netip.AddrPort) (near, far net.Conn, l *link) {
	nearOuter, nearInner := net.Pipe()
	farOuter, farInner := net.Pipe()
	l = &link{
		network:  n,
		forward:  n.newDirection(from.Addr(), to.Addr()),
		backward: n.newDirection(to.Addr(), from.Addr()),
		from:     from.Addr(),
		to:       to.Addr(),
		port:     to.Port(),
		ends:     [4]net.Conn{nearOuter, nearInner, farOuter, farInner},
		stop:     make(chan struct{}),
	}
	n.mu.Lock()
	n.links[l] = true
	n.mu.Unlock()
	go l.transfer(nearInner, farInner, l.forward)
	go l.transfer(farInner, nearInner, l.backward)
	return conn{nearOuter, l, 0, from, to}, conn{farOuter, l, 1, to, from}, l
}

// kill closes the ends at a killed host. The other end sees the close unless the link is silent.
func (l *link) kill(host netip.Addr) {
	if !l.silent.Load() {
		_ = l.Close()
		return
	}
	// The outer ends have the indices 0 and 2.
	if l.from == host {
		_ = l.ends[0].Close()
	}
	if l.to == host {
		_ = l.ends[2].Close()
	}
}

// Close resets the connection: it closes both ends at once and drops data in flight.
func (l *link) Close() error {
	l.once.Do(func() {
		close(l.stop)
		l.network.mu.Lock()
		delete(l.network.links, l)
		l.network.mu.Unlock()
		for _, c := range l.ends {
			_ = c.Close()
		}
	})
	return nil
}

type packet struct {
	data      []byte
	deliverAt time.Time
}

const (
	packetSize         = 16 << 10
	maxPacketsInFlight = 256
	// limitedPacketSize and limitedMaxPacketsInFlight apply to rate-limited links. One connection
	// has limitedMaxPacketsInFlight packets at each end: the 64 KiB of both ends fill 200 Mbit/s
	// with a round trip of 2 ms.
	limitedPacketSize         = 4 << 10
	limitedMaxPacketsInFlight = 8
)

// transfer copies data in one direction until either end closes.
func (l *link) transfer(in, out net.Conn, d direction) {
	size, maxPackets := packetSize, maxPacketsInFlight
	if d.limited() {
		size, maxPackets = limitedPacketSize, limitedMaxPacketsInFlight
	}
	packets := make(chan packet, maxPackets)
	received := packets
	if d.in != nil {
		received = make(chan packet, maxPackets)
		go l.limitReceiver(packets, received, d.in)
	}
	go l.deliver(received, out, d)
	defer close(packets)
	buffer := make([]byte, size)
	for {
		count, err := in.Read(buffer)
		if count > 0 {
			l.network.addSent(Flow{From: d.from, To: d.to, Port: l.port}, count)
			delay := d.out.reserve(count) + l.network.latency(d.from, d.to)
			p := packet{data: append([]byte(nil), buffer[:count]...), deliverAt: time.Now().Add(delay)}
			select {
			case packets <- p:
			case <-l.stop:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// limitReceiver applies the rate limit of the receiving host to packets in order of arrival.
func (l *link) limitReceiver(packets <-chan packet, received chan<- packet, lim *limiter) {
	defer close(received)
	for p := range packets {
		if !sleepOrStop(time.Until(p.deliverAt), l.stop) {
			return
		}
		p.deliverAt = time.Now().Add(lim.reserve(len(p.data)))
		select {
		case received <- p:
		case <-l.stop:
			return
		}
	}
}

func (l *link) deliver(packets <-chan packet, out net.Conn, d direction) {
	defer func() {
		if l.silent.Load() {
			if l.endedDirections.Add(1) == 2 {
				_ = l.Close()
			}
			return
		}
		// The other end sees the close after the data.
		if l.network.awaitDelivery(d.from, d.to, l.stop) {
			_ = l.Close()
		}
	}()
	for p := range packets {
		if !sleepOrStop(time.Until(p.deliverAt), l.stop) {
			return
		}
		if !l.network.awaitDelivery(d.from, d.to, l.stop) {
			return
		}
		if l.silent.Load() {
			continue
		}
		if _, err := out.Write(p.data); err != nil && !l.silent.Load() {
			return
		}
	}
}
