// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// placesKeyPrefix precedes the instance in the key by which the owner of a brittle run is chosen.
const placesKeyPrefix = "places/"

// maxPlaces bounds the counts in a PlacesRequest.
const maxPlaces = 1 << 20

// PlacesRequest tells the owner of a brittle run how many requests a host has at the run, and asks
// for places for more.
type PlacesRequest struct {
	Limit Limit
	Host  netip.AddrPort
	// Held is the number of requests that the host has at the run.
	Held   int
	Wanted int
	// Rejected is how many requests of the host the run has rejected since the last report.
	Rejected int
}

// Check reports the first invalid field of r.
func (r PlacesRequest) Check() error {
	if !r.Host.IsValid() {
		return fmt.Errorf("ratelimit: invalid host in a request for places at %.80q", r.Limit.Instance)
	}
	for _, count := range []int{r.Held, r.Wanted, r.Rejected} {
		if count < 0 || count > maxPlaces {
			return fmt.Errorf("ratelimit: invalid count %d in a request for places at %.80q", count, r.Limit.Instance)
		}
	}
	return r.Limit.Check()
}

// PlacesReply is the reply to a PlacesRequest.
type PlacesReply struct {
	Granted int
	// Wait is the time after which to ask again if fewer places were granted than wanted.
	Wait time.Duration
	// Limit is the state that the owner knows.
	Limit Limit
}

// seeker counts the requests that this host has at one run, and asks the owner of a brittle run for
// the places that this host needs, one call at a time.
type seeker struct {
	// held is the number of requests that Acquire let through, without those that were rejected or
	// released.
	held int
	// ended is the number of requests that were denied a place or rejected, and not yet released.
	ended int
	// waiters are the requests that wait for a place, the oldest first. Each channel has room for
	// the result.
	waiters []chan bool
	// running says that a goroutine asks the owner.
	running bool
	// reportScheduled says that a timer will report again.
	reportScheduled bool
	// reported is the number of places that the owner believes this host to hold.
	reported int
	rejected int
}

// places has the state of a host for the brittle runs.
type places struct {
	mu sync.Mutex
	// seekers and books are indexed by instance. seekers has the runs that this host has requests at,
	// and books those for which it was asked for places.
	seekers map[string]*seeker
	books   map[string]*placeBook
}

// acquirePlace counts a request at a run, after asking for a place if the run is brittle. It reports
// whether the request may be sent.
func (g *Group) acquirePlace(ctx context.Context, instance string) bool {
	g.places.mu.Lock()
	s := g.seeker(instance)
	if l, _ := g.Restriction(instance); !l.Brittle {
		s.held++
		g.places.mu.Unlock()
		return true
	}
	result := make(chan bool, 1)
	s.waiters = append(s.waiters, result)
	g.start(instance, s)
	g.places.mu.Unlock()
	select {
	case granted := <-result:
		return granted
	case <-ctx.Done():
		g.places.mu.Lock()
		defer g.places.mu.Unlock()
		if at := slices.Index(s.waiters, result); at >= 0 {
			s.waiters = slices.Delete(s.waiters, at, at+1)
			s.ended++
		}
		return false
	}
}

// Released records that a request for which Acquire was called has ended, whether it was let through
// or not. It tells the owner of the run, if that is brittle.
func (g *Group) Released(instance string) {
	l, _ := g.Restriction(instance)
	g.places.mu.Lock()
	defer g.places.mu.Unlock()
	s := g.seeker(instance)
	// Whether this one is among them makes no difference once they are all released.
	if s.ended > 0 {
		s.ended--
	} else {
		s.held = max(s.held-1, 0)
	}
	if l.Brittle {
		g.start(instance, s)
	}
}

// Rejected records that a run rejected a request of this host for lack of room. Released must be
// called afterwards.
func (g *Group) Rejected(instance string) {
	if l, _ := g.Restriction(instance); !l.Brittle {
		return
	}
	g.places.mu.Lock()
	defer g.places.mu.Unlock()
	s := g.seeker(instance)
	s.rejected++
	// The owner takes the remaining requests for what the run has room for.
	s.held = max(s.held-1, 0)
	s.ended++
}

// seeker returns the seeker for a run. places.mu must be held.
func (g *Group) seeker(instance string) *seeker {
	s := g.places.seekers[instance]
	if s == nil {
		s = &seeker{}
		g.places.seekers[instance] = s
	}
	return s
}

// start makes a seeker ask the owner, unless it does already. places.mu must be held.
func (g *Group) start(instance string, s *seeker) {
	if s.running {
		return
	}
	s.running = true
	go func() {
		for g.seekOnce(instance, s) {
		}
	}()
}

