// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan

import (
	"net/netip"
	"slices"
	"time"
)

// Spec is the configuration of a pool.
type Spec struct {
	Service string
	// Size is the most pieces of one call, at least 1.
	Size int
	// Slots is the number of calls that a server runs at once, at least 1.
	Slots int
	// CallTime is the fixed time of a call and PieceTime the time that each piece adds,
	// roughly.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultCapacity is how many bytes of results a server can hold.
	ResultCapacity int64
	// ResultTTL is how long a server keeps a result that is not released.
	ResultTTL time.Duration
	// LoadAware says that late work goes last even if it has medium-sized inputs, and that the
	// pool reports the work that its tasks will bring to later pools. It also makes the pool use
	// the loads that its servers report.
	LoadAware bool
}

// Server is one server of a pool.
type Server struct {
	// Instance identifies one run of the server process.
	Instance string
	Address  netip.AddrPort
	Zone     string
	// Region is the region of the zone.
	Region string
	// Leaving says that the server must get no new call.
	Leaving bool
	// Evacuated says that nothing may be sent to the server, not even releases of results, because
	// its zone is being evacuated. It implies Leaving.
	Evacuated bool
}

// MaxPieces is the most pieces of one request, in all its stages. The messages of a piece name the results of all
// pieces before it, so that what one request occupies grows with the square of its pieces.
const MaxPieces = 1024

// PieceBytes is about what a piece occupies on a host that plans it: its place in the queue, its result, and
// the messages that carry both.
const PieceBytes = 512

// Work is one stage of one request.
type Work struct {
	Service string
	Request string
	Stage   int
	// Pieces are the numbers of the pieces to make, at least one.
	Pieces []int
	// Key is the input of a first stage. Inputs are the results of the preceding stages. Only
	// one of the two is set.
	Key    string
	Inputs []string
	// Zone is where the inputs are held or the results will be used. If it is empty, any zone
	// will do.
	Zone string
	// AllowedRegions are the regions whose servers may do the work. If it is empty, all may.
	AllowedRegions []string
	// Workspace and Route identify the customer and the kind of the request.
	Workspace string
	Route     string
	// Latest is when the stage must have ended to meet the request's objective. Deadline is
	// when it must have ended to be of any use.
	Latest   time.Time
	Deadline time.Time
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// ResultBytes is the expected size of one result, InputBytes that of all inputs of one
	// piece.
	ResultBytes int64
	InputBytes  int64
	// HoldsOtherResults says that while this work waits, servers hold other results of the
	// request, or are about to.
	HoldsOtherResults bool
	// Next is the work that the request will bring to later pools once this stage has ended.
	Next []Load
}

// Load is a number of pieces for the pool of a service.
type Load struct {
	Service string
	Pieces  int
}

// Allows reports whether a server is in a region that may do the work.
func (w *Work) Allows(s Server) bool {
	return len(w.AllowedRegions) == 0 || slices.Contains(w.AllowedRegions, s.Region)
}

// zoneSensitive reports whether the data is large enough that the work should be done in its
// zone.
func (w *Work) zoneSensitive() bool {
	return max(w.ResultBytes, w.InputBytes) >= largeDataBytes
}

// Result is the result of one piece. The server that made it holds it.
type Result struct {
	Handle string
	Server netip.AddrPort
	// Zone is the server's availability zone.
	Zone string
}

// Failure is the reason why a piece has no result.
type Failure string

// Reasons why a piece has no result.
const (
	// FailureLate says that the result cannot be ready in time.
	FailureLate Failure = "late"
	// FailureGone says that an input is no longer at the server that held it.
	FailureGone Failure = "gone"
	// FailureRoom says that the server has no memory for another result.
	FailureRoom Failure = "room"
	// FailureFailed says that the call failed, or that the server reported another error.
	FailureFailed Failure = "failed"
	FailureFull   Failure = "full"
	// FailureClosed says that no server accepts the work.
	FailureClosed Failure = "closed"
	// FailureResting says that all servers had asked this host to pause its calls until after
	// the deadline.
	FailureResting Failure = "resting"
)

// Item is one piece of a call.
type Item struct {
	Request string
	Stage   int
	Piece   int
	Key     string
	Inputs  []string
	// TimeLeft is how long the result remains of use.
	TimeLeft time.Duration
}

// Outcome is a server's answer for one item: a handle or a failure.
type Outcome struct {
	Handle  string
	Failure Failure
}
