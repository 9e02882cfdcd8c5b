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

// Network is the network of a site, on which its processes listen and connect.
type Network interface {
	// Listen listens on an address that Address returned.
	Listen(address netip.AddrPort) (net.Listener, error)
	// Address returns an address for the process with the given number. If the network has
	// several IP addresses, all ports of one number share one.
	Address(number, port int) (netip.AddrPort, error)
	// Dialer returns the dial function of the host with the given IP address.
	Dialer(host netip.Addr) backend.Dial
}

// Loopback is a Network on the loopback interface of the machine.
type Loopback struct{}

// Listen listens on a TCP socket.
func (Loopback) Listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// Address returns a loopback address with a port that is currently free. It ignores the number
// and the port.
func (Loopback) Address(int, int) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}

// Dialer returns the dial function of a net.Dialer.
func (Loopback) Dialer(netip.Addr) backend.Dial {
	d := &net.Dialer{}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return d.DialContext(ctx, network, address)
	}
}

// Memory is a Network in memory, in which each number is a separate host.
type Memory struct {
	*memnet.Network
}

// Address returns the given port at 10.X.Y.1, where X and Y are the two low bytes of the number.
func (Memory) Address(number, port int) (netip.AddrPort, error) {
	host := netip.AddrFrom4([4]byte{10, byte(number >> 8), byte(number), 1})
	return netip.AddrPortFrom(host, uint16(port)), nil
}

// Dialer returns the dial function of the host with the given IP address.
func (m Memory) Dialer(host netip.Addr) backend.Dial {
	return m.Network.Dialer(host)
}
