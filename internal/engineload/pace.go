// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package engineload

import (
	"slices"
	"time"
)

const (
	// minGap and maxGap are the bounds of a plausible gap between the events of a stream.
	minGap = 100 * time.Microsecond
	maxGap = 10 * time.Second
	// paceWindow is the number of streams whose median is an engine's pace. Slow intervals, in
	// which few streams end, do not change the median; after a lasting change, it follows within
	// as many streams.
	paceWindow = 15
	// minGaps is the fewest gaps of a stream from which its pace is known.
	minGaps = 4
)

// Pace is the time between two events of a stream that an engine needs while it reads no prompt. The
// zero value is an unknown pace.
type Pace struct {
	// recent has the gaps of up to paceWindow streams, next is the position of the oldest.
	recent []time.Duration
	next   int
	median time.Duration
}

// Record adds the gap of one stream. It ignores implausible gaps and reports whether it added this
// one.
func (p *Pace) Record(gap time.Duration) bool {
	if gap < minGap || gap > maxGap {
		return false
	}
	if len(p.recent) < paceWindow {
		p.recent = append(p.recent, gap)
	} else {
		p.recent[p.next] = gap
		p.next = (p.next + 1) % paceWindow
	}
	sorted := slices.Clone(p.recent)
	slices.Sort(sorted)
	p.median = sorted[len(sorted)/2]
	return true
}

// Learn adds a gap that another host observed, as Record does, unless enough streams are known.
// Several hosts send theirs to a new owner, and one of them may have seen a slow interval only.
func (p *Pace) Learn(gap time.Duration) {
	if len(p.recent) < paceWindow {
		p.Record(gap)
	}
}

// Gap returns the pace, 0 if it is unknown.
func (p *Pace) Gap() time.Duration {
	return p.median
}

// StreamGap returns the lower quartile of the gaps between the events of one stream, and sorts the
// gaps. Prefill of other prompts and slow intervals lengthen the upper gaps only. It returns 0 if
// there are too few.
func StreamGap(gaps []time.Duration) time.Duration {
	if len(gaps) < minGaps {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/4]
}

// MedianGap returns the median of the known paces, 0 if none is known.
func MedianGap(paces []*Pace) time.Duration {
	var known []time.Duration
	for _, p := range paces {
		if p.median > 0 {
			known = append(known, p.median)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// minSpeed and maxSpeed bound the speed of an engine, so that a wrong pace cannot keep an engine
// from getting prompts or attract all of them.
const (
	minSpeed = 0.25
	maxSpeed = 4.0
)

// Speed returns the speed of an engine relative to one with the given pace; 1 if one is unknown.
func (p *Pace) Speed(median time.Duration) float64 {
	if p.median == 0 || median == 0 {
		return 1
	}
	return min(max(float64(median)/float64(p.median), minSpeed), maxSpeed)
}

// unevenRatio is the ratio of the slow to the fast quartile of paces from which engines count as uneven.
const unevenRatio = 1.25

// Uneven reports whether the paces of at least half of the engines are known and differ clearly.
func Uneven(paces []*Pace) bool {
	var known []time.Duration
	for _, p := range paces {
		if p.median > 0 {
			known = append(known, p.median)
		}
	}
	if len(known) == 0 || 2*len(known) < len(paces) {
		return false
	}
	slices.Sort(known)
	return float64(known[len(known)*3/4]) >= unevenRatio*float64(known[len(known)/4])
}
