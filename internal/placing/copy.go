// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import "time"

const (
	// copyPrice is the time that copying a gigabyte between engines is weighed
	// as, beside the copying.
	copyPrice = 58 * time.Millisecond
	// copyLeast is the fewest tokens that are worth a copy.
	copyLeast = 1000
	// copySetup is what a copy takes beside the bytes.
	copySetup = 4 * time.Millisecond
	// crossFactor is how much longer copies between zones take.
	crossFactor = 2
	// readWithin is how long after a prompt was placed its shared parts have
	// been read: the wait for a turn and the reading of a large one.
	readWithin = time.Second
)

// keeper is an engine that keeps the beginning of a prompt.
type keeper struct {
	*engine
	// tokens is how many of the prompt's shared tokens it keeps.
	tokens int
}

// source returns the engine that keeps most of a prompt's shared parts, the one
// that used them last among equals; its engine is nil where none does. It may be
// leaving: it gets no work by a copy, and what it keeps is gone soon.
func (b *Book) source(now time.Time, p Prompt) keeper {
	if k := b.keeperOf(now, p, p.Shared, p.SharedTokens); k.engine != nil {
		return k
	}
	return b.keeperOf(now, p, p.First, p.FirstTokens)
}

func (b *Book) keeperOf(now time.Time, p Prompt, part uint64, tokens int) keeper {
	engines, ok := b.warm.Get(part)
	if !ok || part == 0 {
		return keeper{}
	}
	best := keeper{tokens: tokens}
	var last time.Time
	for name, r := range engines {
		e := b.engines[name]
		if e == nil || !p.allows(e) || e.health.Ejected(now) || now.Sub(r.first) < readWithin || now.Sub(r.last) >= warmFor {
			continue
		}
		if best.engine == nil || r.last.After(last) || r.last.Equal(last) && name < best.Instance {
			best.engine, last = e, r.last
		}
	}
	if best.engine == nil {
		return keeper{}
	}
	return best
}

// plan is how an engine comes by the shared tokens of a prompt.
type plan struct {
	// missing is how many it does not keep, copied how many of them it copies
	// from source; it reads the rest.
	missing int
	copied  int
	source  *engine
}

// planOf returns the plan of an engine that lacks missing tokens.
func planOf(e *engine, p Prompt, missing int, from keeper) plan {
	plan := plan{missing: missing}
	if from.engine == nil || from.engine == e || e.TokenBytes <= 0 || e.Link <= 0 {
		return plan
	}
	tokens := min(from.tokens-(p.SharedTokens-missing), missing)
	if tokens >= copyLeast {
		plan.copied, plan.source = tokens, from.engine
	}
	return plan
}

// time is how long it takes an idle engine, the prompt's own part included.
func (l plan) time(e *engine, p Prompt) time.Duration {
	read := ReadTime(p.SharedTokens-l.missing+l.copied, l.missing-l.copied+p.OwnTokens)
	if l.copied == 0 {
		return read
	}
	seconds := l.bytes(e) / e.Link
	if l.source.Zone != e.Zone {
		seconds *= crossFactor
	}
	return read + copySetup + time.Duration(seconds*float64(time.Second))
}

// price is what reading again and copying are weighed as, beside their time.
func (l plan) price(e *engine) time.Duration {
	return time.Duration(l.missing-l.copied)*rereadCost + time.Duration(l.bytes(e)/1e9*float64(copyPrice))
}

func (l plan) bytes(e *engine) float64 {
	return float64(l.copied) * float64(e.TokenBytes)
}
