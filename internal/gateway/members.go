// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/relay"
)

const (
	// lapsedFor is how long a server whose entry is missing after an outage of
	// the publisher is kept: entries that lapsed meanwhile are back within 2 s.
	lapsedFor = 1800 * time.Millisecond
	// dueSlack makes a look that waits for a moment come after it.
	dueSlack = time.Millisecond
	// outageTail is how long after an outage a removal counts as a lapse.
	outageTail = 4 * time.Second
)

// members turns the published backend servers into those to use: entries that
// lapsed because the publisher was away are kept for a while.
type members struct {
	mu sync.Mutex
	// used are the servers given out last, by instance.
	used map[string]relay.Server
	// told has the revision of each server's entry in used.
	told map[string]uint64
	// listedAs has the instance that each key named last.
	listedAs map[string]string
	// lapsed has until when servers without an entry are kept.
	lapsed map[string]time.Time
	// away says that the publisher does not answer; backAt is when it last came
	// back.
	away   bool
	backAt time.Time
}

func newMembers() *members {
	return &members{
		used: make(map[string]relay.Server), told: make(map[string]uint64),
		listedAs: make(map[string]string), lapsed: make(map[string]time.Time),
	}
}

func (m *members) lost(time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = true
}

func (m *members) regained(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = false
	m.backAt = now
}

// due reports whether a lapsed server is to be let go.
func (m *members) due(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, until := range m.lapsed {
		if now.After(until) {
			return true
		}
	}
	return false
}

// dueIn is how long it is until the next lapsed server is to be let go, at most most.
func (m *members) dueIn(now time.Time, most time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	soonest := most
	for _, until := range m.lapsed {
		soonest = min(soonest, max(until.Sub(now), 0)+dueSlack)
	}
	return soonest
}

// merge returns the servers to use. Listed has them by key, of which revision
// returns when it changed last.
func (m *members) merge(now time.Time, listed map[string]relay.Server, revision func(key string) uint64, log logrus.FieldLogger) []relay.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := make(map[string]relay.Server, len(listed))
	told := make(map[string]uint64, len(listed))
	replaced := m.replaced(listed, log)
	for key, s := range listed {
		if s.Unusable != "" {
			continue
		}
		told[s.Instance] = revision(key)
		s.ColdUntil = m.coldUntil(now, s, told[s.Instance])
		used[s.Instance] = s
		delete(m.lapsed, s.Instance)
		if old, ok := m.used[s.Instance]; !ok || old.Leaving != s.Leaving {
			log.WithFields(logrus.Fields{"server": s.Instance, "service": s.Service, "address": s.Address, "leaving": s.Leaving}).Info("backend server listed")
		}
	}
	for instance, s := range m.used {
		if _, ok := used[instance]; ok {
			continue
		}
		if replaced[instance] {
			delete(m.lapsed, instance)
			log.WithFields(logrus.Fields{"server": instance, "service": s.Service}).Info("backend server replaced")
			continue
		}
		until, waiting := m.lapsed[instance]
		recent := m.away || !m.backAt.IsZero() && now.Sub(m.backAt) < outageTail
		switch {
		case waiting && now.Before(until):
			used[instance] = s
		case !waiting && recent && !s.Leaving:
			m.lapsed[instance] = now.Add(lapsedFor)
			used[instance] = s
			log.WithFields(logrus.Fields{"server": instance, "service": s.Service, "kept_ms": lapsedFor.Milliseconds()}).Info("backend server lapsed")
		default:
			delete(m.lapsed, instance)
			log.WithFields(logrus.Fields{"server": instance, "service": s.Service}).Info("backend server gone")
		}
	}
	m.used, m.told = used, told
	list := make([]relay.Server, 0, len(used))
	for _, s := range used {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b relay.Server) int { return a.Address.Compare(b.Address) })
	return list
}

// replaced returns the instances whose keys name others now, or none: they have ended,
// and unlike one whose entry is missing they don't come back.
func (m *members) replaced(listed map[string]relay.Server, log logrus.FieldLogger) map[string]bool {
	replaced := make(map[string]bool)
	for key, instance := range m.listedAs {
		if now, ok := listed[key]; ok && now.Instance != instance {
			replaced[instance] = true
		}
	}
	names := make(map[string]string, len(listed))
	for key, s := range listed {
		names[key] = s.Instance
		if before, ok := m.listedAs[key]; s.Unusable != "" && (!ok || before != "") {
			log.WithFields(logrus.Fields{"key": key, "reason": s.Unusable}).Warn("an entry names no backend server")
		}
	}
	for key, instance := range m.listedAs {
		// A key that is missing may come back for the same run of its server.
		_, listed := names[key]
		if _, used := m.used[instance]; used && !listed {
			names[key] = instance
		}
	}
	m.listedAs = names
	return replaced
}

// coldUntil is until when a server counts as cold whose entry changed last at a
// revision: what it says counts from when the node hears of it, which is later than
// when it was written, so that no server is taken for warm too soon.
func (m *members) coldUntil(now time.Time, s relay.Server, revision uint64) time.Time {
	if s.ColdLeft == 0 {
		return time.Time{}
	}
	if old, ok := m.used[s.Instance]; ok && m.told[s.Instance] == revision {
		return old.ColdUntil
	}
	return now.Add(s.ColdLeft)
}
