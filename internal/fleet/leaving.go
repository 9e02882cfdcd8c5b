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

// LeavingServer identifies an instance of a backend server that must get no new work.
type LeavingServer struct {
	Address netip.AddrPort `json:"address"`
	// Instance identifies the run of the server that is leaving.
	Instance string `json:"instance"`
}

// Leaving reports a leaving backend server to a peer.
type Leaving struct {
	LeavingServer
	// Age is the time since the first node learned of it, so that the mark expires on all nodes
	// at about the same time. Without it, nodes would renew the mark from each other for ever.
	Age time.Duration
}

// compare orders servers by address, then by instance.
func (s LeavingServer) compare(other LeavingServer) int {
	if c := s.Address.Compare(other.Address); c != 0 {
		return c
	}
	return cmp.Compare(s.Instance, other.Instance)
}

// Check reports the first invalid field of s.
func (s LeavingServer) Check() error {
	if !s.Address.IsValid() || len(s.Instance) > pipeline.MaxNameBytes {
		return fmt.Errorf("fleet: invalid leaving server: address %q, instance %.80q", s.Address, s.Instance)
	}
	return nil
}

type leavingMark struct {
	LeavingServer
	markedAt time.Time
	spreads  int
}

// MarkLeaving records that an instance of a backend server is leaving and reports whether that
// was new.
func (v *View) MarkLeaving(now time.Time, s LeavingServer) bool {
	return v.MergeLeaving(now, Leaving{LeavingServer: s})
}

// MergeLeaving is like MarkLeaving for a report from a peer.
func (v *View) MergeLeaving(now time.Time, s Leaving) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving[s.LeavingServer] != nil || len(v.leaving) >= maxLeaving || s.Age >= v.options.LeavingRetention {
		return false
	}
	v.leaving[s.LeavingServer] = &leavingMark{LeavingServer: s.LeavingServer, markedAt: now.Add(-s.Age)}
	v.leavingByAddress[s.Address]++
	return true
}

// unmark removes the mark of an instance of a backend server. The mutex must be held.
func (v *View) unmark(s LeavingServer) {
	delete(v.leaving, s)
	if v.leavingByAddress[s.Address]--; v.leavingByAddress[s.Address] == 0 {
		delete(v.leavingByAddress, s.Address)
	}
}

// IsLeaving reports whether the instance of the backend server is known to be leaving. An empty
// instance matches any instance.
func (v *View) IsLeaving(address netip.AddrPort, instance string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if instance == "" {
		return v.leavingByAddress[address] > 0
	}
	return v.leaving[LeavingServer{Address: address, Instance: instance}] != nil || v.leaving[LeavingServer{Address: address}] != nil
}

// Leaving returns the backend servers known to be leaving, in order.
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
	all := make([]*leavingMark, 0, len(v.leaving))
	for _, m := range v.leaving {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *leavingMark) int {
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
		news = append(news, m.withAge(now))
	}
	if len(all) > 0 && len(news) == 0 {
		news = append(news, all[random.IntN(len(all))].withAge(now))
	}
	return news
}

// withAge returns the report of the mark to send to peers.
func (m *leavingMark) withAge(now time.Time) Leaving {
	return Leaving{LeavingServer: m.LeavingServer, Age: max(now.Sub(m.markedAt), 0)}
}
