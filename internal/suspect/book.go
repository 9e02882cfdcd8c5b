// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectThreshold is how many servers must have ended under a request for it to become
	// a suspect. One or two end under many requests when servers crash for another reason.
	suspectThreshold = 3
	// maxTries is how often a suspect is tried before it is quarantined. An innocent request
	// on three servers that crashed for another reason is answered by the first healthy
	// server; a harmful request ends two more servers.
	maxTries = 2
	// initialQuarantine is how long a request is refused after its tries have ended servers.
	// It is tried once after that. Each further server that ends doubles the quarantine, up
	// to maxQuarantine.
	initialQuarantine = 10 * time.Minute
	maxQuarantine     = 40 * time.Minute
	// endTTL is how long an end is stored; it must exceed maxQuarantine. singleEndTTL
	// applies to the only end under a request, since most requests that were on a server
	// when it ended are never seen again.
	endTTL       = time.Hour
	singleEndTTL = 10 * time.Minute
	// MaxEnds is the most ends in a book, which take 0.5 MB. 160 engines that crash with
	// ten requests each cause 1,600 ends.
	MaxEnds = 4096
	// endsAfterEviction is how many ends an eviction leaves. It is below MaxEnds so that
	// not every further end scans all of them.
	endsAfterEviction = MaxEnds * 7 / 8
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

// Verdict is the assessment of a request.
type Verdict struct {
	State State
	// Ends is how many servers ended under the request, and Attributed how many of these ends
	// are attributed to it.
	Ends       int
	Attributed int
	// Until is when a quarantined request may be tried again.
	Until time.Time
}

// Book stores the ends of servers under requests that all hosts have reported. It is a
// replicated set: books that merged the same ends are equal, whatever the order. It is not
// safe for concurrent use.
type Book struct {
	// requests holds the ends under each request. It has no empty entries.
	requests map[Digest]map[Server]*End
	// servers holds the requests that were on each server when it ended. It has no empty
	// entries.
	servers map[Server]map[Digest]bool
	// count is the number of ends, at most MaxEnds.
	count int
	// sum is the exclusive or of the checksums of all ends.
	sum uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{requests: make(map[Digest]map[Server]*End), servers: make(map[Server]map[Digest]bool)}
}

// Len returns the number of ends.
func (b *Book) Len() int { return b.count }

// Sum returns a checksum that is equal for books with the same ends.
func (b *Book) Sum() uint64 { return b.sum }

// Merge adds ends and returns those that are new or that differ from the known end in more
// than the time. Expired ends are ignored.
func (b *Book) Merge(now time.Time, ends ...End) []End {
	var changed []End
	for _, e := range ends {
		if now.Sub(e.EndedAt) >= endTTL {
			continue
		}
		old := b.requests[e.Request][e.Server]
		if old == nil {
			b.insert(e)
			changed = append(changed, e)
			continue
		}
		b.sum ^= old.sum()
		if old.merge(e) {
			changed = append(changed, *old)
		}
		b.sum ^= old.sum()
	}
	if b.count > MaxEnds {
		b.evict()
	}
	return slices.DeleteFunc(changed, func(e End) bool { return b.requests[e.Request][e.Server] == nil })
}

func (b *Book) insert(e End) {
	if b.requests[e.Request] == nil {
		b.requests[e.Request] = make(map[Server]*End)
	}
	if b.servers[e.Server] == nil {
		b.servers[e.Server] = make(map[Digest]bool)
	}
	b.requests[e.Request][e.Server] = &e
	b.servers[e.Server][e.Request] = true
	b.count++
	b.sum ^= e.sum()
}

func (b *Book) remove(e *End) {
	delete(b.requests[e.Request], e.Server)
	if len(b.requests[e.Request]) == 0 {
		delete(b.requests, e.Request)
	}
	delete(b.servers[e.Server], e.Request)
	if len(b.servers[e.Server]) == 0 {
		delete(b.servers, e.Server)
	}
	b.count--
	b.sum ^= e.sum()
}

// Clear records that a server has answered a request completely, so that the request is
// not the cause of its ends. It returns the ends that were not yet cleared.
func (b *Book) Clear(digest Digest) []End {
	var cleared []End
	for _, e := range b.requests[digest] {
		if e.Cleared {
			continue
		}
		b.sum ^= e.sum()
		e.Cleared = true
		b.sum ^= e.sum()
		cleared = append(cleared, *e)
	}
	return cleared
}

// RemoveExpired removes expired ends.
func (b *Book) RemoveExpired(now time.Time) {
	for _, ends := range b.requests {
		ttl := endTTL
		if len(ends) == 1 {
			ttl = singleEndTTL
		}
		for _, e := range ends {
			if now.Sub(e.EndedAt) >= ttl {
				b.remove(e)
			}
		}
	}
}

