// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package owner_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/owner"
)

func peers(count int) []owner.Peer {
	var list []owner.Peer
	for i := range count {
		list = append(list, owner.Peer{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)})
	}
	return list
}

func TestAllHostsSelectSameOwner(t *testing.T) {
	all := owner.NewHosts(peers(5))
	for k := range 20 {
		key := fmt.Sprint(k)
		owners := make(map[netip.AddrPort]bool)
		for _, p := range all.Eligible() {
			named := p.Address
			if others := owner.NewFinder(p.Address, func() *owner.Hosts { return all }).PeersFor(key, 1); len(others) > 0 {
				named = others[0].Address
			}
			owners[named] = true
		}
		assert.Equal(t, len(owners), 1, "key %s", key)
	}
}

func TestAvoidedHostIsExcludedTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := owner.NewHosts(peers(5))
		self := netip.MustParseAddrPort("10.9.9.9:1")
		f := owner.NewFinder(self, func() *owner.Hosts { return all })
		first := f.PeersFor("k", 2)
		assert.Equal(t, len(first), 2)
		f.Avoid(first[0].Address)
		assert.Equal(t, f.PeersFor("k", 1)[0], first[1])
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.PeersFor("k", 1)[0], first[0])
	})
}

// Hosts with links of 10 Mbit/s owned pools whose calls saturated these links.
func TestSmallHostsOwnKeysOnlyWithoutLargeHosts(t *testing.T) {
	all := peers(12)
	for i := range all {
		all[i].Capacity = 1
	}
	all[3].Capacity, all[7].Capacity = 8, 6
	self := netip.MustParseAddrPort("10.9.9.9:1")
	live := owner.NewHosts(all)
	f := owner.NewFinder(self, func() *owner.Hosts { return live })
	owners := make(map[netip.AddrPort]bool)
	for k := range 50 {
		owners[f.PeersFor(fmt.Sprint(k), 1)[0].Address] = true
	}
	assert.Equal(t, len(owners), 2)
	assert.Assert(t, owners[all[3].Address] && owners[all[7].Address])
	live = owner.NewHosts(append(append(append([]owner.Peer(nil), all[:3]...), all[4:7]...), all[8:]...))
	clear(owners)
	for k := range 50 {
		owners[f.PeersFor(fmt.Sprint(k), 1)[0].Address] = true
	}
	assert.Assert(t, len(owners) > 5, "small hosts must own keys when no large one is left, got %d owners", len(owners))
}

func TestAdditionalNameMovesOnlyItsKeys(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for key := range uint64(50) {
		before := owner.TopNames(names, key, 1)[0]
		after := owner.TopNames(append([]string{"e"}, names...), key, 1)[0]
		assert.Assert(t, after == before || after == "e")
	}
	assert.Equal(t, len(owner.TopNames(nil, 1, 3)), 0)
}

// When all hosts were copied, hashed and sorted for each stage and each prompt, the time of a
// look-up grew in proportion to the number of hosts.
func TestOwnerLookupCostDoesNotGrowWithFleet(t *testing.T) {
	for _, count := range []int{60, 585, 1170} {
		all := owner.NewHosts(manyPeers(count))
		f := owner.NewFinder(netip.MustParseAddrPort("10.9.9.9:1"), func() *owner.Hosts { return all })
		f.PeersFor("logbook#3", 2)
		allocations := testing.AllocsPerRun(100, func() { f.PeersFor("logbook#3", 2) })
		assert.Assert(t, allocations <= 4, "%d hosts: %v allocations", count, allocations)
	}
}

// Cached results must equal those computed from all hosts.
func TestCachedOwnersEqualThoseOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := manyPeers(40)
		for i := range list {
			list[i].Capacity = 1 + i%4
		}
		all := owner.NewHosts(list)
		f := owner.NewFinder(list[7].Address, func() *owner.Hosts { return all })
		avoided := make(map[netip.AddrPort]bool)
		for k := range 200 {
			key := fmt.Sprint(k)
			got := f.PeersFor(key, 2)
			want := othersOfAll(list, avoided, list[7].Address, key, 2)
			assert.Assert(t, slices.Equal(got, want), "key %s: got %v, want %v", key, got, want)
			if k%10 == 0 && len(got) > 0 && len(avoided) < 12 {
				f.Avoid(got[0].Address)
				avoided[got[0].Address] = true
			}
		}
	})
}

// othersOfAll returns the expected result of PeersFor, computed from all hosts.
func othersOfAll(list []owner.Peer, avoided map[netip.AddrPort]bool, self netip.AddrPort, key string, count int) []owner.Peer {
	var available []netip.AddrPort
	byAddress := make(map[netip.AddrPort]owner.Peer)
	for _, p := range owner.Eligible(list) {
		if !avoided[p.Address] {
			available = append(available, p.Address)
			byAddress[p.Address] = p
		}
	}
	var others []owner.Peer
	for _, a := range owner.Top(available, key, len(available)) {
		if a == self || len(others) == count {
			break
		}
		others = append(others, byAddress[a])
	}
	return others
}

func manyPeers(count int) []owner.Peer {
	var list []owner.Peer
	for i := range count {
		list = append(list, owner.Peer{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)})
	}
	return list
}

func BenchmarkOthers(b *testing.B) {
	for _, count := range []int{60, 585, 1170} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			all := owner.NewHosts(manyPeers(count))
			f := owner.NewFinder(netip.MustParseAddrPort("10.9.9.9:1"), func() *owner.Hosts { return all })
			b.ReportAllocs()
			for i := range b.N {
				f.PeersFor(keys[i%len(keys)], 2)
			}
		})
	}
}

// keys has as many shards as a large deployment.
var keys = func() []string {
	var names []string
	for k := range 150 {
		names = append(names, fmt.Sprintf("service#%d", k))
	}
	return names
}()
