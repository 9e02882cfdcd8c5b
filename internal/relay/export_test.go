// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"time"

	"github.com/wingvale/wingvale/internal/suspect"
)

// Splitter cuts a stream after whole events.
type Splitter struct{ s splitter }

// Add takes bytes and returns whole events.
func (s *Splitter) Add(part string) string { return string(s.s.add([]byte(part))) }

// Last returns the id of the last whole event, and Rest what follows it.
func (s *Splitter) Last() string { return s.s.last }

// Rest returns what is held back.
func (s *Splitter) Rest() string { return string(s.s.rest) }

// Retries bounds retries.
type Retries struct{ r *retries }

// NewRetries returns bounds for so many hosts.
func NewRetries(share, reserve float64, window time.Duration, hosts int) Retries {
	return Retries{r: newRetries(share, reserve, window, func() int { return hosts })}
}

// First notes a request.
func (r Retries) First() { r.r.first("s") }

// Take takes a retry.
func (r Retries) Take() bool { return r.r.take("s") }

// TargetOf picks a route's service.
func TargetOf(r Route, point float64) string { return r.target(point) }

// Objective returns how long after it arrives a request on a route that may be
// held so long is in time.
func Objective(c *Core, r *Route, held time.Duration) time.Duration {
	j := jobOf(c, r, held)
	return j.firstTry().Add(r.Objective).Sub(j.Arrived)
}

// Fresh reports whether a request that arrives now on a route and may be held so
// long is taken for one that comes for the first time.
func Fresh(c *Core, r *Route, held time.Duration) bool {
	return jobOf(c, r, held).fresh()
}

// Left returns how long the callers of a request wait yet that arrives now, may be held
// so long, and is asked for after a pause.
func Left(c *Core, held time.Duration, pause func()) time.Duration {
	j := jobOf(c, &Route{}, held)
	j.ends = c.options.Boot() + held
	pause()
	return j.left()
}

func jobOf(c *Core, r *Route, held time.Duration) *job {
	arrived := time.Now()
	return &job{Request: &Request{Arrived: arrived}, core: c, route: r, deadline: arrived.Add(held)}
}

// Spans remembers how long requests took.
type Spans struct{ s *spans }

// NewSpans returns one that has seen none.
func NewSpans() Spans { return Spans{s: newSpans()} }

// Add takes in how long a request of a route took from its arrival and its send
// to the first byte, and from there for so many events.
func (s Spans) Add(route string, events int, first, served, rest time.Duration) {
	s.s.add(route, took{first: first, served: served, rest: rest, events: events})
}

// Longest returns the most that another may take.
func (s Spans) Longest(route string, events int) (arrived, sent time.Duration, ok bool) {
	return s.s.longest(route, events)
}

// Broken tells servers that ended from connections that broke.
type Broken struct{ b *broken }

// NewBroken returns one that looks with refuses and tells ended.
func NewBroken(refuses func(instance string) bool, ended func(instance string, digests []suspect.Digest)) Broken {
	return Broken{b: newBroken(
		context.Background(),
		func(_ context.Context, s Server) bool { return refuses(s.Instance) },
		func(s Server, requests []lain) {
			var digests []suspect.Digest
			for _, r := range requests {
				digests = append(digests, r.digest)
			}
			ended(s.Instance, digests)
		},
	)}
}

// NewBrokenUntil returns one whose looks end with ctx.
func NewBrokenUntil(ctx context.Context, refuses func(ctx context.Context) bool) Broken {
	return Broken{b: newBroken(ctx, func(ctx context.Context, _ Server) bool { return refuses(ctx) }, func(Server, []lain) {})}
}

// Add notes that the connection to a server broke while it had a request.
func (b Broken) Add(instance string, digest suspect.Digest) {
	b.b.add(Server{Instance: instance}, lain{digest: digest, at: time.Now()})
}

// Leave notes that a request was given up at a server, and Refused that nothing listens
// at its address.
func (b Broken) Leave(instance string, digest suspect.Digest) {
	b.b.leave(Server{Instance: instance}, lain{digest: digest, given: true, at: time.Now()})
}

// Refused notes that nothing listens at a server's address.
func (b Broken) Refused(instance string) { b.b.refused(instance) }

// Gone notes that the publisher does not list a server any more.
func (b Broken) Gone(instance string) { b.b.gone(instance) }