// evict removes ends until endsAfterEviction are left. It removes those of requests with
// the fewest ends first, and of these the oldest.
func (b *Book) evict() {
	type candidate struct {
		end         *End
		requestEnds int
	}
	all := make([]candidate, 0, b.count)
	for _, ends := range b.requests {
		for _, e := range ends {
			all = append(all, candidate{end: e, requestEnds: len(ends)})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.requestEnds, y.requestEnds), x.end.EndedAt.Compare(y.end.EndedAt))
	})
	for _, c := range all[:b.count-endsAfterEviction] {
		b.remove(c.end)
	}
}

// Ends returns all ends.
func (b *Book) Ends() []End {
	all := make([]End, 0, b.count)
	for _, ends := range b.requests {
		for _, e := range ends {
			all = append(all, *e)
		}
	}
	return all
}

// evidence is how strongly the ends under a request suggest that the request caused them.
type evidence struct {
	// alone says that a server ended when this was its only request. ends is how many servers
	// ended under the request. Cleared ends do not count for either.
	alone bool
	ends  int
}

// compare orders evidence by strength. A request that was alone on a server ranks above all
// that never were, so that a request that only shared servers with several harmful requests
// never outweighs any of them.
func (s evidence) compare(other evidence) int {
	if s.alone != other.alone {
		if s.alone {
			return 1
		}
		return -1
	}
	return cmp.Compare(s.ends, other.ends)
}

// evidence returns the evidence against a request.
func (b *Book) evidence(digest Digest) evidence {
	var s evidence
	for _, e := range b.requests[digest] {
		if e.Cleared {
			continue
		}
		s.ends++
		s.alone = s.alone || b.soleRequest(e)
	}
	return s
}

// soleRequest reports whether the server of an end had no other request, apart from
// cleared ones.
func (b *Book) soleRequest(e *End) bool {
	for other := range b.servers[e.Server] {
		if other != e.Request && !b.requests[other][e.Server].Cleared {
			return false
		}
	}
	return true
}

// Assess returns the verdict on a request.
func (b *Book) Assess(now time.Time, digest Digest) Verdict {
	ends := b.requests[digest]
	v := Verdict{Ends: len(ends)}
	if v.Ends < suspectThreshold {
		return v
	}
	var lastEnd time.Time
	ownEvidence := b.evidence(digest)
	for _, e := range ends {
		if e.Cleared || b.attributedToOther(e, ownEvidence) {
			continue
		}
		v.Attributed++
		if e.EndedAt.After(lastEnd) {
			lastEnd = e.EndedAt
		}
	}
	if v.Attributed < suspectThreshold {
		return v
	}
	v.State = Suspected
	if excess := v.Attributed - suspectThreshold - maxTries; excess >= 0 {
		v.Until = lastEnd.Add(min(initialQuarantine<<min(excess, 8), maxQuarantine))
		if now.Before(v.Until) {
			v.State = Quarantined
		}
	}
	return v
}

// attributedToOther reports whether an end is attributed to another request on the same
// server: one with stronger evidence, or one with equal evidence whose answer had not begun
// while the answer of e's request had. A request that only shares servers with harmful
// requests is therefore not suspected for the ends that they cause.
func (b *Book) attributedToOther(e *End, ownEvidence evidence) bool {
	for other := range b.servers[e.Server] {
		if other == e.Request {
			continue
		}
		otherEnd := b.requests[other][e.Server]
		if otherEnd.Cleared {
			continue
		}
		stronger := b.evidence(other).compare(ownEvidence)
		if stronger > 0 || stronger == 0 && e.Answered && !otherEnd.Answered {
			return true
		}
	}
	return false
}

// Entry is the state of a request in the diagnostic dump.
type Entry struct {
	Digest     Digest    `json:"digest"`
	State      string    `json:"state"`
	Ends       int       `json:"ends"`
	Attributed int       `json:"counted"`
	Last       time.Time `json:"last"`
	Until      time.Time `json:"until,omitzero"`
}

// Entries returns up to most requests under which more than one server ended, those with
// the most ends first.
func (b *Book) Entries(now time.Time, most int) []Entry {
	var entries []Entry
	for digest, ends := range b.requests {
		if len(ends) < 2 {
			continue
		}
		v := b.Assess(now, digest)
		entry := Entry{Digest: digest, State: v.State.String(), Ends: v.Ends, Attributed: v.Attributed, Until: v.Until}
		for _, e := range ends {
			if e.EndedAt.After(entry.Last) {
				entry.Last = e.EndedAt
			}
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(y.Ends, x.Ends), cmp.Compare(x.Digest, y.Digest))
	})
	return entries[:min(len(entries), most)]
}
