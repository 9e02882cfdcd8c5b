// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"math"
	"time"
)

// serverState is what the owner knows of a server.
type serverState struct {
	Server
	running []*batch
	// used is the room that results and running calls take.
	used int64
	held map[string]heldResult
	// factor is how long calls take over what was expected.
	factor   float64
	fadedAt  time.Time
	failures int
	// fulls is how often in a row it was full.
	fulls int
	// losing is about the share of calls that bring no answer, and overdues how many
	// were overdue in a row.
	losing   float64
	overdues int
	until    time.Time
	gone     bool
}

type heldResult struct {
	bytes   int64
	expires time.Time
}

// fade lets a server's slowness be forgotten.
func (s *serverState) fade(now time.Time) {
	if !s.fadedAt.IsZero() && len(s.running) == 0 {
		keep := math.Exp2(-now.Sub(s.fadedAt).Seconds() / factorFade.Seconds())
		s.factor = 1 + (s.factor-1)*keep
		s.losing *= keep
	}
	s.fadedAt = now
}

// hold notes room that is taken until it is given up or expires.
func (s *serverState) hold(handle string, bytes int64, expires time.Time) {
	s.used += bytes
	s.held[handle] = heldResult{bytes: bytes, expires: expires}
}
