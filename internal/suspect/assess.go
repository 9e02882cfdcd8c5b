// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectThreshold is how many servers must have crashed under a request or a part for it to become
	// a suspect. When servers crash for another reason, one or two crash under many requests.
	suspectThreshold = 3
	// crashSpacing is the least time between two crashes that count separately against a part that was
	// answered before: a zone, or all servers, may crash at once while they work on the same parts.
	crashSpacing = 500 * time.Millisecond
	// maxTrials is how often a suspect is tried before it is quarantined. An innocent request
	// on three servers that crashed for another reason is answered by the first healthy
	// server; a harmful request crashes two more servers.
	maxTrials = 2
	// initialQuarantine is how long a request is refused after its trials have crashed servers.
	// It is tried once after that. Each further server that crashes doubles the quarantine, up
	// to maxQuarantine.
	initialQuarantine = 10 * time.Minute
	maxQuarantine     = 40 * time.Minute
	// answersPerCrash is how many whole answers outweigh one crash, from suspectThreshold crashes of
	// servers of one version on. Before, one answer outweighs all of them.
	answersPerCrash = 10
)

// State is how a request may be handled.
type State int

// The states of a request.
const (
	// Free requests are served normally.
	Free State = iota
	// Suspected requests are sent to one server at a time.
	Suspected
	// Quarantined requests are refused.
	Quarantined
)

// String returns the state as it appears in logs.
func (s State) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Quarantined:
		return "kept"
	default:
		return "free"
	}
}

// Verdict is the assessment of a request, or of a part of prompts.
type Verdict struct {
	State State
	// Digest identifies the request, or the part if Part is set. Of a request and its parts it is that
	// with the gravest state.
	Digest Digest
	Part   bool
	// Crashes is how many servers crashed under the request, and Attributed how many of these
	// crashes are attributed to it.
	Crashes    int
	Attributed int
	// Trials is how many of the crashes that are attributed to a part happened in trials.
	Trials int
	// Outstanding is how many crashes answers have not outweighed. Of a request and its parts, it is the
	// sum for the parts, and all crashes under the request.
	Outstanding int
	// Versions are those of the servers whose crashes under the request answers have not
	// outweighed, in ascending order.
	Versions []Version
	// Until is when a quarantined request may be tried again.
	Until time.Time
}

// evidence is how strongly the crashes under a request suggest that the request caused them.
type evidence struct {
	// alone says that a server crashed when this was its only request. crashes is how many servers
	// crashed under the request. Crashes that answers outweigh do not count for either.
	alone   bool
	crashes int
	// part says that this is a part of prompts, and known that requests with it have been answered.
	part  bool
	known bool
}

