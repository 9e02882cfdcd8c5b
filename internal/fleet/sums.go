// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets by which views are compared. With 300 hosts, a host that
// joined or left makes a bucket of some 10 members differ, 0.5 KB.
const Buckets = 32

// Sums are the checksums of a view by bucket. Two views with equal sums hold the same members in
// the same states.
type Sums [Buckets]uint64

// SumsOf converts sums received from a peer, or returns an error if their number is wrong.
func SumsOf(sums []uint64) (Sums, error) {
	var s Sums
	if len(sums) != Buckets {
		return s, fmt.Errorf("fleet: view has %d sums, want %d", len(sums), Buckets)
	}
	copy(s[:], sums)
	return s, nil
}

// Total returns a checksum of the whole view.
func (s Sums) Total() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, sum := range s {
		writeUint64(&d, sum)
	}
	return d.Sum64()
}

// Sums returns the sums of the view, including the node itself. Members that are gone are left
// out: each view forgets them at a different time.
func (v *View) Sums() Sums {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sums()
}

func (v *View) sums() Sums {
	if v.cachedSums != nil {
		return *v.cachedSums
	}
	var sums Sums
	sums.add(v.self)
	for _, k := range v.members {
		sums.add(k.Member)
	}
	v.cachedSums = &sums
	return sums
}

func (s *Sums) add(m Member) {
	if m.State == StateGone {
		return
	}
	// Addition is independent of the order of members.
	s[bucketOf(m.Address)] += m.hash()
}

// Differing returns the members, also those that are gone, in the buckets in which the sums of
// another view differ.
func (v *View) Differing(other Sums) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	own := v.sums()
	if own == other {
		return nil
	}
	differs := func(a netip.AddrPort) bool {
		b := bucketOf(a)
		return own[b] != other[b]
	}
	var members []Member
	if differs(v.self.Address) {
		members = append(members, v.self)
	}
	for address, k := range v.members {
		if differs(address) {
			members = append(members, k.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return a.Address.Compare(b.Address) })
	return members
}

// NewerMembers returns the records in ownMembers that are newer than those in peerMembers, which
// are the records of another view in the same buckets.
func NewerMembers(ownMembers, peerMembers []Member) []Member {
	byAddress := make(map[netip.AddrPort]Member, len(peerMembers))
	for _, m := range peerMembers {
		byAddress[m.Address] = m
	}
	var beyond []Member
	for _, m := range ownMembers {
		old, ok := byAddress[m.Address]
		if !ok && m.State != StateGone || ok && m.supersedes(old) {
			beyond = append(beyond, m)
		}
	}
	return beyond
}

// hash covers every field that makes two views differ. The load is not one of them.
func (m Member) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	writeAddress(&d, m.Address)
	writeUint64(&d, uint64(m.Incarnation))
	writeUint64(&d, m.Beat)
	writeUint64(&d, uint64(m.State))
	return d.Sum64()
}

func bucketOf(a netip.AddrPort) int {
	var d xxhash.Digest
	d.Reset()
	writeAddress(&d, a)
	return int(d.Sum64() % Buckets)
}

func writeAddress(d *xxhash.Digest, a netip.AddrPort) {
	b := a.Addr().As16()
	_, _ = d.Write(b[:])
	writeUint64(d, uint64(a.Port()))
}

func writeUint64(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:])
}
