// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import "time"

const (
	// copyCost is the cost, as time, of copying a gigabyte between engines, in addition to the
	// copying itself.
	copyCost = 58 * time.Millisecond
	// minCopyTokens is the fewest tokens that are worth a copy.
	minCopyTokens = 1000
	// copySetupTime is the fixed time of a copy.
	copySetupTime = 4 * time.Millisecond
	// crossZoneCopyFactor is how many times as long copies between zones take.
	crossZoneCopyFactor = 2
	// maxReadDelay is how long after a prompt was placed its shared parts are assumed to be
	// read: the queueing time and the reading of a large one.
	maxReadDelay = time.Second
)

// cacheHolder is an engine that has cached the beginning of a prompt.
type cacheHolder struct {
	*engine
	// tokens is how many of the prompt's shared tokens it has cached.
	tokens int
}

// source returns the engine that has cached most of a prompt's shared parts, of equal ones the
// one that used them last. Its engine is nil if there is none. The engine may be leaving: a
// copy gives it no work, and what it has cached is lost soon.
func (s *Scheduler) source(now time.Time, p Prompt) cacheHolder {
	if k := s.holderOf(now, p, p.Shared, p.SharedTokens); k.engine != nil {
		return k
	}
	return s.holderOf(now, p, p.First, p.FirstTokens)
}

func (s *Scheduler) holderOf(now time.Time, p Prompt, part uint64, tokens int) cacheHolder {
	engines, ok := s.cached.Get(part)
	if !ok || part == 0 {
		return cacheHolder{}
	}
	best := cacheHolder{tokens: tokens}
	var last time.Time
	for name, entry := range engines {
		e := s.engines[name]
		if e == nil || !p.allows(e) || e.health.Ejected(now) || now.Sub(entry.first) < maxReadDelay || now.Sub(entry.last) >= cacheLifetime {
			continue
		}
		if best.engine == nil || entry.last.After(last) || entry.last.Equal(last) && name < best.Instance {
			best.engine, last = e, entry.last
		}
	}
	if best.engine == nil {
		return cacheHolder{}
	}
	return best
}

// readPlan describes how an engine obtains the shared tokens of a prompt.
type readPlan struct {
	// missing is how many tokens the engine has not cached, and copied how many of them it
	// copies from source. It reads the rest.
	missing int
	copied  int
	source  *engine
}

// newReadPlan returns the plan of an engine that lacks missing tokens.
func newReadPlan(e *engine, p Prompt, missing int, source cacheHolder) readPlan {
	plan := readPlan{missing: missing}
	if source.engine == nil || source.engine == e || e.TokenBytes <= 0 || e.Link <= 0 {
		return plan
	}
	tokens := min(source.tokens-(p.SharedTokens-missing), missing)
	if tokens >= minCopyTokens {
		plan.copied, plan.source = tokens, source.engine
	}
	return plan
}

// duration returns how long the plan takes on an idle engine, including the prompt's own part.
func (l readPlan) duration(e *engine, p Prompt) time.Duration {
	read := l.readTime(p)
	if l.copied == 0 {
		return read
	}
	seconds := l.bytes(e) / e.Link
	if l.source.Zone != e.Zone {
		seconds *= crossZoneCopyFactor
	}
	return read + copySetupTime + time.Duration(seconds*float64(time.Second))
}

// readTime returns how long an idle engine reads the tokens that it does not have after the copy.
func (l readPlan) readTime(p Prompt) time.Duration {
	return ReadTime(p.SharedTokens-l.missing+l.copied, l.missing-l.copied+p.OwnTokens)
}

// extraCost returns the cost of rereading and copying in addition to their time.
func (l readPlan) extraCost(e *engine) time.Duration {
	return time.Duration(l.missing-l.copied)*rereadCost + time.Duration(l.bytes(e)/1e9*float64(copyCost))
}

func (l readPlan) bytes(e *engine) float64 {
	return float64(l.copied) * float64(e.TokenBytes)
}
