// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package memnet implements a small in-memory network. Links can have a latency and a bandwidth
// limit, and can be cut in one or both directions, healed, or silenced permanently. Hosts can be
// frozen and killed. The package works under testing/synctest.
//
// A cut link delays data until it is healed, as TCP does. The listeners of a frozen host still
// accept connections, as its kernel would.
package memnet

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network is an in-memory network of hosts. It is safe for concurrent use.
type Network struct {
	latency func(from, to netip.Addr) time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	links     map[*link]bool
	cuts      map[hostPair]bool
	refused   map[hostPair]bool
	frozen    map[netip.Addr]bool
	// dark has the hosts that are off.
	dark      map[netip.Addr]bool
	lastPorts map[netip.Addr]uint16
	sent      map[Flow]*atomic.Int64
	limiters  map[netip.Addr]limiters
	// disturbed reports whether there are cuts, frozen hosts or hosts that are off.
	disturbed atomic.Bool
	// changed is closed and replaced when cuts, frozen or dark change.
	changed chan struct{}
}

type hostPair struct{ from, to netip.Addr }

// New returns a network whose links have the given one-way latency. If latency is nil there is
// none.
func New(latency func(from, to netip.Addr) time.Duration) *Network {
	if latency == nil {
		latency = func(netip.Addr, netip.Addr) time.Duration { return 0 }
	}
	return &Network{
		latency:   latency,
		listeners: make(map[netip.AddrPort]*listener),
		links:     make(map[*link]bool),
		cuts:      make(map[hostPair]bool),
		refused:   make(map[hostPair]bool),
		frozen:    make(map[netip.Addr]bool),
		dark:      make(map[netip.Addr]bool),
		lastPorts: make(map[netip.Addr]uint16),
		sent:      make(map[Flow]*atomic.Int64),
		limiters:  make(map[netip.Addr]limiters),
		changed:   make(chan struct{}),
	}
}

// Flow identifies the data that one host sends another on connections to a port, which may be a
// port of either host.
type Flow struct {
	From netip.Addr
	To   netip.Addr
	Port uint16
}

// Sent returns the number of bytes sent on each flow so far.
func (n *Network) Sent() map[Flow]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := make(map[Flow]int64, len(n.sent))
	for f, bytes := range n.sent {
		if count := bytes.Load(); count > 0 {
			sent[f] = count
		}
	}
	return sent
}

// update changes cuts or frozen.
func (n *Network) update(change func()) {
	n.mu.Lock()
	links := slices.Collect(maps.Keys(n.links))
	n.mu.Unlock()
	for _, l := range links {
		l.settle()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	n.disturbed.Store(len(n.cuts)+len(n.frozen)+len(n.dark) > 0)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut delays all data from one host to another until the cut is healed. The other direction is not
// affected.
func (n *Network) Cut(from, to netip.Addr) {
	n.update(func() { n.cuts[hostPair{from, to}] = true })
}

// Heal removes the cut from one host to another.
func (n *Network) Heal(from, to netip.Addr) {
	n.update(func() { delete(n.cuts, hostPair{from, to}) })
}

// PowerOff makes a host silent, until HealAll: open connections to it hang, and so do attempts to
// connect.
func (n *Network) PowerOff(host netip.Addr) {
	n.update(func() { n.dark[host] = true })
}

// HealAll removes all cuts, and the silence of hosts that are off.
func (n *Network) HealAll() {
	n.update(func() {
		clear(n.cuts)
		clear(n.dark)
	})
}

// Freeze delays all data to and from a host if frozen is true, and delivers it again if not.
func (n *Network) Freeze(host netip.Addr, frozen bool) {
	n.update(func() {
		if frozen {
			n.frozen[host] = true
			return
		}
		delete(n.frozen, host)
	})
}

// AwaitUnfrozen blocks while the host is frozen.
func (n *Network) AwaitUnfrozen(host netip.Addr) {
	for {
		n.mu.Lock()
		frozen, changed := n.frozen[host], n.changed
		n.mu.Unlock()
		if !frozen {
			return
		}
		<-changed
	}
}

// Kill closes the host's listeners and resets its connections.
func (n *Network) Kill(host netip.Addr) {
	n.mu.Lock()
	var listeners []io.Closer
	for a, l := range n.listeners {
		if a.Addr() == host {
			listeners = append(listeners, l)
		}
	}
	links := n.matchingLinks(func(from, to netip.Addr) bool { return from == host || to == host })
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, l := range links {
		l.kill(host)
	}
	n.Freeze(host, false)
}

// Silence permanently silences the open connections between hosts for which match returns true:
// written data is discarded, nothing arrives, and neither end sees an error or the close of the
// other. New connections work. The from parameter of match is the host that dialed.
func (n *Network) Silence(match func(from, to netip.Addr) bool) {
	n.mu.Lock()
	links := n.matchingLinks(match)
	n.mu.Unlock()
	for _, l := range links {
		l.silence()
	}
}

// matchingLinks returns the open links between hosts for which match returns true. The mutex must
// be held.
func (n *Network) matchingLinks(match func(from, to netip.Addr) bool) []*link {
	var links []*link
	for l := range n.links {
		if match(l.from, l.to) {
			links = append(links, l)
		}
	}
	return links
}

// isDelayed reports whether data from one host to another is delayed by a cut or a frozen host.
func (n *Network) isDelayed(from, to netip.Addr) bool { return n.delayed(from, to) != nil }

// delayed returns nil if data from one host to another is not delayed, and else a channel that is
// closed when that may have changed.
func (n *Network) delayed(from, to netip.Addr) <-chan struct{} {
	if !n.disturbed.Load() {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[hostPair{from, to}] || n.frozen[from] || n.frozen[to] || n.dark[from] || n.dark[to] {
		return n.changed
	}
	return nil
}

func (n *Network) blocksDial(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[hostPair{from, to}] || n.cuts[hostPair{to, from}] || n.frozen[from] || n.dark[from] || n.dark[to]
}

// Listen listens on address. It returns an error if the address is in use.
func (n *Network) Listen(address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("memnet: %s is in use", address)
	}
	l := &listener{network: n, address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for a host. Addresses must be IP addresses with a port.
func (n *Network) Dialer(host netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		conn, err := n.dial(ctx, host, to)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		return conn, nil
	}
}

func (n *Network) dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	for n.blocksDial(from, to.Addr()) {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
	if !sleep(ctx, 2*n.latency(from, to.Addr())) {
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l := n.listeners[to]
	if l == nil || n.refused[hostPair{from, to.Addr()}] {
		n.mu.Unlock()
		return nil, fmt.Errorf("memnet: connection to %s: %w", to, syscall.ECONNREFUSED)
	}
	n.lastPorts[from]++
	local := netip.AddrPortFrom(from, 30000+n.lastPorts[from]%30000)
	n.mu.Unlock()
	near, far, opened := n.newLink(local, to)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
	case <-ctx.Done():
	}
	opened.close()
	return nil, fmt.Errorf("memnet: connection to %s: %w", to, syscall.ECONNREFUSED)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

type listener struct {
	network *Network
	address netip.AddrPort
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept waits for the next connection. It returns net.ErrClosed once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and frees its address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		close(l.done)
	})
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
