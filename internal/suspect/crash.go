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

// Version identifies the version of a backend server's software. 0 means unknown.
type Version uint64

// VersionOf returns the identifier of the version with the given name; an empty name is unknown.
func VersionOf(name string) Version {
	if name == "" {
		return 0
	}
	return Version(xxhash.Sum64String(name))
}

// Crash records that a run of a backend server stopped while it was handling a request, for the request
// itself or for a part of its prompt.
type Crash struct {
	// Digest identifies the request, or the part if Part is set.
	Digest Digest
	Part   bool
	// Holder identifies the request that had the part. It is 0 if several on the server had it, and
	// if Part is not set.
	Holder Digest
	Server Server
	// Version is that of the server. If hosts disagree, the greater one wins.
	Version Version
	// Answered says that the answer had begun. If hosts disagree, false wins.
	Answered bool
	// Answers is how many whole answers of servers of the version to the request some host has
	// counted. For a part it is 1 once a whole answer to a request with the part has ended after the
	// crash, and else 0. It never decreases.
	Answers uint32
	// Trial says that the request was sent alone to find out whether a server crashes under the part.
	// If hosts disagree, true wins. It is false unless Part is set.
	Trial bool
	// Known says that servers of the version have ever answered requests with the part. If hosts
	// disagree, true wins. It is false unless Part is set.
	Known bool
	// CrashedAt is when the server stopped: the earliest time that a host reported.
	CrashedAt time.Time
}

// holder identifies the request that the crash was recorded for; 0 if there were several.
func (c *Crash) holder() Digest {
	if c.Part {
		return c.Holder
	}
	return c.Digest
}

// EndsTrial reports whether the crash is the outcome of a trial in progress. Requests with a part may have
// been sent before the trial of the part began.
func (c *Crash) EndsTrial() bool { return !c.Part || c.Trial }

// merge merges another host's report of the same crash, and reports whether anything but the
// time has changed.
func (c *Crash) merge(other Crash) bool {
	old := *c
	c.Answered = c.Answered && other.Answered
	c.Answers = max(c.Answers, other.Answers)
	c.Version = max(c.Version, other.Version)
	c.Trial = c.Trial || other.Trial
	c.Known = c.Known || other.Known
	if c.Holder != other.Holder {
		c.Holder = 0
	}
	if other.CrashedAt.Before(c.CrashedAt) {
		c.CrashedAt = other.CrashedAt
	}
	old.CrashedAt = c.CrashedAt
	return *c != old
}

// sum returns the checksum of the crash, which does not cover its time. That of a request is the same on
// hosts that know no parts.
func (c *Crash) sum() uint64 {
	b := make([]byte, 0, 40)
	b = binary.LittleEndian.AppendUint64(b, uint64(c.Digest))
	b = binary.LittleEndian.AppendUint64(b, uint64(c.Server))
	b = append(b, bit(c.Answered))
	b = binary.LittleEndian.AppendUint32(b, c.Answers)
	b = binary.LittleEndian.AppendUint64(b, uint64(c.Version))
	if c.Part {
		b = binary.LittleEndian.AppendUint64(b, uint64(c.Holder))
		b = append(b, bit(c.Trial), bit(c.Known))
	}
	return xxhash.Sum64(b)
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}