// seekOnce reports to the owner once, and reports whether there is more to report.
func (g *Group) seekOnce(instance string, s *seeker) bool {
	limit, _ := g.Restriction(instance)
	g.places.mu.Lock()
	wanted := len(s.waiters)
	if !limit.Brittle {
		s.finish(wanted, wanted)
		s.running = false
		g.places.mu.Unlock()
		return false
	}
	held := s.held
	if wanted == 0 && held == s.reported && s.rejected == 0 {
		s.running = false
		g.scheduleReport(instance, s, held)
		g.places.mu.Unlock()
		return false
	}
	request := PlacesRequest{Limit: limit, Host: g.options.Self, Held: held, Wanted: wanted, Rejected: s.rejected}
	s.rejected = 0
	g.places.mu.Unlock()

	reply := g.requestPlaces(request)
	granted := min(reply.Granted, wanted)
	if granted < wanted {
		g.Defer(instance, max(reply.Wait, minWait))
	}
	g.options.Scope.Counter("places_granted").Inc(int64(granted))
	g.options.Scope.Counter("places_denied").Inc(int64(wanted - granted))
	g.places.mu.Lock()
	defer g.places.mu.Unlock()
	s.reported = held + granted
	if granted < wanted {
		// Those that came during the call would be denied as well.
		wanted = len(s.waiters)
	}
	s.finish(wanted, granted)
	return true
}

// finish tells the oldest waiters, up to count, whether they have a place. places.mu must be held.
func (s *seeker) finish(count, granted int) {
	count = min(count, len(s.waiters))
	granted = min(granted, count)
	s.held += granted
	s.ended += count - granted
	for i, result := range s.waiters[:count] {
		result <- i < granted
	}
	s.waiters = slices.Delete(s.waiters, 0, count)
}

// scheduleReport makes the seeker repeat its report before the owner forgets it. places.mu must be
// held.
func (g *Group) scheduleReport(instance string, s *seeker, held int) {
	if held == 0 || s.reportScheduled {
		return
	}
	s.reportScheduled = true
	time.AfterFunc(reportInterval, func() {
		g.places.mu.Lock()
		defer g.places.mu.Unlock()
		s.reportScheduled = false
		// No owner believes this, so that the report is sent.
		s.reported = -1
		select {
		case <-g.options.Done:
		default:
			g.start(instance, s)
		}
	})
}

// requestPlaces asks the granters of a run for places.
func (g *Group) requestPlaces(r PlacesRequest) PlacesReply {
	ctx := context.Background()
	reply, answered := askGranters(ctx, g, placesKeyPrefix, r.Limit.Instance,
		func() PlacesReply { return g.GrantPlaces(r) },
		func(peer netip.AddrPort) (PlacesReply, error) {
			began := g.options.SinceBoot()
			reply, err := g.options.RequestPlaces(ctx, peer, r)
			if g.options.SinceBoot()-began > permitTTL {
				reply.Granted = 0
			}
			return reply, err
		})
	if !answered {
		return PlacesReply{Wait: unreachableWait}
	}
	g.Merge([]Limit{reply.Limit})
	return reply
}

// GrantPlaces records the report of this or another host, and grants places.
func (g *Group) GrantPlaces(r PlacesRequest) PlacesReply {
	g.Merge([]Limit{r.Limit})
	instance := r.Limit.Instance
	current, known := g.state(instance)
	if !known {
		current = r.Limit
	}
	if !current.Brittle {
		return PlacesReply{Granted: r.Wanted, Limit: current}
	}
	now := g.options.SinceBoot()
	best := g.options.Owners.Best(placesKeyPrefix+instance, 1)
	isOwner := len(best) == 0 || best[0].Address == g.options.Self
	slots := g.options.Slots(instance)
	g.places.mu.Lock()
	defer g.places.mu.Unlock()
	b := g.places.books[instance]
	if b == nil {
		b = newPlaceBook(now, slots)
		g.places.books[instance] = b
	}
	granted := b.report(now, r, current, slots, isOwner)
	return PlacesReply{Granted: granted, Wait: b.wait(), Limit: current}
}

// removeUnused removes the state of the runs that are not brittle and have no requests of this host.
func (p *places) removeUnused(isBrittle func(instance string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.books, func(instance string, _ *placeBook) bool { return !isBrittle(instance) })
	maps.DeleteFunc(p.seekers, func(instance string, s *seeker) bool {
		// A seeker that reports later must still be the only one of its run then.
		inUse := s.running || s.reportScheduled || len(s.waiters) > 0 || s.held > 0 || s.ended > 0
		return !isBrittle(instance) && !inUse
	})
}
