// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/notice"
)

// Request is one request of a caller.
type Request struct {
	// ID is the caller's name for this attempt. Only the caller chooses it.
	ID     string
	Method string
	// Target is the path and query as received, Path the path alone, Host the
	// host that the caller named.
	Target string
	Path   string
	Host   string
	// Header is what may be passed on.
	Header http.Header
	Body   []byte
	// Key is the caller's, empty for none.
	Key string
	// Arrived is when its head was read. Patience is how long the caller waits
	// from there; 0 is not told.
	Arrived  time.Time
	Patience time.Duration
	// Parts are those of the prompt in order. All but the last are shared with
	// other requests. TokensIn and TokensOut are its size, as far as told.
	Parts     []Part
	TokensIn  int
	TokensOut int
	// Pieces has how many pieces each stage has; stages beyond it have one.
	Pieces []int
	// PieceKey names the input of first stages.
	PieceKey string
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// pieces is how many pieces a stage has.
func (r *Request) pieces(stage int) int {
	if stage < len(r.Pieces) {
		return r.Pieces[stage]
	}
	return 1
}

// Send is what a dialect adds to a request on its way to a server.
type Send struct {
	Instance  string
	Left      time.Duration
	Workspace string
	// Inputs are the results of the last stages.
	Inputs []string
	// LastEvent is the event after which a stream goes on; empty is the start.
	LastEvent string
	// CopyFrom is an engine that keeps parts of the prompt; the zero address is
	// none.
	CopyFrom netip.AddrPort
}

// Head is what a dialect reads from the head of a server's answer.
type Head struct {
	// NotRun says that the server did not run the request, and never will.
	NotRun bool
	// Gone says that an input was gone, Misdirected that another server has
	// the address. Both imply NotRun.
	Gone        bool
	Misdirected bool
	// Signed says that the answer bears the server's signature.
	Signed bool
	// Notice is what the answer tells of its server.
	Notice notice.Notice
}

// Dialect knows the names on the wire.
type Dialect interface {
	// Header returns the headers that a request is sent on with.
	Header(request *Request, send Send) http.Header
	// Mine reports whether an answer is to the request with id.
	Mine(id string, status int, header http.Header) bool
	// Head reads the head of an answer of a run of a server.
	Head(instance string, status int, header http.Header) Head
}

// Sink takes an answer as it comes.
type Sink interface {
	// Start passes the status and header on; it is called at most once.
	Start(status int, header http.Header)
	// Write passes on and flushes part of the body.
	Write(part []byte) error
}
