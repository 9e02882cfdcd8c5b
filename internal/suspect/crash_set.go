// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashTTL is how long a crash is stored; it must exceed maxQuarantine. singleCrashTTL
	// applies to the only crash under a request, since most requests that were on a server
	// when it crashed are never seen again.
	crashTTL       = time.Hour
	singleCrashTTL = 10 * time.Minute
	// MaxCrashes is the most crashes in a set, which take 0.6 MB. 160 engines that crash with ten
	// requests each, whose prompts share four parts in ten, cause 2,500 crashes.
	MaxCrashes = 4096
	// crashesAfterEviction is how many crashes an eviction leaves. It is below MaxCrashes so that
	// not every further crash scans all of them.
	crashesAfterEviction = MaxCrashes * 7 / 8
)

// CrashSet is the set of crashes under requests that all hosts have reported. It is replicated:
// sets that merged the same crashes are equal, whatever the order. It is not safe for concurrent
// use.
type CrashSet struct {
	// crashes holds the crashes under each request, and each part of prompts. It has no empty entries.
	crashes map[Digest]map[Server]*Crash
	// servers holds the requests that were on each server when it crashed, and their parts. It has no
	// empty entries.
	servers map[Server]map[Digest]bool
	// count is the number of crashes, at most MaxCrashes.
	count int
	// evicted is the number of crashes that were removed for want of space.
	evicted int
	// sum is the exclusive or of the checksums of all crashes.
	sum uint64
	// assessed has what was concluded from the crashes. It is replaced whenever one changes, since a change
	// may concern any request that had a server in common, and requests come far more often than crashes.
	assessed assessments
}

// NewCrashSet returns an empty set.
func NewCrashSet() *CrashSet {
	return &CrashSet{crashes: make(map[Digest]map[Server]*Crash), servers: make(map[Server]map[Digest]bool), assessed: newAssessments()}
}

// Len returns the number of crashes.
func (s *CrashSet) Len() int { return s.count }

// Evicted returns the number of crashes that were removed for want of space.
func (s *CrashSet) Evicted() int { return s.evicted }

// Sum returns a checksum that is equal for sets with the same crashes.
func (s *CrashSet) Sum() uint64 { return s.sum }

// Merge adds crashes and returns those that are new or that differ from the known crash in more
// than the time. Expired crashes are ignored.
func (s *CrashSet) Merge(now time.Time, crashes ...Crash) []Crash {
	var changed []Crash
	for _, c := range crashes {
		if now.Sub(c.CrashedAt) >= crashTTL {
			continue
		}
		old := s.crashes[c.Digest][c.Server]
		if old == nil {
			s.insert(c)
			changed = append(changed, c)
			continue
		}
		before := *old
		s.sum ^= old.sum()
		if old.merge(c) {
			changed = append(changed, *old)
		}
		s.sum ^= old.sum()
		if *old != before {
			s.assessed.reset()
		}
	}
	if s.count > MaxCrashes {
		s.evict()
	}
	return slices.DeleteFunc(changed, func(c Crash) bool { return s.crashes[c.Digest][c.Server] == nil })
}

func (s *CrashSet) insert(c Crash) {
	if s.crashes[c.Digest] == nil {
		s.crashes[c.Digest] = make(map[Server]*Crash)
	}
	if s.servers[c.Server] == nil {
		s.servers[c.Server] = make(map[Digest]bool)
	}
	s.crashes[c.Digest][c.Server] = &c
	s.servers[c.Server][c.Digest] = true
	s.count++
	s.sum ^= c.sum()
	s.assessed.reset()
}

func (s *CrashSet) remove(c *Crash) {
	delete(s.crashes[c.Digest], c.Server)
	if len(s.crashes[c.Digest]) == 0 {
		delete(s.crashes, c.Digest)
	}
	delete(s.servers[c.Server], c.Digest)
	if len(s.servers[c.Server]) == 0 {
		delete(s.servers, c.Server)
	}
	s.count--
	s.sum ^= c.sum()
	s.assessed.reset()
}

