// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"
)

// hangThreshold is how long an attempt to connect may take before an Observer learns that it hangs.
// It is many times a usual round trip.
const hangThreshold = 250 * time.Millisecond

// Observer learns how connections to backend servers fare. Its methods are called concurrently and
// must not block.
type Observer interface {
	// Connected is called when an attempt to connect, which began at a point in time, succeeds.
	Connected(address netip.AddrPort, began time.Time)
	// Unconnected is called once per attempt if it fails or hangs. One that hangs may still succeed.
	Unconnected(address netip.AddrPort, began time.Time)
	// Answered is called when an answer to a call arrives.
	Answered(address netip.AddrPort)
	// Silent is called when a call that began at a point in time on a reused connection is overdue.
	Silent(address netip.AddrPort, began time.Time)
}

// Unobserved is an Observer that ignores everything.
type Unobserved struct{}

// Connected does nothing.
func (Unobserved) Connected(netip.AddrPort, time.Time) {}

// Unconnected does nothing.
func (Unobserved) Unconnected(netip.AddrPort, time.Time) {}

// Answered does nothing.
func (Unobserved) Answered(netip.AddrPort) {}

// Silent does nothing.
func (Unobserved) Silent(netip.AddrPort, time.Time) {}

// Probe opens a connection to an address and closes it. The Observer learns of the result.
func (p *Pool) Probe(ctx context.Context, address netip.AddrPort) error {
	c, err := p.connect(ctx, address)
	if err == nil {
		_ = c.Close()
	}
	return err
}

// observeConnect starts to observe an attempt to connect. The returned function must be called with
// its result.
func (p *Pool) observeConnect(address netip.AddrPort) func(err error) {
	began := time.Now()
	hung := time.AfterFunc(hangThreshold, func() { p.observer.Unconnected(address, began) })
	return func(err error) {
		isFirst := hung.Stop()
		switch {
		case err == nil:
			p.observer.Connected(address, began)
		case isFirst && isLinkError(err):
			p.observer.Unconnected(address, began)
		}
	}
}

// isLinkError reports whether an attempt to connect failed because of the network or the other end.
func isLinkError(err error) bool {
	for _, e := range []error{
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
