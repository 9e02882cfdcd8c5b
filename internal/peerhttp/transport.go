// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peerhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/wire"
)

const (
	connectTimeout = 400 * time.Millisecond
	idleTimeout    = 30 * time.Second
	maxIdleConns   = 64
	// hedgeDivisor and maxHedgeDelay bound how long a kept connection may take before a new one
	// is tried: the time left for the call divided by hedgeDivisor, at most maxHedgeDelay. Hosts
	// answer within a few milliseconds.
	hedgeDivisor  = 3
	maxHedgeDelay = 150 * time.Millisecond
	// maxHedgedBytes is the size of the largest call that is hedged: larger ones take long on a
	// slow link.
	maxHedgedBytes = 32 << 10
	// hedgePause is the minimum time between hedges to one host, so that a host that is merely
	// slow does not get a new connection for every call.
	hedgePause = time.Second
	// silenceTimeout is how long a patient call may be without an informational response: three
	// intervals.
	silenceTimeout = 3 * keepAliveInterval
	// maxPatientAttempts bounds how often one patient call is made.
	maxPatientAttempts = 3
)

// Dial connects to an address given as IP address and port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.RoundTripper. It is safe for concurrent use.
type Transport struct {
	dial  Dial
	scope tally.Scope

	mu    sync.Mutex
	pools map[string]*connPool
}

// connPool has the kept connections to one host.
type connPool struct {
	http *http.Transport
	// replaced is closed when another pool takes the place of this one.
	replaced chan struct{}
	// hedging reports that a new connection is being tried. None is tried before nextHedgeAt.
	hedging     bool
	nextHedgeAt time.Time
}

// New returns a transport without connections. Counters in scope count how often new connections
// were tried and how often they replaced others.
func New(dial Dial, scope tally.Scope) *Transport {
	return &Transport{dial: dial, scope: scope, pools: make(map[string]*connPool)}
}

func (t *Transport) newPool() *connPool {
	return &connPool{replaced: make(chan struct{}), http: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return t.dial(ctx, network, address)
		},
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: wire.MaxHeadBytes,
	}}
}

func (t *Transport) pool(host string) *connPool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[host]
	if p == nil {
		p = t.newPool()
		t.pools[host] = p
	}
	return p
}

// replace replaces a pool whose connections are silent by a fresh one.
func (t *Transport) replace(host string, silent, fresh *connPool) {
	t.mu.Lock()
	if t.pools[host] != silent {
		t.mu.Unlock()
		fresh.http.CloseIdleConnections()
		return
	}
	t.scope.Counter("connections_replaced").Inc(1)
	t.pools[host] = fresh
	close(silent.replaced)
	t.mu.Unlock()
	silent.http.CloseIdleConnections()
}

// startHedge reports whether a call may be hedged on a new connection now.
func (t *Transport) startHedge(p *connPool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.hedging || time.Now().Before(p.nextHedgeAt) {
		return false
	}
	p.hedging = true
	return true
}

func (t *Transport) endHedge(p *connPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.hedging = false
	p.nextHedgeAt = time.Now().Add(hedgePause)
}

// CloseIdleConnections closes the connections that carry no call.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.http.CloseIdleConnections()
	}
}

// RoundTrip makes a call.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	p := t.pool(r.URL.Host)
	if r.Body != nil && r.Body != http.NoBody && r.GetBody == nil {
		return p.http.RoundTrip(r)
	}
	if isPatient(r.Context()) {
		return t.patientRoundTrip(r, p)
	}
	return t.quickRoundTrip(r, p)
}

// quickRoundTrip makes a call that should be answered soon.
func (t *Transport) quickRoundTrip(r *http.Request, p *connPool) (*http.Response, error) {
	first := startAttempt(r, p)
	deadline, ok := r.Context().Deadline()
	if !ok || r.ContentLength > maxHedgedBytes {
		return first.wait()
	}
	timer := time.NewTimer(min(time.Until(deadline)/hedgeDivisor, maxHedgeDelay))
	defer timer.Stop()
	replaced := p.replaced
	for {
		select {
		case <-first.done:
			return first.wait()
		case <-replaced:
			return race(first, startAttempt(r, t.pool(r.URL.Host)))
		case <-timer.C:
			if first.reused.Load() && t.startHedge(p) {
				return t.hedge(r, p, first)
			}
		}
	}
}

// hedge repeats a call on a new connection.
func (t *Transport) hedge(r *http.Request, p *connPool, first *attempt) (*http.Response, error) {
	defer t.endHedge(p)
	t.scope.Counter("connections_tried").Inc(1)
	fresh := t.newPool()
	second := startAttempt(r, fresh)
	response, err := race(first, second)
	if second.won {
		t.replace(r.URL.Host, p, fresh)
	} else {
		fresh.http.CloseIdleConnections()
	}
	return response, err
}

// patientRoundTrip makes a call that may take long, and retries it if its connection is silent.
func (t *Transport) patientRoundTrip(r *http.Request, p *connPool) (*http.Response, error) {
	for attempts := 1; ; attempts++ {
		a := startAttempt(r, p)
		if attempts == maxPatientAttempts || a.waitWhileAlive() {
			return a.wait()
		}
		go a.discard()
		fresh := t.newPool()
		t.replace(r.URL.Host, p, fresh)
		p = t.pool(r.URL.Host)
	}
}
