// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package memnet

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// link is a connection between two hosts. It has no goroutines of its own while its ends read what
// arrives: a read waits until the latency, the rate limit and the cuts of the network let the next
// packet through.
type link struct {
	network  *Network
	from, to netip.Addr
	// silent reports that neither data nor the end of the data is delivered any more.
	silent atomic.Bool

	mu sync.Mutex
	// out carries what the end that dialed sends, and back what the other end sends.
	out, back *stream
	// reset reports that the connection was reset, and data in flight was dropped.
	reset bool
}

// stream is one direction of a link. The mutex of the link guards its fields.
type stream struct {
	link      *link
	direction direction
	// sent are packets that have yet to pass the rate limit of the receiving host, if it has one.
	// queue are those that only wait for their time.
	sent, queue []packet
	// ended reports that the sender has sent its last packet, and endArrived that the receiver may
	// know: all packets have been read, and no cut delays the end.
	ended, endArrived bool
	// unread reports that the receiver has closed its end, both directions of it.
	unread bool
	// limiting and absorbing report whether the goroutines of these methods run.
	limiting, absorbing bool
	// writing reports that a write is in progress. Others wait for its end.
	writing                     bool
	readDeadline, writeDeadline time.Time
	// changed is closed when the stream changes. It is nil if no goroutine waits.
	changed chan struct{}
}

type packet struct {
	data      []byte
	deliverAt time.Time
	// arrived means that the receiver may read the rest of the packet, whatever is cut.
	arrived bool
}

func (n *Network) newLink(from, to netip.AddrPort) (near, far net.Conn, l *link) {
	l = &link{network: n, from: from.Addr(), to: to.Addr()}
	l.out = &stream{link: l, direction: n.newDirection(Flow{From: from.Addr(), To: to.Addr(), Port: to.Port()})}
	l.back = &stream{link: l, direction: n.newDirection(Flow{From: to.Addr(), To: from.Addr(), Port: to.Port()})}
	n.mu.Lock()
	n.links[l] = true
	n.mu.Unlock()
	near = &conn{link: l, in: l.back, out: l.out, local: from, remote: to}
	far = &conn{link: l, in: l.out, out: l.back, local: to, remote: from}
	return near, far, l
}

// kill closes the ends at a killed host. The other end sees the close unless the link is silent.
func (l *link) kill(host netip.Addr) {
	if !l.silent.Load() {
		l.close()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from == host {
		l.closeEnd(l.back, l.out)
	}
	if l.to == host {
		l.closeEnd(l.out, l.back)
	}
}

// closeEnd closes the end that receives in and sends out. The mutex must be held.
func (l *link) closeEnd(in, out *stream) {
	in.unread, out.ended = true, true
	in.absorb()
	in.notify()
	out.notify()
	if out.unread {
		l.closeLocked()
	}
}

// close resets the connection: it closes both ends at once and drops data in flight.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

// closeLocked is close. The mutex must be held.
func (l *link) closeLocked() {
	l.network.mu.Lock()
	delete(l.network.links, l)
	l.network.mu.Unlock()
	if l.out.hasEnded() && l.back.hasEnded() {
		return
	}
	l.reset = true
	for _, s := range []*stream{l.out, l.back} {
		s.sent, s.queue = nil, nil
		s.notify()
	}
}

// settle lets through what has arrived by now, before the network or the link changes. What comes
// later waits for its turn.
func (l *link) settle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range []*stream{l.out, l.back} {
		if len(s.queue) > 0 && s.untilDue() <= 0 && s.passes() {
			s.queue[0].arrived = true
		}
		s.hasEnded()
	}
}

// silence makes the link silent.
func (l *link) silence() {
	l.settle()
	l.silent.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out.absorb()
	l.back.absorb()
}

// All methods of streams require the link's mutex.

