// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Dial connects to an address given as IP address and port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// connectTimeout limits one connection attempt. Round trips in the networks that the
	// hosts run in take a few milliseconds, and a lost SYN packet is retransmitted after a
	// second.
	connectTimeout = 1200 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server does not
	// announce its own timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout limits the timeout that a server announces.
	maxIdleTimeout = 30 * time.Second
	// idleTimeoutMargin is subtracted from the announced timeout, to allow for network
	// latency and for the rounding to whole seconds.
	idleTimeoutMargin = 700 * time.Millisecond
	// maxIdlePerAddress limits the number of idle connections to one address.
	maxIdlePerAddress = 4
)

// Pool keeps connections to backend servers for reuse. It is safe for concurrent use.
type Pool struct {
	dial     Dial
	observer Observer

	mu sync.Mutex
	// idle holds the idle connections, the most recently used last. It contains no empty
	// lists.
	idle   map[netip.AddrPort][]*conn
	opened int64
	closed bool
	// silentAt is when a reused connection to silentAddress turned out to be silent last.
	silentAddress netip.AddrPort
	silentAt      time.Time
	// answeredAt is when a reused connection older than silenceWindow carried an answer last.
	answeredAt time.Time
}

// NewPool returns an empty pool.
func NewPool(dial Dial, observer Observer) *Pool {
	return &Pool{dial: dial, observer: observer, idle: make(map[netip.AddrPort][]*conn)}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections; after that, the pool keeps no connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

// CloseExpired closes connections whose idle timeout has expired. It must be called
// about once a second.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address, for example because another
// server may have it now.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// recordSilence records that a call that began on an idle connection has received nothing, and
// closes idle connections that may be silent too: those to the same server, and if the same has
// happened at another server while no older connection carried an answer, those to all servers.
// Otherwise each of them would make a request wait in vain. Connections that were used after the
// call began are kept.
func (p *Pool) recordSilence(address netip.AddrPort, began time.Time) {
	p.observer.Silent(address, began)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	elsewhere := p.silentAddress != address && now.Sub(p.silentAt) < silenceWindow
	p.silentAddress, p.silentAt = address, now
	if !elsewhere || p.answeredAt.After(began) {
		p.closeIdleSince(address, began)
		return
	}
	for address := range p.idle {
		p.closeIdleSince(address, began)
	}
}

// recordAnswer records that a reused connection carried an answer.
func (p *Pool) recordAnswer(openedAt, now time.Time) {
	if now.Sub(openedAt) < silenceWindow {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = now
}

// closeIdleSince closes the connections to an address that have been idle since before a
// point in time. The caller must hold p.mu.
func (p *Pool) closeIdleSince(address netip.AddrPort, before time.Time) {
	kept := p.idle[address][:0]
	for _, c := range p.idle[address] {
		if c.idleSince.After(before) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	if len(kept) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = kept
}

// takeIdle returns an idle connection that is quiet, or nil.
func (p *Pool) takeIdle(address netip.AddrPort, now time.Time) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if now.Before(c.expiresAt) && c.isQuiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list[:len(list)-1]
	}
	return c
}

func (p *Pool) connect(ctx context.Context, address netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	observed := p.observeConnect(address)
	c, err := p.dial(ctx, "tcp", address.String())
	observed(err)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(c), nil
}

// putIdle returns a connection to the pool after an answer with the given header.
func (p *Pool) putIdle(address netip.AddrPort, c *conn, header http.Header, now time.Time) {
	c.idleSince = now
	c.expiresAt = now.Add(idleTimeout(header))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address]) >= maxIdlePerAddress || !now.Before(c.expiresAt) {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// idleTimeout returns how long a connection may stay idle after an answer with the given
// header.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			break
		}
		return min(time.Duration(seconds)*time.Second, maxIdleTimeout) - idleTimeoutMargin
	}
	return defaultIdleTimeout
}
