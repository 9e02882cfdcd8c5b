// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package notice

import (
	"net/netip"
	"time"
)

// Notice is what an answer tells of its server beside its request.
type Notice struct {
	// Leaving says that the server leaves. It holds until that run of it ends.
	Leaving bool
	// Rest is how long the server wants nothing from the host that it answered; 0 is
	// not told. It says nothing to other hosts.
	Rest time.Duration
}

// Server is one run of a backend server.
type Server struct {
	// Instance names the run: one that starts again has another.
	Instance string
	Address  netip.AddrPort
}

// Source is where a host has it from that a server leaves.
type Source string

// The sources there are.
const (
	SourceAnswer Source = "answer"
	SourcePeer   Source = "peer"
	SourceList   Source = "list"
)