// compare orders evidence by strength. A request that was alone on a server ranks above all
// that never were, so that a request that only shared servers with several harmful requests
// never outweighs any of them. If as many servers crashed under two, the one that was never answered
// ranks above the other, and a request above a part, which others have as well.
func (e evidence) compare(other evidence) int {
	if e.alone != other.alone {
		if e.alone {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(e.crashes, other.crashes), compareBool(other.known, e.known), compareBool(other.part, e.part))
}

func compareBool(x, y bool) int { return cmp.Compare(bit(x), bit(y)) }

// assessments has what was concluded from a set of crashes.
type assessments struct {
	evidence map[Digest]evidence
	// holders has the request that the crash of each server counts against; 0 if there are several.
	holders map[Server]Digest
	// verdicts has the verdicts as if no quarantine ended.
	verdicts map[Digest]Verdict
}

func newAssessments() assessments {
	return assessments{evidence: make(map[Digest]evidence), holders: make(map[Server]Digest), verdicts: make(map[Digest]Verdict)}
}

func (a *assessments) reset() {
	if len(a.evidence)+len(a.holders)+len(a.verdicts) > 0 {
		*a = newAssessments()
	}
}

// evidence returns the evidence against a request or a part.
func (s *CrashSet) evidence(digest Digest) evidence {
	found, ok := s.assessed.evidence[digest]
	if ok {
		return found
	}
	for _, c := range s.crashes[digest] {
		found.part = c.Part
		found.known = found.known || c.Known
		if !s.counts(c) {
			continue
		}
		found.crashes++
		found.alone = found.alone || s.soleHolder(c.Server) != 0
	}
	if found != (evidence{}) {
		s.assessed.evidence[digest] = found
	}
	return found
}

// soleHolder returns the only request that the crash of a server counts against, itself or with parts of its
// prompt; 0 if there are several or none.
func (s *CrashSet) soleHolder(server Server) Digest {
	sole, ok := s.assessed.holders[server]
	if ok {
		return sole
	}
	for digest := range s.servers[server] {
		c := s.crashes[digest][server]
		if !s.counts(c) {
			continue
		}
		if holder := c.holder(); holder == 0 || sole != 0 && holder != sole {
			sole = 0
			break
		} else {
			sole = holder
		}
	}
	s.assessed.holders[server] = sole
	return sole
}

// AssessAll returns the verdict on a request and the parts of its prompt: that on the gravest of them.
func (s *CrashSet) AssessAll(now time.Time, t Traits) Verdict {
	worst := s.Assess(now, t.Request)
	outstanding, versions := worst.Crashes, worst.Versions
	for _, part := range t.Parts {
		v := s.Assess(now, part)
		outstanding += v.Outstanding
		if v.State == Free {
			continue
		}
		versions = slices.Compact(slices.Sorted(slices.Values(slices.Concat(versions, v.Versions))))
		if v.State > worst.State || v.State == worst.State && v.Attributed >= worst.Attributed {
			worst = v
		}
	}
	worst.Outstanding, worst.Versions = outstanding, versions
	return worst
}

// Assess returns the verdict on a request or a part.
func (s *CrashSet) Assess(now time.Time, digest Digest) Verdict {
	if len(s.crashes[digest]) == 0 {
		return Verdict{Digest: digest}
	}
	v, ok := s.assessed.verdicts[digest]
	if !ok {
		v = s.assess(digest)
		s.assessed.verdicts[digest] = v
	}
	if v.State == Quarantined && !now.Before(v.Until) {
		v.State = Suspected
	}
	return v
}

// assess returns the verdict on a request or a part as if no quarantine ended.
func (s *CrashSet) assess(digest Digest) Verdict {
	crashes := s.crashes[digest]
	v := Verdict{Digest: digest, Crashes: len(crashes), Versions: s.crashedVersions(digest)}
	ownEvidence := s.evidence(digest)
	v.Part, v.Outstanding = ownEvidence.part, ownEvidence.crashes
	if v.Outstanding < suspectThreshold {
		return v
	}
	var lastCrash time.Time
	var times []time.Time
	for _, c := range crashes {
		if !s.counts(c) || s.attributedToOther(c, ownEvidence) {
			continue
		}
		v.Attributed++
		times = append(times, c.CrashedAt)
		if c.Trial {
			v.Trials++
		}
		if c.CrashedAt.After(lastCrash) {
			lastCrash = c.CrashedAt
		}
	}
	if v.Attributed < suspectThreshold || ownEvidence.known && separateCrashes(times) < suspectThreshold {
		return v
	}
	v.State = Suspected
	excess := v.Attributed - suspectThreshold - maxTrials
	if v.Part {
		// Servers that crash together for another reason may all have had a part that most prompts have.
		excess = v.Trials - maxTrials
	}
	if excess >= 0 {
		v.Until = lastCrash.Add(min(initialQuarantine<<min(excess, 8), maxQuarantine))
		v.State = Quarantined
	}
	return v
}

// separateCrashes returns how many of the crashes at the given times have causes of their own, if those
// that follow each other closely have one in common.
func separateCrashes(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range times {
		if count == 0 || at.Sub(last) >= crashSpacing {
			count++
			last = at
		}
	}
	return count
}

// crashedVersions returns the versions of the servers whose crashes count against a request.
func (s *CrashSet) crashedVersions(digest Digest) []Version {
	var versions []Version
	for _, c := range s.crashes[digest] {
		if s.counts(c) && !slices.Contains(versions, c.Version) {
			versions = append(versions, c.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// attributedToOther reports whether a crash is attributed to another request on the same
// server: one with stronger evidence, or one with equal evidence whose answer had not begun
// while the answer of c's request had. A request that only shares servers with harmful
// requests is therefore not suspected for the crashes that they cause.
func (s *CrashSet) attributedToOther(c *Crash, ownEvidence evidence) bool {
	for other := range s.servers[c.Server] {
		otherCrash := s.crashes[other][c.Server]
		if other == c.Digest || !s.counts(otherCrash) {
			continue
		}
		stronger := s.evidence(other).compare(ownEvidence)
		if stronger > 0 || stronger == 0 && c.Answered && !otherCrash.Answered {
			return true
		}
	}
	return false
}

// Entry is the state of a request, or a part of prompts, in the diagnostic dump.
type Entry struct {
	Digest     Digest    `json:"digest"`
	Part       bool      `json:"part,omitempty"`
	State      string    `json:"state"`
	Crashes    int       `json:"ends"`
	Attributed int       `json:"counted"`
	Last       time.Time `json:"last"`
	Until      time.Time `json:"until,omitzero"`
}

// Entries returns up to most requests and parts under which more than one server crashed, those with
// the most crashes first.
func (s *CrashSet) Entries(now time.Time, most int) []Entry {
	var entries []Entry
	for digest, crashes := range s.crashes {
		if len(crashes) < 2 {
			continue
		}
		v := s.Assess(now, digest)
		entry := Entry{Digest: digest, Part: v.Part, State: v.State.String(), Crashes: v.Crashes, Attributed: v.Attributed, Until: v.Until}
		for _, c := range crashes {
			if c.CrashedAt.After(entry.Last) {
				entry.Last = c.CrashedAt
			}
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(y.Crashes, x.Crashes), cmp.Compare(x.Digest, y.Digest))
	})
	return entries[:min(len(entries), most)]
}
