// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/wingvale/wingvale/internal/suspect"
)

// lostRequest is a request that had been sent to a server when its connection broke or this
// host gave the request up.
type lostRequest struct {
	traits suspect.Traits
	// tried identifies the part that the request was sent alone to try; 0 for none.
	tried suspect.Digest
	// id is the caller's id of the attempt.
	id string
	// answered reports whether the answer had started.
	answered bool
	// abandoned reports whether this host gave the request up, as opposed to the
	// connection breaking by itself.
	abandoned bool
	// unverified reports whether the answer ended in good order and may have been whole, so that
	// only a server that is found down soon after counts as crashed.
	unverified bool
	// failedAt is when the connection broke or the request was given up.
	failedAt time.Time
	// settle, if set, ends the trial of an unverified request, and counts its answer as whole if the
	// server is known to be up after it.
	settle func(up bool)
}

// connectResult is the outcome of an attempt to connect to a server.
type connectResult int

const (
	// connectHung means that the attempt had no outcome, or that only a balancer accepted the connection.
	connectHung connectResult = iota
	// connectRefused means that nothing listens at the server's address.
	connectRefused
	// connectAccepted means that the server, or a balancer in front of it, accepted the connection.
	connectAccepted
)

// crashEvidence is what shows that a server has crashed.
type crashEvidence int

const (
	// refusal means that nothing listens at the server's address.
	refusal crashEvidence = iota
	// delisting means that the publisher no longer lists the server.
	delisting
	// silence means that the publisher no longer lists the server, and that it accepts no connection.
	silence
)

// countsAt reports whether the request counts as hit by the crash of its server, if requests that were
// lost without being given up count so long.
func (r lostRequest) countsAt(now time.Time, within time.Duration, found crashEvidence) bool {
	age := now.Sub(r.failedAt)
	switch {
	case r.unverified:
		return found == refusal && age < probeTimeout
	case r.abandoned && found == silence:
		return age < silentRetention
	case r.abandoned:
		return age < min(within, probeTimeout)
	default:
		return age < within
	}
}

// precedes reports whether a server that was up at a given time has not crashed under the request. One that
// crashes after it has ended its connections in good order may still be up shortly after that.
func (r lostRequest) precedes(upAt time.Time) bool {
	if r.unverified {
		return upAt.Sub(r.failedAt) >= probeRetryDelay/2
	}
	return r.failedAt.Before(upAt)
}

// flight is a request that was sent to a server and has not ended.
type flight struct {
	traits suspect.Traits
	tried  suspect.Digest
	id     string
	// answered reports whether the answer has started.
	answered atomic.Bool
}

// failingServer is a backend server with lost requests.
type failingServer struct {
	server Server
	// requests holds the lost requests of the last brokenRetention, the latest last.
	requests []lostRequest
	// lastFailure is when the last connection broke or the last request was given up.
	lastFailure time.Time
	// probing reports whether a probe of the server is running, and verifying whether one runs repeatedly
	// because of unverified requests.
	probing   bool
	verifying bool
	// crashed reports whether the server is known to have crashed.
	crashed bool
	// foundUpAt is when the last probe was accepted. What was lost before is no evidence of a crash
	// that refused connections show later.
	foundUpAt time.Time
}

// add adds a lost request, in place of the earliest one if there are too many.
func (f *failingServer) add(r lostRequest) {
	if len(f.requests) >= maxBrokenRecords {
		f.requests = slices.Delete(f.requests, 0, 1)
	}
	f.requests = append(f.requests, r)
}

// retention is how long after the last failure the record is kept. A crashed server may start again
// under its name.
func (f *failingServer) retention() time.Duration {
	if f.crashed {
		return crashedRetention
	}
	return brokenRetention
}