// RecordAnswers records how many whole answers servers of a version have given to a request. It
// returns the crashes that are outweighed by them and were not before. An answer shows nothing about
// servers of other versions, and little if servers of its own go on crashing under the request.
func (s *CrashSet) RecordAnswers(digest Digest, version Version, answers uint32) []Crash {
	required := s.requiredAnswers(digest, version)
	if answers < required {
		return nil
	}
	var cleared []Crash
	for _, c := range s.crashes[digest] {
		if c.Version != version || c.Answers >= required {
			continue
		}
		s.sum ^= c.sum()
		c.Answers = answers
		s.sum ^= c.sum()
		cleared = append(cleared, *c)
		s.assessed.reset()
	}
	return cleared
}

// requiredAnswers returns how many answers of servers of a version outweigh the crashes of such
// servers under a request.
func (s *CrashSet) requiredAnswers(digest Digest, version Version) uint32 {
	crashes := uint32(0)
	for _, c := range s.crashes[digest] {
		if c.Version == version {
			crashes++
		}
	}
	if crashes < suspectThreshold {
		return 1
	}
	return crashes * answersPerCrash
}

// RecordPartAnswer records that servers of a version have given a whole answer to a request with a part, the
// last one at a given time. It returns the crashes under the part that have changed.
func (s *CrashSet) RecordPartAnswer(part Digest, version Version, at time.Time) []Crash {
	var changed []Crash
	for _, c := range s.crashes[part] {
		outweighs := !c.CrashedAt.After(at)
		if !c.Part || c.Version != version || c.Known && (c.Answers > 0 || !outweighs) {
			continue
		}
		s.sum ^= c.sum()
		c.Known = true
		if outweighs {
			c.Answers = 1
		}
		s.sum ^= c.sum()
		changed = append(changed, *c)
		s.assessed.reset()
	}
	return changed
}

// counts reports whether a crash counts against its request or part. A part that servers crash under gets no
// whole answer between the crashes; most of those of a popular part that they don't crash under are followed by
// one.
func (s *CrashSet) counts(c *Crash) bool {
	if c.Part {
		return c.Answers == 0
	}
	return c.Answers == 0 || c.Answers < s.requiredAnswers(c.Digest, c.Version)
}

// RemoveExpired removes expired crashes.
func (s *CrashSet) RemoveExpired(now time.Time) {
	for _, crashes := range s.crashes {
		ttl := crashTTL
		if len(crashes) == 1 {
			ttl = singleCrashTTL
		}
		for _, c := range crashes {
			if now.Sub(c.CrashedAt) >= ttl {
				s.remove(c)
			}
		}
	}
}

// evict removes crashes until crashesAfterEviction are left. It removes those of parts that answers
// outweigh first, then those of requests and parts with the fewest crashes, and of these the oldest.
func (s *CrashSet) evict() {
	type candidate struct {
		crash *Crash
		// alike is how many crashes of the request or part would be kept with this one.
		alike int
	}
	all := make([]candidate, 0, s.count)
	for _, crashes := range s.crashes {
		for _, c := range crashes {
			alike := len(crashes)
			if c.Part && !s.counts(c) {
				alike = 0
			}
			all = append(all, candidate{crash: c, alike: alike})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.alike, y.alike), x.crash.CrashedAt.Compare(y.crash.CrashedAt))
	})
	excess := all[:s.count-crashesAfterEviction]
	for _, c := range excess {
		s.remove(c.crash)
	}
	s.evicted += len(excess)
}

// Outcomes returns how many crashes under a request or a part have ended trials of it.
func (s *CrashSet) Outcomes(digest Digest) int {
	count := 0
	for _, c := range s.crashes[digest] {
		if c.EndsTrial() {
			count++
		}
	}
	return count
}

// Crashes returns all crashes.
func (s *CrashSet) Crashes() []Crash {
	all := make([]Crash, 0, s.count)
	for _, crashes := range s.crashes {
		for _, c := range crashes {
			all = append(all, *c)
		}
	}
	return all
}
