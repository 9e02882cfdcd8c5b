// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// suspectAfter servers that ended under a request make it a suspect: one or two do
	// so under many requests when servers crash for another reason.
	suspectAfter = 3
	// triesMost is how often a suspect is tried after that. A request that lay on three
	// servers which crashed for another reason is served by the first that lives; one
	// that ends servers ends two more.
	triesMost = 2
	// keptFirst is how long a request is kept from servers that ended all of them, and
	// doubles with each one more, up to keptMost: it is tried once after each time.
	keptFirst = 10 * time.Minute
	keptMost  = 40 * time.Minute
	// remembered is how long the end of a server is remembered, above keptMost, and
	// rememberedAlone the same of the one under a request: most requests that lay on a
	// server that ended never come again.
	remembered      = time.Hour
	rememberedAlone = 10 * time.Minute
	// EndsMost bounds the ends in a book, 0.5 MB. 160 engines that crash with ten
	// requests each make 1,600.
	EndsMost = 4096
	// endsLeft is how many are left of too many, so that not each one more costs a
	// look at all.
	endsLeft = EndsMost * 7 / 8
)

// State is what may be done with a request.
type State int

// The states there are.
const (
	// Free requests are served.
	Free State = iota
	// Suspected ones are sent to one server at a time.
	Suspected
	// Kept ones are refused.
	Kept
)

// String returns the state as logs show it.
func (s State) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Kept:
		return "kept"
	default:
		return "free"
	}
}

// Verdict is what a book says of a request.
type Verdict struct {
	State State
	// Ends is how many servers ended under the request, Counted how many of those are
	// put down to it.
	Ends    int
	Counted int
	// Until is when a request that is kept may be tried again.
	Until time.Time
}

// Book has the servers that ended under requests, as told by all hosts. Two books that
// were told the same hold the same, in whichever order they were. It is not safe for
// concurrent use.
type Book struct {
	// requests has the ends under each request; none is empty.
	requests map[Digest]map[Server]*End
	// servers has the requests that lay on each server; none is empty.
	servers map[Server]map[Digest]bool
	// count is how many ends there are, at most EndsMost.
	count int
	// sum combines all ends.
	sum uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{requests: make(map[Digest]map[Server]*End), servers: make(map[Server]map[Digest]bool)}
}

// Len returns how many ends the book has.
func (b *Book) Len() int { return b.count }

// Sum returns a number that is the same for books with the same ends.
func (b *Book) Sum() uint64 { return b.sum }

// Merge takes ends in and returns those that told anything new.
func (b *Book) Merge(now time.Time, ends ...End) []End {
	var news []End
	for _, e := range ends {
		if now.Sub(e.At) >= remembered {
			continue
		}
		old := b.requests[e.Request][e.Server]
		if old == nil {
			b.add(e)
			news = append(news, e)
			continue
		}
		b.sum ^= old.sum()
		if old.merge(e) {
			news = append(news, *old)
		}
		b.sum ^= old.sum()
	}
	if b.count > EndsMost {
		b.shrink()
	}
	return slices.DeleteFunc(news, func(e End) bool { return b.requests[e.Request][e.Server] == nil })
}

