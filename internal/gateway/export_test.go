// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/relay"
)

// Members lets tests drive the list of backend servers.
type Members struct{ m *members }

// NewMembers returns an empty list.
func NewMembers() Members { return Members{m: newMembers()} }

// Lost and Regained note an outage of the publisher.
func (m Members) Lost(now time.Time) { m.m.lost(now) }

// Regained notes its end.
func (m Members) Regained(now time.Time) { m.m.regained(now) }

// Due reports whether a server is to be let go.
func (m Members) Due(now time.Time) bool { return m.m.due(now) }

// DueIn is how long it is until the next server is to be let go.
func (m Members) DueIn(now time.Time, most time.Duration) time.Duration { return m.m.dueIn(now, most) }

// Merge returns the names of the servers to use.
func (m Members) Merge(now time.Time, listed map[string]relay.Server, log logrus.FieldLogger) []string {
	var names []string
	revision := func(string) uint64 { return 1 }
	for _, s := range m.m.merge(now, listed, revision, log) {
		names = append(names, s.Instance)
	}
	return names
}

// ColdUntil returns until when a server counts as cold after a merge.
func (m Members) ColdUntil(now time.Time, s relay.Server, revision uint64, log logrus.FieldLogger) time.Time {
	listed := map[string]relay.Server{s.Instance: s}
	return m.m.merge(now, listed, func(string) uint64 { return revision }, log)[0].ColdUntil
}

// CountClient and CountHandler count what goes between nodes.
func CountClient(s tally.Scope, next http.RoundTripper) http.RoundTripper {
	return traffic{scope: s}.client(next)
}

// CountHandler is the other end's.
func CountHandler(s tally.Scope, next http.Handler) http.Handler {
	return traffic{scope: s}.handler(next)
}
