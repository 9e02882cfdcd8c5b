// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/choose"
	"github.com/wingvale/wingvale/internal/limit"
)

// Server is a backend server as the host list and the fleet view have it.
type Server struct {
	Address  netip.AddrPort
	Zone     string
	Instance string
	// Leaving says that it must get no new call.
	Leaving bool
}

const (
	// failuresToEject in a row take a server out.
	failuresToEject = 3
	ejectFirst      = time.Second
	ejectMost       = 30 * time.Second
	// floor is the share of a pool's servers that stay in whatever happens.
	floor = 0.5
)

// server is what the node knows of a backend server.
type server struct {
	Server
	limit    *limit.Limit
	inFlight int
	// reported, slots and reportedAt are of the last report.
	reported   int
	slots      int
	reportedAt time.Time
	// failures counts failures in a row, and ejections how often in a row the
	// server was taken out.
	failures  int
	ejections int
	// until is when an ejected server may be tried again.
	until time.Time
	// probing limits a server that was ejected to one call until it succeeds.
	probing bool
	// models are the ones that an engine holds ready; nil is not known.
	models map[string]bool
	served int
}

func newServer(s Server, options limit.Options) *server {
	return &server{Server: s, limit: limit.New(options)}
}

func (s *server) ejected(now time.Time) bool {
	return now.Before(s.until)
}

func (s *server) holds(model string) bool {
	return model == "" || s.models == nil || s.models[model]
}

// share is the node's part of the server, which may be less than one call.
func (s *server) share() float64 {
	if s.probing {
		return min(s.limit.Value(), 1)
	}
	return s.limit.Value()
}

// allowed returns how many calls may be in flight there at once.
func (s *server) allowed() int {
	return int(math.Ceil(s.share()))
}

// failed notes a failure. One that could not even be connected to is taken out
// at once: it looks idle, and would draw one call after the other.
func (s *server) failed(now time.Time, unreachable bool) {
	s.failures++
	if s.failures < failuresToEject && !s.probing && !unreachable {
		return
	}
	s.until = now.Add(min(ejectFirst<<min(s.ejections, 5), ejectMost))
	s.ejections++
	s.failures = 0
	s.probing = true
}

func (s *server) succeeded() {
	s.failures, s.ejections = 0, 0
	s.probing = false
	s.until = time.Time{}
}

func (s *server) candidate(now time.Time, zone string) choose.Candidate {
	return choose.Candidate{
		InFlight: s.inFlight,
		Limit:    s.allowed(),
		Reported: s.reported,
		Slots:    s.slots,
		Age:      now.Sub(s.reportedAt),
		Slowdown: s.limit.Slowdown(),
		Near:     s.Zone == zone,
	}
}
