// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/internal/stageplan"
)

// Request is a caller's request.
type Request struct {
	// ID identifies this attempt. It is chosen by the caller alone.
	ID     string
	Method string
	// Target is the path and query as received, Path the path alone, and Host the host
	// name in the request.
	Target string
	Path   string
	Host   string
	// Header holds the headers that may be forwarded.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty for none.
	Key string
	// Arrived is when the head was read. CallerTimeout is how long the caller waits from
	// then on; 0 means unknown.
	Arrived       time.Time
	CallerTimeout time.Duration
	// Parts are the parts of the prompt in order. All but the last are shared with other
	// requests. TokensIn and TokensOut are the sizes of the prompt and of its answer in
	// tokens, 0 if unknown.
	Parts     []Part
	TokensIn  int
	TokensOut int
	// LengthHint is the caller's estimate of the answer's size in tokens, 0 if it gave none. It
	// may be far off.
	LengthHint int
	// Pieces holds the number of pieces of each stage; stages beyond its end have one. CountPieces accepts it.
	Pieces []int
	// PieceKey identifies the input of the first stages.
	PieceKey string
	// Forwarded means that another host has handed the request over to this one, which must
	// not hand it over again.
	Forwarded bool
	// Runs is how often the request may have run before it was handed over. Counted means that
	// another host has added it to its retry budget.
	Runs    int
	Counted bool
	// LastEvent is the event of a stream after which another host handed it over; empty means
	// from the start.
	LastEvent string
	// Version names the service and the software version that began a stream which another host handed
	// over; absent if it has not begun.
	Version option.Value[string]
	// Continues means that the caller takes up a stream of which it has the first events. Origin is
	// the id of the attempt that brought the first one, empty if the caller does not say.
	Continues bool
	Origin    string
	// OnSend, if set, is called before each send to a backend server, with the maximum number
	// of runs including that send.
	OnSend func(runs int)
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// CountPieces returns the number of pieces in all stages. The error says why a request can't have them.
func CountPieces(pieces []int) (int, error) {
	total := 0
	for stage, n := range pieces {
		if n < 0 {
			return 0, fmt.Errorf("relay: stage %d has %d pieces", stage, n)
		}
		if n > stageplan.MaxPieces-total {
			return 0, fmt.Errorf("relay: more than %d pieces in stages 0 to %d", stageplan.MaxPieces, stage)
		}
		total += n
	}
	return total, nil
}

// pieceCount returns the number of pieces of a stage.
func (r *Request) pieceCount(stage int) int {
	if stage < len(r.Pieces) {
		return r.Pieces[stage]
	}
	return 1
}

// ForwardInfo is what a dialect adds to a request that is forwarded to a server.
type ForwardInfo struct {
	Instance  string
	Remaining time.Duration
	Workspace string
	// Inputs are the handles of the results of the last stages.
	Inputs []string
	// LastEvent is the event after which a stream resumes; empty means from the start.
	LastEvent string
	// CopyFrom is the address of an engine that has parts of the prompt cached; the zero
	// value means none.
	CopyFrom netip.AddrPort
	// Urgency is the rank by which an engine admits streams. If it is nil, no rank is sent.
	Urgency *Urgency
}

// Head is what a dialect reads from the head of a server's answer.
type Head struct {
	// NotRun means that the server did not run the request, and never will.
	NotRun bool
	// InputMissing means that an input was missing, Misdirected that another server has
	// the address now. Both imply NotRun.
	InputMissing bool
	Misdirected  bool
	// Signed means that the answer carries the server's signature.
	Signed bool
	// Notice is what the server reported about itself in the answer.
	Notice notice.Notice
}

// Dialect defines the header names on the wire.
type Dialect interface {
	// Header returns the headers of the forwarded request.
	Header(request *Request, send ForwardInfo) http.Header
	// Matches reports whether an answer belongs to the request with the given id.
	Matches(id string, status int, header http.Header) bool
	// StatusTarget returns the target of a GET request that servers answer at once, even if all their slots
	// are taken. It is empty if there is none.
	StatusTarget() string
	// Head parses the head of an answer from the given run of a server.
	Head(instance string, status int, header http.Header) Head
}

// Sink receives an answer as it arrives.
type Sink interface {
	// OmitEnd makes the answer end with its connection, without a length or a last chunk, because
	// it is not known to be whole. It is called before Start.
	OmitEnd()
	// Start sends the status and headers; it is called at most once.
	Start(status int, header http.Header)
	// Write sends and flushes part of the body.
	Write(part []byte) error
}
