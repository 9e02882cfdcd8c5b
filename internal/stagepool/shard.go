// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stagepool

import (
	"maps"
	"math/bits"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/stageplan"
)

const (
	// shardSize is about the most servers that one host owns together: with all of
	// them at hand, work waits least for a free one, and calls are fullest; their
	// owner sends all of it, and looks at all of them for each call.
	shardSize = 24
	// zoneMark and partMark stand in the names of shards.
	zoneMark = "/"
	partMark = "#"
	// halfHash is how many bits a hash is turned by to choose again.
	halfHash = 32
)

// shard names the servers of a service that one host owns together: all of them, those
// of one availability zone where there are many, or a part of these.
type shard struct {
	service string
	zoned   bool
	zone    string
	part    int
}

// String names the shard to other hosts.
func (s shard) String() string {
	name := s.service
	if s.zoned {
		name += zoneMark + s.zone
	}
	if s.part > 0 {
		name += partMark + strconv.Itoa(s.part)
	}
	return name
}

// shardNamed is the shard of a name.
func shardNamed(name string) shard {
	at := strings.LastIndex(name, zoneMark)
	if at < 0 {
		return shard{service: name}
	}
	s := shard{service: name[:at], zoned: true, zone: name[at+len(zoneMark):]}
	if at = strings.LastIndex(s.zone, partMark); at >= 0 {
		if part, err := strconv.Atoi(s.zone[at+len(partMark):]); err == nil && part >= 0 {
			s.zone, s.part = s.zone[:at], part
		}
	}
	return s
}

// zoneServers are the servers of a service in one availability zone.
type zoneServers struct {
	region string
	// open is how many of them do not leave.
	open int
	// servers has the last server at each address.
	servers *owner.Divided[netip.AddrPort, stageplan.Server]
}

// serviceServers are the servers of a service.
type serviceServers struct {
	zones map[string]*zoneServers
	// names has the zones in order, and shards the names of all shards.
	names  []string
	shards []string
	count  int
	// renamed says that shards are out of date.
	renamed bool
}

// newServiceServers returns a service without servers, which is one shard.
func newServiceServers(service string) *serviceServers {
	return &serviceServers{zones: make(map[string]*zoneServers), shards: []string{service}}
}

// change takes in one server that was added, changed or removed, and returns its zones.
func (s *serviceServers) change(c listed.Change[stageplan.Server]) []string {
	var touched []string
	if c.Old != nil {
		s.remove(*c.Old)
		touched = append(touched, c.Old.Zone)
	}
	if c.New != nil {
		s.put(*c.New)
		touched = append(touched, c.New.Zone)
	}
	return touched
}

func (s *serviceServers) put(server stageplan.Server) {
	zone := s.zones[server.Zone]
	if zone == nil {
		hash := func(address netip.AddrPort) uint64 { return owner.Score(address, "") }
		zone = &zoneServers{region: server.Region, servers: owner.NewDivided[netip.AddrPort, stageplan.Server](shardSize, hash)}
		s.zones[server.Zone] = zone
		s.names = slices.Sorted(maps.Keys(s.zones))
		s.renamed = true
	}
	s.drop(zone, server.Address)
	zone.servers.Put(server.Address, server)
	s.count++
	if !server.Leaving {
		zone.open++
	}
}

// remove takes a server out unless another run has its address by now.
func (s *serviceServers) remove(server stageplan.Server) {
	zone := s.zones[server.Zone]
	if zone == nil {
		return
	}
	if held, ok := zone.at(server.Address); ok && held.Instance == server.Instance {
		s.drop(zone, server.Address)
	}
}

func (s *serviceServers) drop(zone *zoneServers, address netip.AddrPort) {
	held, ok := zone.at(address)
	if !ok {
		return
	}
	zone.servers.Remove(address)
	s.count--
	if !held.Leaving {
		zone.open--
	}
}

func (z *zoneServers) at(address netip.AddrPort) (stageplan.Server, bool) {
	held, ok := z.servers.Part(z.servers.Of(address))[address]
	return held, ok
}

// divide brings the shards in line with the servers. It is called after each batch of
// changes.
func (s *serviceServers) divide(service string) {
	for _, zone := range s.zones {
		s.renamed = zone.servers.Divide() || s.renamed
	}
	if s.renamed || s.split() != (len(s.shards) > 1) {
		s.shards, s.renamed = s.shardNames(service), false
	}
}