// notify wakes all that wait for a change of the stream.
func (s *stream) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// wait releases the link's mutex until the stream changes, d has passed, or other is closed. It may
// return earlier. Zero values stand for no limit.
func (s *stream) wait(d time.Duration, other <-chan struct{}) {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	changed := s.changed
	s.link.mu.Unlock()
	defer s.link.mu.Lock()
	var passed <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		passed = timer.C
	}
	select {
	case <-changed:
	case <-other:
	case <-passed:
	}
}

// passes reports whether neither a cut nor silence delays what the stream carries.
func (s *stream) passes() bool {
	return !s.link.silent.Load() && !s.link.network.isDelayed(s.direction.from, s.direction.to)
}

// untilDue returns the time until the first packet of the queue is due. There must be one.
func (s *stream) untilDue() time.Duration { return time.Until(s.queue[0].deliverAt) }

// hasEnded reports whether the receiver may know that the sender has ended the data.
func (s *stream) hasEnded() bool {
	if !s.endArrived && s.ended && len(s.sent)+len(s.queue) == 0 && !s.link.reset && s.passes() {
		s.endArrived = true
		s.link.out.notify()
		s.link.back.notify()
	}
	return s.endArrived
}

// isFull reports whether the sender must wait before it sends more.
func (s *stream) isFull() bool {
	_, limit := s.direction.packetLimits()
	if s.direction.in != nil {
		return len(s.sent) >= limit+2
	}
	return len(s.queue) >= limit+2
}

// send queues one packet.
func (s *stream) send(data []byte) {
	d := s.direction
	d.sent.Add(int64(len(data)))
	delay := d.out.reserve(len(data)) + s.link.network.latency(d.from, d.to)
	p := packet{data: slices.Clone(data), deliverAt: time.Now().Add(delay)}
	if d.in == nil {
		s.enqueue(p)
		return
	}
	s.sent = append(s.sent, p)
	if !s.limiting {
		s.limiting = true
		go s.limitReceiver()
	}
}

func (s *stream) enqueue(p packet) {
	s.queue = append(s.queue, p)
	s.notify()
	s.absorb()
}

// remove removes the first packet of the queue.
func (s *stream) remove() {
	s.queue[0] = packet{}
	s.queue = s.queue[1:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	s.notify()
}

// limitReceiver applies the rate limit of the receiving host to packets in order of arrival, until
// there are none.
func (s *stream) limitReceiver() {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	defer func() { s.limiting = false }()
	_, limit := s.direction.packetLimits()
	for len(s.sent) > 0 {
		if d := time.Until(s.sent[0].deliverAt); d > 0 {
			s.wait(d, nil)
			continue
		}
		p := s.sent[0]
		p.deliverAt = time.Now().Add(s.direction.in.reserve(len(p.data)))
		for len(s.queue) > limit {
			s.wait(0, nil)
		}
		if s.link.reset {
			return
		}
		s.sent = s.sent[1:]
		s.enqueue(p)
	}
}

// absorb starts to take packets that nobody reads from the queue, if there are any: those of a
// silent link, and those for an end that was closed.
func (s *stream) absorb() {
	if s.absorbing || len(s.queue) == 0 || !s.unread && !s.link.silent.Load() {
		return
	}
	s.absorbing = true
	go func() {
		s.link.mu.Lock()
		defer s.link.mu.Unlock()
		defer func() { s.absorbing = false }()
		for len(s.queue) > 0 {
			s.absorbFirst()
		}
	}()
}

// absorbFirst waits until the first packet of the queue arrives. It drops it if the link is silent.
// Data for a closed end resets the connection.
func (s *stream) absorbFirst() {
	if d := s.untilDue(); d > 0 {
		s.wait(d, nil)
		return
	}
	arrived := s.queue[0].arrived
	if changed := s.link.network.delayed(s.direction.from, s.direction.to); changed != nil && !arrived {
		s.wait(0, changed)
		return
	}
	switch {
	case !s.link.silent.Load():
		s.link.closeLocked()
	case arrived && !s.unread:
		s.wait(0, nil)
	default:
		s.remove()
	}
}
