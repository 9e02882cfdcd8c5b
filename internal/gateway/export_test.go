// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/relay"
)

// Members lets tests drive the list of backend servers.
type Members struct {
	m *members
	// keys are those that were listed last.
	keys map[string]bool
}

// NewMembers returns an empty list.
func NewMembers() Members { return Members{m: newMembers(), keys: make(map[string]bool)} }

// Lost and Regained note an outage of the publisher.
func (m Members) Lost(now time.Time) { m.m.lost(now) }

// Regained notes its end.
func (m Members) Regained(now time.Time) { m.m.regained(now) }

// Due reports whether a server is to be let go.
func (m Members) Due(now time.Time) bool { return m.m.due(now) }

// DueIn is how long it is until the next server is to be let go.
func (m Members) DueIn(now time.Time, most time.Duration) time.Duration { return m.m.dueIn(now, most) }

// Merge takes in all that is listed, and returns the names of the servers to use.
func (m Members) Merge(now time.Time, listed map[string]relay.Server, log logrus.FieldLogger) []string {
	m.list(now, listed, 1, log)
	var names []string
	for _, k := range slices.SortedFunc(maps.Values(m.m.used), byAddress) {
		names = append(names, k.listed.Instance)
	}
	return names
}

func (m Members) list(now time.Time, listed map[string]relay.Server, revision uint64, log logrus.FieldLogger) {
	var changed []publishedServer
	for key := range m.keys {
		if _, ok := listed[key]; !ok {
			changed = append(changed, publishedServer{key: key})
		}
	}
	clear(m.keys)
	for key, s := range listed {
		m.keys[key] = true
		changed = append(changed, publishedServer{key: key, server: &s, revision: revision})
	}
	m.m.take(now, changed, log)
}

// ColdUntil returns until when a server counts as cold after a merge.
func (m Members) ColdUntil(now time.Time, s relay.Server, revision uint64, log logrus.FieldLogger) time.Time {
	m.list(now, map[string]relay.Server{s.Instance: s}, revision, log)
	return m.m.used[s.Instance].coldUntil
}

// CountClient and CountHandler count what goes between nodes.
func CountClient(s tally.Scope, next http.RoundTripper) http.RoundTripper {
	return traffic{scope: s}.client(next)
}

// CountHandler is the other end's.
func CountHandler(s tally.Scope, next http.Handler) http.Handler {
	return traffic{scope: s}.handler(next)
}

// Offer and OfferServers take in what is published and bring it into force.
func (n *Node) Offer(entries ...published.Entry) {
	n.directives.Offer(entries...)
	n.refresh()
}

// OfferServers is Offer for backend servers.
func (n *Node) OfferServers(entries ...published.Entry) {
	n.listed.Offer(entries...)
	n.refresh()
}