// split reports whether the servers are owned by zone.
func (s *serviceServers) split() bool {
	return s.count > shardSize
}

// servers returns those of a shard, by address. A part that there isn't, of which a host
// with more servers on its list may know, stands for one that there is.
func (s *serviceServers) servers(of shard) []stageplan.Server {
	var list []stageplan.Server
	for _, name := range s.names {
		zone := s.zones[name]
		switch {
		case !of.zoned || of.zone == "":
			for part := range zone.servers.Parts() {
				list = slices.AppendSeq(list, maps.Values(zone.servers.Part(part)))
			}
		case of.zone == name:
			list = slices.AppendSeq(list, maps.Values(zone.servers.Part(of.part%zone.servers.Parts())))
		}
	}
	slices.SortFunc(list, func(a, b stageplan.Server) int { return a.Address.Compare(b.Address) })
	return list
}

// shardNames returns the names of all shards, in order.
func (s *serviceServers) shardNames(service string) []string {
	if !s.split() {
		return []string{service}
	}
	var names []string
	for _, zone := range s.names {
		for part := range s.zones[zone].servers.Parts() {
			names = append(names, shard{service: service, zoned: true, zone: zone, part: part}.String())
		}
	}
	return names
}

// known returns the shard that a name means among those that there are.
func (s *serviceServers) known(of shard) shard {
	if zone := s.zones[of.zone]; zone != nil {
		of.part %= zone.servers.Parts()
	}
	return of
}

// allows reports whether a zone has servers for work that do not leave.
func (z *zoneServers) allows(w stageplan.Work) bool {
	return z.open > 0 && w.Allows(stageplan.Server{Region: z.region})
}

// pick returns a shard for work by a hash: each zone as often as it has servers that may
// do it. It reports false where none has.
func (s *serviceServers) pick(w stageplan.Work, hash uint64) (shard, bool) {
	open := 0
	for _, zone := range s.zones {
		if zone.allows(w) {
			open += zone.open
		}
	}
	if open == 0 {
		return shard{}, false
	}
	left := int(hash % uint64(open))
	for _, name := range s.names {
		zone := s.zones[name]
		if !zone.allows(w) {
			continue
		}
		if left < zone.open {
			return s.inZone(w, name, hash), true
		}
		left -= zone.open
	}
	return shard{}, false
}

// inZone returns a shard of a zone by a hash.
func (s *serviceServers) inZone(w stageplan.Work, zone string, hash uint64) shard {
	return shard{service: w.Service, zoned: true, zone: zone, part: owner.Part(hash, s.zones[zone].servers.Parts())}
}

// holding returns the shard of a server.
func (s *serviceServers) holding(service, zone string, address netip.AddrPort) shard {
	of := shard{service: service}
	if !s.split() {
		return of
	}
	of.zoned, of.zone = true, zone
	if z := s.zones[zone]; z != nil {
		of.part = z.servers.Of(address)
	}
	return of
}

// shard names the servers that are to do work. Work that is not tied to a zone goes to
// the zones by their servers, to the one of two shards where it waits less; work that is
// goes to the better of two shards there, and leaves its zone only where it would wait far
// longer. The mutex must be held.
func (g *Group) shard(w stageplan.Work) string {
	s := g.services[w.Service]
	if s == nil || !s.split() {
		return w.Service
	}
	hash := xxhash.Sum64String(w.Request)
	other := bits.RotateLeft64(hash, halfHash)
	first, open := s.pick(w, hash)
	if !open {
		return shard{service: w.Service, zoned: true, zone: w.Zone}.String()
	}
	if zone := s.zones[w.Zone]; zone == nil || !zone.allows(w) {
		second, _ := s.pick(w, other)
		return g.lessWait(first.String(), second.String())
	}
	home := g.lessWait(s.inZone(w, w.Zone, hash).String(), s.inZone(w, w.Zone, other).String())
	if away := first.String(); g.wait(away)+zoneWait < g.wait(home) {
		return away
	}
	return home
}

// lessWait returns the one of two shards where new work waits less, the first if equal.
func (g *Group) lessWait(first, second string) string {
	if first != second && g.wait(second) < g.wait(first) {
		return second
	}
	return first
}
