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
	// shardSize is about the most servers in a shard. In a larger shard, work waits less
	// for a free server and calls are fuller; but its owner sends all of its calls and
	// examines all of its servers for each call.
	shardSize = 24
	// zoneSeparator and partSeparator precede the zone and the part in a shard's name.
	zoneSeparator = "/"
	partSeparator = "#"
	// rehashRotation is how many bits a hash is rotated by to get a second, independent
	// choice of shard.
	rehashRotation = 32
)

// shard identifies a group of servers of a service that one host owns: all servers, those
// of one availability zone if there are many, or a part of these.
type shard struct {
	service string
	// zoned says that the shard has the servers of one zone only.
	zoned bool
	zone  string
	part  int
}

// String returns the name of the shard in messages between hosts.
func (s shard) String() string {
	name := s.service
	if s.zoned {
		name += zoneSeparator + s.zone
	}
	if s.part > 0 {
		name += partSeparator + strconv.Itoa(s.part)
	}
	return name
}

// parseShard returns the shard with a name that String returned.
func parseShard(name string) shard {
	i := strings.LastIndex(name, zoneSeparator)
	if i < 0 {
		return shard{service: name}
	}
	s := shard{service: name[:i], zoned: true, zone: name[i+len(zoneSeparator):]}
	if i = strings.LastIndex(s.zone, partSeparator); i >= 0 {
		if part, err := strconv.Atoi(s.zone[i+len(partSeparator):]); err == nil && part >= 0 {
			s.zone, s.part = s.zone[:i], part
		}
	}
	return s
}

// zoneServers are the servers of a service in one availability zone.
type zoneServers struct {
	region string
	// available is how many of the servers are not leaving.
	available int
	// servers holds the latest server at each address.
	servers *owner.PartitionedMap[netip.AddrPort, stageplan.Server]
}

// serviceServers are the servers of a service, divided into shards.
type serviceServers struct {
	zones map[string]*zoneServers
	// zoneNames holds the zones in order, and shards the names of all shards.
	zoneNames []string
	shards    []string
	count     int
	// shardsOutdated says that shards must be computed anew.
	shardsOutdated bool
}

// newServiceServers returns a service without servers, which has one shard.
func newServiceServers(service string) *serviceServers {
	return &serviceServers{zones: make(map[string]*zoneServers), shards: []string{service}}
}

// apply applies the addition, change or removal of a server, and returns the zones that it
// affects.
func (s *serviceServers) apply(c listed.Change[stageplan.Server]) []string {
	var zones []string
	if c.Old != nil {
		s.remove(*c.Old)
		zones = append(zones, c.Old.Zone)
	}
	if c.New != nil {
		s.put(*c.New)
		zones = append(zones, c.New.Zone)
	}
	return zones
}

func (s *serviceServers) put(server stageplan.Server) {
	zone := s.zones[server.Zone]
	if zone == nil {
		hash := func(address netip.AddrPort) uint64 { return owner.Score(address, "") }
		zone = &zoneServers{region: server.Region, servers: owner.NewPartitionedMap[netip.AddrPort, stageplan.Server](shardSize, hash)}
		s.zones[server.Zone] = zone
		s.zoneNames = slices.Sorted(maps.Keys(s.zones))
		s.shardsOutdated = true
	}
	s.drop(zone, server.Address)
	zone.servers.Put(server.Address, server)
	s.count++
	if !server.Leaving {
		zone.available++
	}
}

// remove removes a server unless another run of it has taken over its address.
func (s *serviceServers) remove(server stageplan.Server) {
	zone := s.zones[server.Zone]
	if zone == nil {
		return
	}
	if existing, ok := zone.get(server.Address); ok && existing.Instance == server.Instance {
		s.drop(zone, server.Address)
	}
}

func (s *serviceServers) drop(zone *zoneServers, address netip.AddrPort) {
	existing, ok := zone.get(address)
	if !ok {
		return
	}
	zone.servers.Remove(address)
	s.count--
	if !existing.Leaving {
		zone.available--
	}
}

func (z *zoneServers) get(address netip.AddrPort) (stageplan.Server, bool) {
	existing, ok := z.servers.Part(z.servers.PartOf(address))[address]
	return existing, ok
}

// updateShards divides the servers into shards again. It must be called after each batch
// of changes.
func (s *serviceServers) updateShards(service string) {
	for _, zone := range s.zones {
		s.shardsOutdated = zone.servers.Repartition() || s.shardsOutdated
	}
	if s.shardsOutdated || s.splitByZone() != (len(s.shards) > 1) {
		s.shards, s.shardsOutdated = s.shardNames(service), false
	}
}

