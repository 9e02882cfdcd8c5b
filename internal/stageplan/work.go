// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"net/netip"
	"slices"
	"time"
)

// Spec is what the configuration says of a pool.
type Spec struct {
	Service string
	// Size is the most pieces of one call, at least 1.
	Size int
	// Slots is how many calls a server works on at once, at least 1.
	Slots int
	// CallTime and PieceTime add up to the time of a call, roughly.
	CallTime  time.Duration
	PieceTime time.Duration
	// Room is how many bytes of results a server can hold.
	Room int64
	// Hold is how long a server keeps a result that is not given up.
	Hold time.Duration
}

// Server is one server of a pool.
type Server struct {
	// Instance names one run of the server.
	Instance string
	Address  netip.AddrPort
	Zone     string
	// Region is that of the zone.
	Region string
	// Leaving says that it must get no new call.
	Leaving bool
	// Unreachable says that nothing may be sent there, results that are given up
	// neither; it implies Leaving.
	Unreachable bool
}

// Work is one stage of one request.
type Work struct {
	Service string
	Request string
	Stage   int
	// Pieces are the numbers of the pieces to make, at least one.
	Pieces []int
	// Key names the input of a first stage. Inputs are the results of the
	// stages before; only one of the two is set.
	Key    string
	Inputs []string
	// Zone is where the inputs lie or the results will be used; empty is
	// anywhere.
	Zone string
	// Homes are the regions whose servers may do it; none is anywhere.
	Homes []string
	// Workspace and Route tell whose work it is and of what kind.
	Workspace string
	Route     string
	// Latest is when the stage must have ended to keep the request's
	// objective, Deadline to be of any use.
	Latest   time.Time
	Deadline time.Time
	// Priority is the route's rank, 0 the most urgent.
	Priority int
	// ResultBytes is the expected size of one result, InputBytes that of all
	// inputs of one piece.
	ResultBytes int64
	InputBytes  int64
	// Beside says that other results of the request lie at servers, or are
	// about to, while this work waits.
	Beside bool
}

// holdsRoom reports whether results take up room at other servers while the
// work waits.
func (w *Work) holdsRoom() bool {
	return w.Beside || w.InputBytes >= heavyBytes
}

// Allows reports whether a server may do the work.
func (w *Work) Allows(s Server) bool {
	return len(w.Homes) == 0 || slices.Contains(w.Homes, s.Region)
}

// heavy reports whether it matters in which zone the work is done.
func (w *Work) heavy() bool {
	return max(w.ResultBytes, w.InputBytes) >= heavyBytes
}

// Result is one piece's result, which lies at the server that made it.
type Result struct {
	Handle string
	Server netip.AddrPort
	// Zone is the server's availability zone.
	Zone string
}

// Failure says why a piece has no result.
type Failure string

// The failures there are.
const (
	FailureLate   Failure = "late"
	FailureGone   Failure = "gone"
	FailureRoom   Failure = "room"
	FailureFailed Failure = "failed"
	FailureFull   Failure = "full"
	// FailureClosed says that none of the servers takes work.
	FailureClosed Failure = "closed"
	// FailureResting says that all servers had asked the owner for rest, until too late.
	FailureResting Failure = "resting"
)

// Item is one piece of a call.
type Item struct {
	Request string
	Stage   int
	Piece   int
	Key     string
	Inputs  []string
	// Left is how long the result is of use.
	Left time.Duration
}

// Outcome is what a server says of one item: a handle or a failure.
type Outcome struct {
	Handle  string
	Failure Failure
}
