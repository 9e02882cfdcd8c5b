// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Contact is what a member says of its links to backend servers.
type Contact struct {
	// Server is the backend server that the member reached last; invalid if there is none.
	Server netip.AddrPort
	// Age is the time since then.
	Age time.Duration
	// Doubtful reports whether the member asks others for their contacts.
	Doubtful bool
}

// Reached is a backend server that another member has reached, and when.
type Reached struct {
	Server netip.AddrPort
	At     time.Time
}

// SetIsolated sets whether the node has lost its links to all backend servers, and reports whether
// that changed.
func (v *View) SetIsolated(isolated bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.self.Isolated == isolated {
		return false
	}
	v.self.Isolated, v.cachedSums = isolated, nil
	v.self.Beat++
	v.version++
	return true
}

// ReachedSince returns the backend servers that other members have reached after a point in time, as
// far as they have said so themselves.
func (v *View) ReachedSince(after time.Time) []Reached {
	v.mu.Lock()
	defer v.mu.Unlock()
	var reached []Reached
	for _, k := range v.members {
		if k.reached.At.After(after) {
			reached = append(reached, k.reached)
		}
	}
	slices.SortFunc(reached, func(a, b Reached) int { return a.Server.Compare(b.Server) })
	return reached
}

// DoubtedAt returns when a member last asked for the contacts of others; zero if none has.
func (v *View) DoubtedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.doubtedAt
}
