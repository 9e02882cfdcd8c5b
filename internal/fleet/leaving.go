// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/wingvale/wingvale/pipeline"
)

// LeavingServer marks a backend server that must get no new work.
type LeavingServer struct {
	Address netip.AddrPort `json:"address"`
	// Instance is the run of the server that is leaving.
	Instance string `json:"instance"`
}

// Leaving tells a peer of a backend server that leaves.
type Leaving struct {
	LeavingServer
	// Age is how long ago the first node heard of it, so that it ends everywhere at
	// about the same time: told anew without its age, a mark goes round for ever.
	Age time.Duration
}

// compare orders servers by address, then by run.
func (s LeavingServer) compare(other LeavingServer) int {
	if c := s.Address.Compare(other.Address); c != 0 {
		return c
	}
	return cmp.Compare(s.Instance, other.Instance)
}

// Check reports the first thing wrong with s.
func (s LeavingServer) Check() error {
	if !s.Address.IsValid() || len(s.Instance) > pipeline.MaxNameBytes {
		return fmt.Errorf("fleet: leaving server %q with instance %.80q", s.Address, s.Instance)
	}
	return nil
}

type mark struct {
	LeavingServer
	since   time.Time
	spreads int
}

// MarkLeaving notes that a run of a backend server is leaving and reports
// whether that was new.
func (v *View) MarkLeaving(now time.Time, s LeavingServer) bool {
	return v.HeardLeaving(now, Leaving{LeavingServer: s})
}

// HeardLeaving is MarkLeaving for what a peer tells.
func (v *View) HeardLeaving(now time.Time, s Leaving) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving[s.LeavingServer] != nil || len(v.leaving) >= maxLeaving || s.Age >= v.options.LeavingFor {
		return false
	}
	v.leaving[s.LeavingServer] = &mark{LeavingServer: s.LeavingServer, since: now.Add(-s.Age)}
	v.leavingAt[s.Address]++
	return true
}

// unmark forgets that a run of a backend server is leaving. The mutex must be held.
func (v *View) unmark(s LeavingServer) {
	delete(v.leaving, s)
	if v.leavingAt[s.Address]--; v.leavingAt[s.Address] == 0 {
		delete(v.leavingAt, s.Address)
	}
}

// IsLeaving reports whether that run of the backend server is known to leave.
// An empty instance matches any.
func (v *View) IsLeaving(address netip.AddrPort, instance string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if instance == "" {
		return v.leavingAt[address] > 0
	}
	return v.leaving[LeavingServer{Address: address, Instance: instance}] != nil || v.leaving[LeavingServer{Address: address}] != nil
}

// Leaving returns the backend servers known to leave, in order.
func (v *View) Leaving() []LeavingServer {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers := make([]LeavingServer, 0, len(v.leaving))
	for _, m := range v.leaving {
		servers = append(servers, m.LeavingServer)
	}
	slices.SortFunc(servers, LeavingServer.compare)
	return servers
}

func (v *View) leavingNews(now time.Time, spreads int, random *rand.Rand) []Leaving {
	all := make([]*mark, 0, len(v.leaving))
	for _, m := range v.leaving {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *mark) int {
		if a.spreads != b.spreads {
			return a.spreads - b.spreads
		}
		return a.compare(b.LeavingServer)
	})
	var news []Leaving
	for _, m := range all {
		if m.spreads >= spreads || len(news) >= MaxNews {
			break
		}
		m.spreads++
		news = append(news, m.told(now))
	}
	if len(all) > 0 && len(news) == 0 {
		news = append(news, all[random.IntN(len(all))].told(now))
	}
	return news
}

// told is what peers are told of the server.
func (m *mark) told(now time.Time) Leaving {
	return Leaving{LeavingServer: m.LeavingServer, Age: max(now.Sub(m.since), 0)}
}