// splitByZone reports whether each zone has shards of its own.
func (s *serviceServers) splitByZone() bool {
	return s.count > shardSize
}

// servers returns the servers of a shard, ordered by address. A host that knows of more
// servers may name a part that does not exist here; it is mapped to an existing one.
func (s *serviceServers) servers(target shard) []stageplan.Server {
	var list []stageplan.Server
	for _, name := range s.zoneNames {
		zone := s.zones[name]
		switch {
		case !target.zoned || target.zone == "":
			for part := range zone.servers.Parts() {
				list = slices.AppendSeq(list, maps.Values(zone.servers.Part(part)))
			}
		case target.zone == name:
			list = slices.AppendSeq(list, maps.Values(zone.servers.Part(target.part%zone.servers.Parts())))
		}
	}
	slices.SortFunc(list, func(a, b stageplan.Server) int { return a.Address.Compare(b.Address) })
	return list
}

// shardNames returns the names of all shards, in order.
func (s *serviceServers) shardNames(service string) []string {
	if !s.splitByZone() {
		return []string{service}
	}
	var names []string
	for _, zone := range s.zoneNames {
		for part := range s.zones[zone].servers.Parts() {
			names = append(names, shard{service: service, zoned: true, zone: zone, part: part}.String())
		}
	}
	return names
}

// resolve maps a shard whose part does not exist here to one that does.
func (s *serviceServers) resolve(target shard) shard {
	if zone := s.zones[target.zone]; zone != nil {
		target.part %= zone.servers.Parts()
	}
	return target
}

// canServe reports whether the zone has servers for w that are not leaving.
func (z *zoneServers) canServe(w stageplan.Work) bool {
	return z.available > 0 && w.Allows(stageplan.Server{Region: z.region})
}

// pickShard chooses a shard for w by a hash, with zones weighted by their servers that may
// run w. It reports false if there are none.
func (s *serviceServers) pickShard(w stageplan.Work, hash uint64) (shard, bool) {
	available := 0
	for _, zone := range s.zones {
		if zone.canServe(w) {
			available += zone.available
		}
	}
	if available == 0 {
		return shard{}, false
	}
	remaining := int(hash % uint64(available))
	for _, name := range s.zoneNames {
		zone := s.zones[name]
		if !zone.canServe(w) {
			continue
		}
		if remaining < zone.available {
			return s.pickInZone(w, name, hash), true
		}
		remaining -= zone.available
	}
	return shard{}, false
}

// pickInZone chooses a shard of a zone by a hash.
func (s *serviceServers) pickInZone(w stageplan.Work, zone string, hash uint64) shard {
	return shard{service: w.Service, zoned: true, zone: zone, part: owner.Part(hash, s.zones[zone].servers.Parts())}
}

// shardOfServer returns the shard that a server belongs to.
func (s *serviceServers) shardOfServer(service, zone string, address netip.AddrPort) shard {
	owned := shard{service: service}
	if !s.splitByZone() {
		return owned
	}
	owned.zoned, owned.zone = true, zone
	if z := s.zones[zone]; z != nil {
		owned.part = z.servers.PartOf(address)
	}
	return owned
}

// shardFor returns the name of the shard that is to run w, by the power of two choices: of
// two shards chosen by hash, it takes the one with the shorter wait. If w has no zone, or
// none that can serve it, both are chosen from all zones, weighted by their servers.
// Otherwise both are in the zone of w, and another zone is used only if the wait there is
// shorter by more than crossZoneMargin. The mutex must be held.
func (g *Group) shardFor(w stageplan.Work) string {
	s := g.services[w.Service]
	if s == nil || !s.splitByZone() {
		return w.Service
	}
	hash := xxhash.Sum64String(w.Request)
	rehash := bits.RotateLeft64(hash, rehashRotation)
	firstChoice, available := s.pickShard(w, hash)
	if !available {
		return shard{service: w.Service, zoned: true, zone: w.Zone}.String()
	}
	if zone := s.zones[w.Zone]; zone == nil || !zone.canServe(w) {
		secondChoice, _ := s.pickShard(w, rehash)
		return g.shorterWait(firstChoice.String(), secondChoice.String())
	}
	local := g.shorterWait(s.pickInZone(w, w.Zone, hash).String(), s.pickInZone(w, w.Zone, rehash).String())
	if remote := firstChoice.String(); g.expectedWait(remote)+crossZoneMargin < g.expectedWait(local) {
		return remote
	}
	return local
}

// shorterWait returns the shard with the shorter wait, or first if the waits are equal.
func (g *Group) shorterWait(first, second string) string {
	if first != second && g.expectedWait(second) < g.expectedWait(first) {
		return second
	}
	return first
}
