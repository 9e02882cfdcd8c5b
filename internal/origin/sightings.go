// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin

import (
	"net/netip"
	"slices"
	"time"
)

// startPeriod is how long after its own start a host takes the hosts that it sees for known ones.
const startPeriod = time.Second

// lookBacks are how long ago the hosts are taken from that may hold streams which later keepers still
// lack: until all hosts know of a change, and until the copies are repaired.
var lookBacks = [...]time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond}

// sighting is what a host remembers of another one.
type sighting struct {
	host Host
	// firstAt is when the host was first seen; zero within startPeriod.
	firstAt time.Time
	// goneAt is when the host was last looked for in vain; zero if it is there.
	goneAt time.Time
}

// sightings remembers the hosts of the last seconds. It is not safe for concurrent use.
type sightings struct {
	self  netip.AddrPort
	start time.Time
	known map[netip.AddrPort]*sighting
	// views are the hosts as of some times, the earliest first. All but the first are of the time of the
	// longest of lookBacks.
	views []sightedView
	// past are the hosts that would keep the streams of retention ago. Some may be gone.
	past *Hosts
	// gone are the hosts among past that are gone.
	gone map[netip.AddrPort]bool
}

// sightedView is the set of hosts from a time on.
type sightedView struct {
	at    time.Time
	hosts *Hosts
}

func newSightings(self netip.AddrPort, start time.Time) *sightings {
	return &sightings{self: self, start: start, known: make(map[netip.AddrPort]*sighting), past: NewHosts(self, nil)}
}

// update records the hosts that are there now. It returns when the result changes next although the hosts
// don't; zero for never.
func (s *sightings) update(hosts *Hosts, now time.Time) time.Time {
	s.views = append(s.views, sightedView{at: now, hosts: hosts})
	for len(s.views) > 1 && now.Sub(s.views[1].at) >= lookBacks[len(lookBacks)-1] {
		s.views = s.views[1:]
	}
	var next, firstAt time.Time
	if now.Sub(s.start) >= startPeriod {
		firstAt = now
	} else {
		next = s.start.Add(startPeriod)
	}
	there := make(map[netip.AddrPort]bool, len(hosts.all))
	for _, h := range hosts.all {
		there[h.Address] = true
		k := s.known[h.Address]
		if k == nil {
			k = &sighting{firstAt: firstAt}
			s.known[h.Address] = k
		}
		k.host, k.goneAt = h, time.Time{}
	}
	var past []Host
	s.gone = make(map[netip.AddrPort]bool)
	for address, k := range s.known {
		if !there[address] {
			if k.goneAt.IsZero() {
				k.goneAt = now
			}
			if k.host.Leaving || now.Sub(k.goneAt) >= retention {
				delete(s.known, address)
				continue
			}
			next = earliest(next, k.goneAt.Add(retention))
			s.gone[address] = true
		}
		h := k.host
		h.Leaving = false
		if now.Sub(k.firstAt) >= retention {
			past = append(past, h)
		} else {
			next = earliest(next, k.firstAt.Add(retention))
		}
	}
	s.past = NewHosts(s.self, past)
	return next
}

// lately returns the hosts of now and of some moments before, the latest first.
func (s *sightings) lately(now time.Time) []*Hosts {
	var lately []*Hosts
	for _, back := range lookBacks {
		for _, v := range slices.Backward(s.views) {
			if now.Sub(v.at) >= back {
				lately = append(lately, v.hosts)
				break
			}
		}
	}
	return slices.Compact(lately)
}

// earliest returns the earlier of two times, of which zero counts as never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
