// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/reach"
	"github.com/wingvale/wingvale/internal/relay"
)

// ServerTable lets tests drive the table of backend servers.
type ServerTable struct {
	m *serverTable
	// keys are the keys of the last listing.
	keys map[string]bool
}

// NewServerTable returns an empty table.
func NewServerTable() ServerTable {
	return ServerTable{m: newServerTable(), keys: make(map[string]bool)}
}

// PublisherLost marks the start of an outage of the publisher.
func (m ServerTable) PublisherLost(now time.Time) { m.m.publisherLost(now) }

// PublisherRecovered marks the end of the outage.
func (m ServerTable) PublisherRecovered(now time.Time) { m.m.publisherRecovered(now) }

// HasExpired reports whether the grace period of a lapsed server has expired.
func (m ServerTable) HasExpired(now time.Time) bool { return m.m.hasExpired(now) }

// NextExpiry returns the time until the next lapsed server expires, at most limit.
func (m ServerTable) NextExpiry(now time.Time, limit time.Duration) time.Duration {
	return m.m.nextExpiry(now, limit)
}

// Merge applies a complete listing and returns the names of the servers in use.
func (m ServerTable) Merge(now time.Time, listed map[string]relay.Server, log logrus.FieldLogger) []string {
	return m.MergeAt(now, published.Position{Revision: 1}, listed, log)
}

// MergeAt is like Merge for a listing whose entries have a position.
func (m ServerTable) MergeAt(now time.Time, position published.Position, listed map[string]relay.Server, log logrus.FieldLogger) []string {
	m.upsert(now, listed, position, log)
	var names []string
	for _, k := range slices.SortedFunc(maps.Values(m.m.byInstance), byAddress) {
		names = append(names, k.published.Instance)
	}
	return names
}

func (m ServerTable) upsert(now time.Time, listed map[string]relay.Server, position published.Position, log logrus.FieldLogger) (lapsed []*relay.Server) {
	var changed []publishedServer
	for key := range m.keys {
		if _, ok := listed[key]; !ok {
			changed = append(changed, publishedServer{key: key})
		}
	}
	clear(m.keys)
	for key, s := range listed {
		m.keys[key] = true
		changed = append(changed, publishedServer{key: key, server: &s, position: position})
	}
	_, _, lapsed = m.m.update(now, changed, log)
	return lapsed
}

// Lapsed applies a complete listing and returns the names of the servers that have lapsed with it.
func (m ServerTable) Lapsed(now time.Time, listed map[string]relay.Server, log logrus.FieldLogger) []string {
	var names []string
	for _, s := range m.upsert(now, listed, published.Position{Revision: 1}, log) {
		names = append(names, s.Instance)
	}
	return names
}

// ColdUntil returns the end of a server's cold phase after a merge.
func (m ServerTable) ColdUntil(now time.Time, s relay.Server, revision uint64, log logrus.FieldLogger) time.Time {
	m.upsert(now, map[string]relay.Server{s.Instance: s}, published.Position{Revision: revision}, log)
	return m.m.byInstance[s.Instance].coldUntil
}

// CountClient returns a transport that counts the bytes sent to and received from peers.
func CountClient(s tally.Scope, next http.RoundTripper) http.RoundTripper {
	return traffic{scope: s}.client(next)
}

// CountHandler returns a handler that counts the bytes received from and sent to peers.
func CountHandler(s tally.Scope, next http.Handler) http.Handler {
	return traffic{scope: s}.handler(next)
}

// Offer offers published configuration entries and applies them.
func (n *Node) Offer(entries ...published.Entry) {
	n.directives.Offer(entries...)
	n.refresh()
}

// OfferServers offers published backend server entries and applies them.
func (n *Node) OfferServers(entries ...published.Entry) {
	n.listed.Offer(entries...)
	n.refresh()
}

// RecordLeaving records that a peer reported a backend server as leaving.
func (n *Node) RecordLeaving(s fleet.LeavingServer) { n.peerReportedLeaving(s) }

// NewSharedCheck returns a function that shares the results of check among its callers. Its checks
// end with ctx.
func NewSharedCheck(ctx context.Context, clock func() time.Duration, check func(ctx context.Context) bool) func(ctx context.Context) bool {
	return (&sharedCheck{check: check, ctx: ctx, clock: clock}).result
}

// ReportIsolated makes the node report whether it is isolated.
func (n *Node) ReportIsolated(isolated bool) { n.view.SetIsolated(isolated) }

// MergeMembers merges records of other hosts.
func (n *Node) MergeMembers(members ...fleet.Member) { n.view.Merge(time.Now(), members...) }

// Owners returns the hosts that may own pools.
func (n *Node) Owners() *owner.Hosts { return n.live() }

// BecomeReady makes the node ready.
func (n *Node) BecomeReady() { n.ready.Store(true) }

// RecordAnswer records an answer of a backend server, which is added first.
func (n *Node) RecordAnswer(server netip.AddrPort) {
	n.links.detector.Put(reach.Server{Address: server, Service: "s", Zone: "a"})
	linkObserver{n.links.detector}.Answered(server)
}

// FreshCheck is a freshCheck.
type FreshCheck[T comparable] struct{ c *freshCheck[T] }

// NewFreshCheck returns a FreshCheck.
func NewFreshCheck[T comparable](ctx context.Context, check func(ctx context.Context) T) FreshCheck[T] {
	return FreshCheck[T]{newFreshCheck(ctx, check)}
}

// Result returns the result of a run that began at since or later.
func (f FreshCheck[T]) Result(ctx context.Context, since time.Time) T { return f.c.result(ctx, since) }
