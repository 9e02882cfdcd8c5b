// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package notice

import (
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/option"
)

// Notice is what an answer says about its server rather than about the request.
type Notice struct {
	// Leaving says that the server is shutting down. It applies until that run ends.
	Leaving bool
	// Rest is for how long the server wants no requests from the host that it answered; 0 if
	// it did not ask for a rest. It does not apply to other hosts.
	Rest time.Duration
	// Limit is what the answer states about the server's rate limit.
	Limit StatedLimit
	// Brittleness is what the answer states about how many rejections the server bears.
	Brittleness StatedBrittleness
	// Load is what the answer states about the server's load.
	Load StatedLoad
	// SentAt is when the request was sent.
	SentAt time.Time
}

// StatedLimit is what an answer states about the rate limit of its server. The zero value states
// nothing.
type StatedLimit struct {
	Stated bool
	// Limited is false if the server states that it has no limit.
	Limited bool
	// PerSecond is how many requests the server accepts in a second from all hosts together.
	PerSecond float64
}

// StatedBrittleness is what an answer states about whether its server is brittle: whether it crashes
// if it has to reject too many requests for lack of room. The zero value states nothing.
type StatedBrittleness struct {
	Stated bool
	// Rejections is how many requests a brittle server can reject in a second, of those of all
	// hosts together. It is absent if the server is not brittle.
	Rejections option.Value[int]
}

// StatedLoad is what an answer states about the load of its server. The zero value states nothing.
type StatedLoad struct {
	Stated bool
	// Invalid is the stated value if it cannot be parsed. Stated is false then.
	Invalid string
	// Running and Waiting are the calls of all hosts at the server, Slots how many it runs at
	// once.
	Running int
	Waiting int
	Slots   int
	// Pace is the current time of work as a multiple of its usual time; 0 if it is not stated.
	Pace float64
}

// Server is one run of a backend server.
type Server struct {
	// Instance identifies the run. A server that is restarted gets a new one.
	Instance string
	Address  netip.AddrPort
}

// Source is how a host found out that a server is leaving.
type Source string

// The sources of the information that a server is leaving: its own answer, another host, or
// the server list.
const (
	SourceAnswer Source = "answer"
	SourcePeer   Source = "peer"
	SourceList   Source = "list"
)
