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

// Server is a backend server according to the server list and the fleet view.
type Server struct {
	Address  netip.AddrPort
	Zone     string
	Instance string
	// Leaving says that the server must get no new calls.
	Leaving bool
}

const (
	// failuresToEject is how many consecutive failures eject a server. The first
	// ejection lasts initialEjection; each further one lasts twice as long, up to
	// maxEjection.
	failuresToEject = 3
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// minActiveShare is the share of a pool's servers below which ejections are ignored.
	minActiveShare = 0.5
)

// server is the node's state of one backend server.
type server struct {
	Server
	limit    *limit.Limit
	inFlight int
	// reported is how many calls of other nodes the last load report counted. slots and
	// reportedAt are also from that report.
	reported   int
	slots      int
	reportedAt time.Time
	// consecutiveFailures counts failures since the last success or ejection, and
	// consecutiveEjections counts ejections since the last success.
	consecutiveFailures  int
	consecutiveEjections int
	// ejectedUntil is when an ejected server may be tried again.
	ejectedUntil time.Time
	// probing limits a server that was ejected to one call at a time until one succeeds.
	probing bool
	// models is the set of models that are ready on an engine; nil if unknown.
	models map[string]bool
	// served counts the calls granted.
	served int
}

func newServer(s Server, options limit.Options) *server {
	return &server{Server: s, limit: limit.New(options)}
}

func (s *server) ejected(now time.Time) bool {
	return now.Before(s.ejectedUntil)
}

func (s *server) hasModel(model string) bool {
	return model == "" || s.models == nil || s.models[model]
}

// share returns how many calls the node may have in flight at the server. It may be
// less than 1.
func (s *server) share() float64 {
	if s.probing {
		return min(s.limit.Value(), 1)
	}
	return s.limit.Value()
}

// maxInFlight returns share rounded up to whole calls.
func (s *server) maxInFlight() int {
	return int(math.Ceil(s.share()))
}

// recordFailure counts a failure and ejects the server after failuresToEject of them. An
// unreachable server is ejected at once: it appears idle and would attract every call.
func (s *server) recordFailure(now time.Time, unreachable bool) {
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToEject && !s.probing && !unreachable {
		return
	}
	s.ejectedUntil = now.Add(min(initialEjection<<min(s.consecutiveEjections, 5), maxEjection))
	s.consecutiveEjections++
	s.consecutiveFailures = 0
	s.probing = true
}

func (s *server) recordSuccess() {
	s.consecutiveFailures, s.consecutiveEjections = 0, 0
	s.probing = false
	s.ejectedUntil = time.Time{}
}

func (s *server) candidate(now time.Time, zone string) choose.Candidate {
	return choose.Candidate{
		InFlight: s.inFlight,
		Limit:    s.maxInFlight(),
		Reported: s.reported,
		Slots:    s.slots,
		Age:      now.Sub(s.reportedAt),
		Slowdown: s.limit.Slowdown(),
		SameZone: s.Zone == zone,
	}
}
