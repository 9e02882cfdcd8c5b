// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server identifies one run of a backend server.
type Server uint64

// ServerOf returns the identifier of the run with the given instance name.
func ServerOf(instance string) Server {
	return Server(xxhash.Sum64String(instance))
}

// Crash records that a run of a backend server stopped while it was handling a request.
type Crash struct {
	Request Digest
	Server  Server
	// Answered says that the answer had begun. If hosts disagree, false wins.
	Answered bool
	// Cleared says that a server has since answered the request completely, so that the crash
	// does not count against the request. It is never reset.
	Cleared bool
	// CrashedAt is when the server stopped: the earliest time that a host reported.
	CrashedAt time.Time
}

// merge merges another host's report of the same crash, and reports whether anything but the
// time has changed.
func (c *Crash) merge(other Crash) bool {
	old := *c
	c.Answered = c.Answered && other.Answered
	c.Cleared = c.Cleared || other.Cleared
	if other.CrashedAt.Before(c.CrashedAt) {
		c.CrashedAt = other.CrashedAt
	}
	return c.Answered != old.Answered || c.Cleared != old.Cleared
}

// sum returns the checksum of the crash, which does not cover its time.
func (c *Crash) sum() uint64 {
	var b [18]byte
	binary.LittleEndian.PutUint64(b[:], uint64(c.Request))
	binary.LittleEndian.PutUint64(b[8:], uint64(c.Server))
	if c.Answered {
		b[16] = 1
	}
	if c.Cleared {
		b[17] = 1
	}
	return xxhash.Sum64(b[:])
}
