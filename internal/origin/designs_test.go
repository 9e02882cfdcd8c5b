// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package origin_test

import (
	"maps"
	"net/netip"
	"slices"
	"testing"

	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/internal/origin"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/request"
)

// design is a way to find out which version began a stream.
type design interface {
	// begin notes at a host that a version began a stream.
	begin(at origin.Host, stream, version string)
	// find returns the version as a host finds it out, and the number of hosts that it asks.
	find(t *testing.T, at origin.Host, stream string) (version option.Value[string], asked int)
}

// repaired is the design of Group.
type repaired struct{ *hosts }

func (d repaired) begin(at origin.Host, stream, version string) {
	d.at(at).Record(stream, version)
}

func (d repaired) find(t *testing.T, at origin.Host, stream string) (version option.Value[string], asked int) {
	t.Helper()
	before := d.asked
	version = d.at(at).Find(t.Context(), stream)
	return version, d.asked - before
}

// keptOnce sends the version to some hosts that rank best for the stream, once, and asks these and the next.
// With no copies it asks all hosts.
type keptOnce struct {
	*hosts
	copies int
	// known is what each run of a host knows.
	known map[request.Incarnation]map[string]string
}

func (d keptOnce) begin(at origin.Host, stream, version string) {
	d.keep(at.Address, stream, version)
	for _, k := range d.best(at, stream, d.copies) {
		d.count(&d.stored, 1)
		d.count(&d.sentRecords, 1)
		d.keep(k, stream, version)
	}
}

func (d keptOnce) keep(at netip.AddrPort, stream, version string) {
	r := d.alive[at]
	if r == nil {
		return
	}
	if d.known[r.host.Incarnation] == nil {
		d.known[r.host.Incarnation] = make(map[string]string)
	}
	d.known[r.host.Incarnation][stream] = version
}

// best returns the hosts that rank best for a stream, without one.
func (d keptOnce) best(except origin.Host, stream string, count int) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var others []netip.AddrPort
	for _, p := range d.peers {
		if listed, ok := d.listed[p.Address]; ok && !listed.Leaving && p.Address != except.Address {
			others = append(others, p.Address)
		}
	}
	return owner.Top(others, stream, count)
}

func (d keptOnce) find(_ *testing.T, at origin.Host, stream string) (version option.Value[string], asked int) {
	count := d.copies + 1
	if d.copies == 0 {
		count = len(d.peers)
	}
	candidates := d.best(at, stream, count)
	for i, address := range append([]netip.AddrPort{at.Address}, candidates...) {
		if r := d.alive[address]; r != nil {
			if version, ok := d.known[r.host.Incarnation][stream]; ok {
				return option.Some(version), i
			}
		}
	}
	return option.Value[string]{}, len(candidates)
}

// derived chooses the version by the id of the attempt, among those that serve.
type derived struct {
	versions *serving
	// careful makes it refuse where the choice has changed with the versions that serve.
	careful bool
}

// serving are the versions that serve, and those that did when the streams began.
type serving struct{ before, now []string }

func (d derived) begin(origin.Host, string, string) {}

func (d derived) choose(versions []string, stream string) string {
	return owner.TopNames(versions, uint64(origin.StreamOf(stream)), 1)[0]
}

func (d derived) find(_ *testing.T, _ origin.Host, stream string) (version option.Value[string], asked int) {
	chosen := d.choose(d.versions.now, stream)
	if d.careful && chosen != d.choose(d.versions.before, stream) {
		return option.Value[string]{}, 0
	}
	return option.Some(chosen), 0
}

// refused refuses all streams.
type refused struct{}

func (refused) begin(origin.Host, string, string) {}

func (refused) find(*testing.T, origin.Host, string) (version option.Value[string], asked int) {
	return option.Value[string]{}, 0
}

// designs are all ways, by name.
var designs = map[string]func(h *hosts, versions *serving) design{
	"kept by owners, repaired": func(h *hosts, _ *serving) design { return repaired{h} },
	"kept by 3 owners, once":   func(h *hosts, _ *serving) design { return newKeptOnce(h, 3) },
	"kept by 8 owners, once":   func(h *hosts, _ *serving) design { return newKeptOnce(h, 8) },
	"all asked":                func(h *hosts, _ *serving) design { return newKeptOnce(h, 0) },
	"derived":                  func(_ *hosts, v *serving) design { return derived{v, false} },
	"derived, with starts":     func(_ *hosts, v *serving) design { return derived{v, true} },
	"refused":                  func(*hosts, *serving) design { return refused{} },
}

func newKeptOnce(h *hosts, copies int) keptOnce {
	return keptOnce{hosts: h, copies: copies, known: make(map[request.Incarnation]map[string]string)}
}

func designNames() []string {
	return slices.Sorted(maps.Keys(designs))
}
