// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package harness

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// usualBacklog is the queue of new connections while the way is whole.
const usualBacklog = 128

// Proxy stands on the way to a server. While it is cut it passes nothing on, in either direction, and new
// connections hang, but for the first one or two, which are silent. What it holds up arrives once the way is back,
// also if the server's process has ended meanwhile.
type Proxy struct {
	Address netip.AddrPort

	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	cut   bool
	whole *sync.Cond
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to a server.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: netip.MustParseAddrPort(l.Addr().String()), listener: l, target: target, conns: make(map[net.Conn]bool)}
	p.whole = sync.NewCond(&p.mu)
	go func() {
		for {
			p.await()
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// SetCut cuts the way or joins it again.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		p.setBacklog(0)
	} else {
		p.setBacklog(usualBacklog)
	}
	p.whole.Broadcast()
}

// setBacklog sets how many new connections may wait.
func (p *Proxy) setBacklog(count int) {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	// An error means that the listener is closed.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), count) })
}

// Refuse makes the address refuse connections from now on, as that of a server that has ended.
func (p *Proxy) Refuse() { _ = p.listener.Close() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetCut(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// await waits until the way is whole.
func (p *Proxy) await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.whole.Wait()
	}
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *Proxy) serve(near net.Conn) {
	p.await()
	far, err := net.Dial("tcp", p.target.String())
	if err != nil {
		// A dead port resets.
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	p.track(near, true)
	p.track(far, true)
	var both sync.WaitGroup
	both.Go(func() { p.pass(near, far) })
	both.Go(func() { p.pass(far, near) })
	both.Wait()
	for _, c := range []net.Conn{near, far} {
		p.track(c, false)
		_ = c.Close()
	}
}

// pass passes on what comes from one end, and its end.
func (p *Proxy) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			// A server that ends closes its connections, and so does a caller that leaves.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
