// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// Server is a backend server that a host may connect to.
type Server struct {
	Address netip.AddrPort
	Service string
	Zone    string
}

// group has the servers that are likely to fail together.
type group struct {
	service string
	zone    string
}

func groupOf(s Server) group {
	return group{service: s.Service, zone: s.Zone}
}

// serverSet is a set of backend servers by address.
type serverSet struct {
	byAddress map[netip.AddrPort]Server
	// byGroup has the addresses of each group in no order; no list is empty.
	byGroup map[group][]netip.AddrPort
}

func newServerSet() serverSet {
	return serverSet{byAddress: make(map[netip.AddrPort]Server), byGroup: make(map[group][]netip.AddrPort)}
}

func (s *serverSet) put(server Server) {
	s.remove(server.Address)
	s.byAddress[server.Address] = server
	g := groupOf(server)
	s.byGroup[g] = append(s.byGroup[g], server.Address)
}

func (s *serverSet) remove(address netip.AddrPort) {
	old, ok := s.byAddress[address]
	if !ok {
		return
	}
	delete(s.byAddress, address)
	g := groupOf(old)
	rest := slices.DeleteFunc(s.byGroup[g], func(a netip.AddrPort) bool { return a == address })
	if len(rest) == 0 {
		delete(s.byGroup, g)
		return
	}
	s.byGroup[g] = rest
}

// spread counts the services and the availability zones.
func (s *serverSet) spread() (services, zones int) {
	return spreadOf(func(yield func(group)) {
		for g := range s.byGroup {
			yield(g)
		}
	})
}

// spreadOf counts the services and the availability zones of the groups that each yields.
func spreadOf(each func(yield func(group))) (services, zones int) {
	byService, byZone := make(map[string]bool), make(map[string]bool)
	each(func(g group) { byService[g.service], byZone[g.zone] = true, true })
	return len(byService), len(byZone)
}

// pick returns up to count servers, each from another group while there are any, first from groups
// that have most in them that differs from the avoided ones.
func (s *serverSet) pick(count int, avoid []group, random *rand.Rand) []netip.AddrPort {
	shared := make(map[group]int, len(s.byGroup))
	groups := make([]group, 0, len(s.byGroup))
	for g := range s.byGroup {
		groups = append(groups, g)
		shared[g] = overlap(g, avoid)
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
	})
	random.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	slices.SortStableFunc(groups, func(a, b group) int { return shared[a] - shared[b] })
	var picked []netip.AddrPort
	for _, g := range groups[:min(count, len(groups))] {
		addresses := s.byGroup[g]
		picked = append(picked, addresses[random.IntN(len(addresses))])
	}
	return picked
}

// overlap counts whether g shares its service and its zone with any of the others.
func overlap(g group, others []group) int {
	count := 0
	if slices.ContainsFunc(others, func(o group) bool { return o.service == g.service }) {
		count++
	}
	if slices.ContainsFunc(others, func(o group) bool { return o.zone == g.zone }) {
		count++
	}
	return count
}
