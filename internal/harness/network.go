// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package harness

import (
	"context"
	"net"
	"net/netip"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/memnet"
)

// Network is where a site's processes listen and connect.
type Network interface {
	// Listen listens at an address that Address returned.
	Listen(address netip.AddrPort) (net.Listener, error)
	// Address returns an address for the process with the given number. Ports
	// of one number share an IP number where the network has several.
	Address(number, port int) (netip.AddrPort, error)
	// Dialer returns how the host with that IP number connects.
	Dialer(host netip.Addr) backend.Dial
}

// Loopback is the machine's own loopback.
type Loopback struct{}

// Listen listens on a real socket.
func (Loopback) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Address returns a port that is free now.
func (Loopback) Address(int, int) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}

// Dialer returns the standard dialer.
func (Loopback) Dialer(netip.Addr) backend.Dial {
	d := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return d.DialContext(ctx, network, address)
	}
}

// Memory is a network in memory: each number is a host of its own.
type Memory struct {
	*memnet.Network
}

// Address returns 10.X.Y.1 for a number, with the port as asked.
func (Memory) Address(number, port int) (netip.AddrPort, error) {
	host := netip.AddrFrom4([4]byte{10, byte(number >> 8), byte(number), 1})
	return netip.AddrPortFrom(host, uint16(port)), nil
}

// Dialer returns the network's dialer.
func (m Memory) Dialer(host netip.Addr) backend.Dial {
	return m.Network.Dialer(host)
}
