// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"cmp"
	"fmt"
	"math"

	"github.com/wingvale/wingvale/pipeline"
)

// maxRejections bounds Limit.Rejections.
const maxRejections = 1 << 20

// Limit is the state of the limits of one run of a backend server.
type Limit struct {
	// Instance identifies the run.
	Instance string
	// Limited is false if the run has withdrawn its limit.
	Limited bool
	// PerSecond is how many requests the run accepts in a second from all hosts together. It
	// is finite and not negative.
	PerSecond float64
	// Brittle says that the run crashes if it has to reject more than Rejections requests in a
	// second for lack of room, of those of all hosts together.
	Brittle    bool
	Rejections int
	// Version orders the states of one run. A host that learns of a change from an answer
	// increments the version that it knows, so that all hosts settle on the same state
	// without comparing clocks.
	Version uint64
}

// Check reports the first invalid field of l.
func (l Limit) Check() error {
	switch {
	case l.Instance == "" || len(l.Instance) > pipeline.MaxNameBytes:
		return fmt.Errorf("ratelimit: invalid instance %.80q", l.Instance)
	case !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 1):
		return fmt.Errorf("ratelimit: invalid rate %v of %.80q", l.PerSecond, l.Instance)
	case l.Rejections < 0 || l.Rejections > maxRejections:
		return fmt.Errorf("ratelimit: invalid number of rejections %d of %.80q", l.Rejections, l.Instance)
	default:
		return nil
	}
}

// supersedes reports whether l replaces other. Of two states with the same version, the stricter
// one does.
func (l Limit) supersedes(other Limit) bool {
	if l.Version != other.Version {
		return l.Version > other.Version
	}
	if l.Limited != other.Limited {
		return l.Limited
	}
	if l.PerSecond != other.PerSecond {
		return cmp.Less(l.PerSecond, other.PerSecond)
	}
	if l.Brittle != other.Brittle {
		return l.Brittle
	}
	return l.Rejections < other.Rejections
}

// sameRate reports whether l and other allow the same rate.
func (l Limit) sameRate(other Limit) bool {
	return l.Limited == other.Limited && l.PerSecond == other.PerSecond
}

// sameBrittleness reports whether l and other allow the same rejections.
func (l Limit) sameBrittleness(other Limit) bool {
	return l.Brittle == other.Brittle && l.Rejections == other.Rejections
}

// restricts reports whether sending to the run needs a permit.
func (l Limit) restricts() bool { return l.Limited || l.Brittle }
