// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"time"

	"github.com/wingvale/wingvale/internal/engineload"
)

// maxRecordedGaps bounds the gaps that are recorded of one stream; the pace is known from fewer.
const maxRecordedGaps = 256

// eventGaps records the gaps between the events of a stream.
type eventGaps struct {
	lastAt time.Time
	// gaps has the gaps between the events of the current engine. isFirst says that it has sent
	// none yet.
	gaps    []time.Duration
	isFirst bool
	longest time.Duration
}

// following returns the gaps of an engine that goes on after the events so far.
func (g *eventGaps) following() eventGaps {
	return eventGaps{lastAt: g.lastAt, longest: g.longest, isFirst: true}
}

// add records that events arrived together.
func (g *eventGaps) add(now time.Time, events int) {
	if events < 1 {
		return
	}
	if !g.lastAt.IsZero() {
		gap := now.Sub(g.lastAt)
		g.longest = max(g.longest, gap)
		if !g.isFirst && len(g.gaps) < maxRecordedGaps {
			g.gaps = append(g.gaps, gap/time.Duration(events))
		}
	}
	g.lastAt, g.isFirst = now, false
}

// pace returns the time between two events while the engine reads no prompt, 0 if it is unknown.
func (g *eventGaps) pace() time.Duration {
	return engineload.StreamGap(g.gaps)
}
