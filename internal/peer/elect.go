// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
)

const (
	// largeShare is the share of the largest capacity in an availability zone from which a host
	// counts as large. Large hosts are preferred, since reading a value of 1 MB from the
	// publisher occupies a link of 10 Mbit/s for 1.1 s.
	largeShare = 0.5
	// smallElected is how many small hosts are elected in addition to large ones, so that not
	// all elected hosts fail together.
	smallElected = 1
)

// Elected reports whether this node is one of the count live nodes of its availability zone that
// own key. More than count nodes may be elected while views differ.
func Elected(view *fleet.View, key string, count int) bool {
	self := view.Self()
	for _, m := range elected(candidates(view)[self.Zone], key, count) {
		if m.Address == self.Address {
			return true
		}
	}
	return false
}

// Elections keeps the results of Elected while the view is unchanged. It is safe for concurrent use.
type Elections struct {
	view *fleet.View

	mu sync.Mutex
	// results are those for the version of the view.
	version uint64
	results map[election]bool
}

type election struct {
	key   string
	count int
}

// NewElections returns Elections of a view.
func NewElections(view *fleet.View) *Elections {
	return &Elections{view: view, results: make(map[election]bool)}
}

// Elected returns what Elected returns for the view.
func (e *Elections) Elected(key string, count int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The view may change meanwhile; the next call then elects anew.
	if version := e.view.Version(); version != e.version {
		e.version = version
		clear(e.results)
	}
	this := election{key: key, count: count}
	result, ok := e.results[this]
	if !ok {
		result = Elected(e.view, key, count)
		e.results[this] = result
	}
	return result
}

// ElectedEverywhere returns the live nodes that own key, count of each availability zone, those
// of this node's zone first. The node itself may be among them.
func ElectedEverywhere(view *fleet.View, key string, count int) []fleet.Member {
	self := view.Self()
	zones := candidates(view)
	all := elected(zones[self.Zone], key, count)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if zone != self.Zone {
			all = append(all, elected(zones[zone], key, count)...)
		}
	}
	return all
}

// candidates returns, by availability zone, the live nodes that can read the publisher, or all
// live nodes if none can. They include this node.
func candidates(view *fleet.View) map[string][]fleet.Member {
	live := []fleet.Member{view.Self()}
	for _, m := range view.Members() {
		if m.State == fleet.StateLive {
			live = append(live, m)
		}
	}
	reading := slices.DeleteFunc(slices.Clone(live), func(m fleet.Member) bool { return !m.Reads })
	if len(reading) == 0 {
		reading = live
	}
	zones := make(map[string][]fleet.Member)
	for _, m := range reading {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	return zones
}

// elected returns count nodes of one availability zone: large ones except for smallElected.
func elected(nodes []fleet.Member, key string, count int) []fleet.Member {
	large, small := splitByCapacity(nodes)
	fromLarge := max(count-smallElected, 1)
	if len(small) == 0 || len(large) < fromLarge {
		return topMembers(nodes, key, count)
	}
	return append(topMembers(large, key, fromLarge), topMembers(small, key, count-fromLarge)...)
}

func topMembers(nodes []fleet.Member, key string, count int) []fleet.Member {
	byAddress := make(map[netip.AddrPort]fleet.Member, len(nodes))
	addresses := make([]netip.AddrPort, 0, len(nodes))
	for _, m := range nodes {
		byAddress[m.Address] = m
		addresses = append(addresses, m.Address)
	}
	var members []fleet.Member
	for _, a := range owner.Top(addresses, key, count) {
		members = append(members, byAddress[a])
	}
	return members
}

func splitByCapacity(nodes []fleet.Member) (large, small []fleet.Member) {
	largest := 0
	for _, m := range nodes {
		largest = max(largest, m.Capacity)
	}
	for _, m := range nodes {
		if float64(m.Capacity) >= largeShare*float64(largest) {
			large = append(large, m)
			continue
		}
		small = append(small, m)
	}
	return large, small
}