func (b *Book) add(e End) {
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

func (b *Book) drop(e *End) {
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

// Clear notes that a server has answered a request whole: it is not what ended the
// others. It returns the ends that were put down to it.
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

// Forget drops the ends that are too old.
func (b *Book) Forget(now time.Time) {
	for _, ends := range b.requests {
		life := remembered
		if len(ends) == 1 {
			life = rememberedAlone
		}
		for _, e := range ends {
			if now.Sub(e.At) >= life {
				b.drop(e)
			}
		}
	}
}

// shrink drops ends until some less than the most are left: of the requests with the
// fewest, the oldest.
func (b *Book) shrink() {
	type candidate struct {
		end    *End
		fellow int
	}
	all := make([]candidate, 0, b.count)
	for _, ends := range b.requests {
		for _, e := range ends {
			all = append(all, candidate{end: e, fellow: len(ends)})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.fellow, y.fellow), x.end.At.Compare(y.end.At))
	})
	for _, c := range all[:b.count-endsLeft] {
		b.drop(c.end)
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

// strength is how much speaks for a request having ended the servers it lay on.
type strength struct {
	// alone says that a server ended under it with no other request on it, ends how many
	// ended under it; neither counts what was cleared.
	alone bool
	ends  int
}

// compare orders strengths: what ended a server alone goes before all that did not, so
// that what merely lay beside several harmful requests never outweighs any of them.
func (s strength) compare(other strength) int {
	if s.alone != other.alone {
		if s.alone {
			return 1
		}
		return -1
	}
	return cmp.Compare(s.ends, other.ends)
}

func (b *Book) strength(digest Digest) strength {
	var s strength
	for _, e := range b.requests[digest] {
		if e.Cleared {
			continue
		}
		s.ends++
		s.alone = s.alone || b.alone(e)
	}
	return s
}

// alone reports whether no other request lay on the server that ended, but for those
// that were cleared.
func (b *Book) alone(e *End) bool {
	for other := range b.servers[e.Server] {
		if other != e.Request && !b.requests[other][e.Server].Cleared {
			return false
		}
	}
	return true
}

// Of returns what is to be done with a request.
func (b *Book) Of(now time.Time, digest Digest) Verdict {
	ends := b.requests[digest]
	v := Verdict{Ends: len(ends)}
	if v.Ends < suspectAfter {
		return v
	}
	var last time.Time
	mine := b.strength(digest)
	for _, e := range ends {
		if e.Cleared || b.otherDid(e, mine) {
			continue
		}
		v.Counted++
		if e.At.After(last) {
			last = e.At
		}
	}
	if v.Counted < suspectAfter {
		return v
	}
	v.State = Suspected
	if over := v.Counted - suspectAfter - triesMost; over >= 0 {
		v.Until = last.Add(min(keptFirst<<min(over, 8), keptMost))
		if now.Before(v.Until) {
			v.State = Kept
		}
	}
	return v
}

// otherDid reports whether an end is put down to another request that lay on the same
// server: a stronger one, or one as strong whose answer had not begun there while this
// one's had. What merely lay on servers that other requests end over and over is so never
// suspected for those.
func (b *Book) otherDid(e *End, mine strength) bool {
	for other := range b.servers[e.Server] {
		if other == e.Request {
			continue
		}
		theirs := b.requests[other][e.Server]
		if theirs.Cleared {
			continue
		}
		stronger := b.strength(other).compare(mine)
		if stronger > 0 || stronger == 0 && e.Answered && !theirs.Answered {
			return true
		}
	}
	return false
}

// Entry is what a dump shows of a request.
type Entry struct {
	Digest  Digest    `json:"digest"`
	State   string    `json:"state"`
	Ends    int       `json:"ends"`
	Counted int       `json:"counted"`
	Last    time.Time `json:"last"`
	Until   time.Time `json:"until,omitzero"`
}

// Entries returns up to most requests under which more than one server ended, those
// with the most first.
func (b *Book) Entries(now time.Time, most int) []Entry {
	var entries []Entry
	for digest, ends := range b.requests {
		if len(ends) < 2 {
			continue
		}
		v := b.Of(now, digest)
		entry := Entry{Digest: digest, State: v.State.String(), Ends: v.Ends, Counted: v.Counted, Until: v.Until}
		for _, e := range ends {
			if e.At.After(entry.Last) {
				entry.Last = e.At
			}
		}
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(x, y Entry) int {
		return cmp.Or(cmp.Compare(y.Ends, x.Ends), cmp.Compare(x.Digest, y.Digest))
	})
	return entries[:min(len(entries), most)]
}
