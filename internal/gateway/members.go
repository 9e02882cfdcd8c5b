// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
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

// publishedServer is what is published under one key now.
type publishedServer struct {
	key string
	// server is nil where the key has no entry. It is shared and never changes.
	server   *relay.Server
	revision uint64
}

// member is one server to use.
type member struct {
	// key named it last.
	key string
	// listed is as it was published at a revision. It is shared and never changes.
	listed   *relay.Server
	revision uint64
	// coldUntil is until when it counts as cold; zero is not.
	coldUntil time.Time
	// until is how long it is kept without an entry; zero while it has one.
	until time.Time
	// used is what was handed on of it last, nil before; only the refresh touches it.
	used *relay.Server
}

// members turns the published backend servers into those to use, a change at a time:
// entries that lapsed because the publisher was away are kept for a while. It is safe for
// concurrent use.
type members struct {
	mu sync.Mutex
	// used are the servers to use, by instance.
	used map[string]*member
	// byKey has the server that each key names, lapsed ones included.
	byKey map[string]*member
	// unusable are the keys that name no server.
	unusable map[string]bool
	// lapsed are the members without an entry.
	lapsed map[string]*member
	// touched are the members that the next refresh is to look at, by instance; those
	// that are gone are not in used any more.
	touched map[string]*member
	// away says that the publisher does not answer; backAt is when it last came
	// back.
	away   bool
	backAt time.Time
}

func newMembers() *members {
	return &members{
		used:     make(map[string]*member),
		byKey:    make(map[string]*member),
		unusable: make(map[string]bool),
		lapsed:   make(map[string]*member),
		touched:  make(map[string]*member),
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
	for _, k := range m.lapsed {
		if now.After(k.until) {
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
	for _, k := range m.lapsed {
		soonest = min(soonest, max(k.until.Sub(now), 0)+dueSlack)
	}
	return soonest
}

// lists reports whether a server is used.
func (m *members) lists(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used[instance] != nil
}

// all returns all servers to use that were handed on, by address.
func (m *members) all() []*member {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*member, 0, len(m.used))
	for _, k := range m.used {
		if k.used != nil {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, byAddress)
	return all
}

// touch makes the next refresh look at a server.
func (m *members) touch(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.used[instance]; k != nil {
		m.touched[instance] = k
	}
}

// touchAll makes the next refresh look at all servers.
func (m *members) touchAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.Copy(m.touched, m.used)
}

// take takes in what changed, lets go of what has lapsed for long, and returns the
// servers that are to be looked at, and of them those that are gone. It forgets them:
// each is returned once.
func (m *members) take(now time.Time, changed []publishedServer, log logrus.FieldLogger) (touched, gone []*member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines := newBatchLog(log)
	defer lines.end()
	for _, p := range changed {
		switch {
		case p.server == nil:
			m.missing(now, p.key, lines)
		case p.server.Unusable != "":
			m.noServer(p, lines)
		default:
			m.list(now, p, lines)
		}
	}
	for _, k := range m.lapsed {
		if !now.Before(k.until) {
			m.drop(k, "backend server gone", lines)
		}
	}
	for instance, k := range m.touched {
		if m.used[instance] == k {
			touched = append(touched, k)
		} else {
			gone = append(gone, k)
		}
	}
	clear(m.touched)
	slices.SortFunc(touched, byAddress)
	slices.SortFunc(gone, byAddress)
	return touched, gone
}

// byAddress orders members, so that what is handed on doesn't depend on chance.
func byAddress(a, b *member) int {
	return a.listed.Address.Compare(b.listed.Address)
}

// list takes in that a key names a server.
func (m *members) list(now time.Time, p publishedServer, lines *batchLog) {
	delete(m.unusable, p.key)
	m.replace(p.key, p.server.Instance, lines)
	s := p.server
	old := m.used[s.Instance]
	cold := coldUntil(now, s, old, p.revision)
	if old == nil || old.listed.Leaving != s.Leaving {
		lines.info("backend server listed", logrus.Fields{"server": s.Instance, "service": s.Service, "address": s.Address, "leaving": s.Leaving})
	}
	if old == nil {
		old = &member{}
		if dropped := m.touched[s.Instance]; dropped != nil {
			old.used = dropped.used
		}
		m.used[s.Instance] = old
	}
	old.key, old.listed, old.revision, old.coldUntil, old.until = p.key, s, p.revision, cold, time.Time{}
	m.byKey[p.key] = old
	m.touched[s.Instance] = old
	delete(m.lapsed, s.Instance)
}

// noServer takes in that a key names no server any more.
func (m *members) noServer(p publishedServer, lines *batchLog) {
	if !m.unusable[p.key] {
		m.unusable[p.key] = true
		lines.warn("an entry names no backend server", logrus.Fields{"key": p.key, "reason": p.server.Unusable})
	}
	m.replace(p.key, "", lines)
}

// replace drops the server that a key named if it names another now, or none: it has
// ended, and unlike one whose entry is missing it doesn't come back.
func (m *members) replace(key, instance string, lines *batchLog) {
	if before := m.byKey[key]; before != nil && before.key == key && before.listed.Instance != instance {
		m.drop(before, "backend server replaced", lines)
	}
}

// missing takes in that a key has no entry. Its server may come back for a while after an
// outage of the publisher.
func (m *members) missing(now time.Time, key string, lines *batchLog) {
	delete(m.unusable, key)
	k := m.byKey[key]
	switch {
	case k == nil:
		return
	case k.key != key:
		// Another key names the server by now.
		delete(m.byKey, key)
		return
	case !k.until.IsZero():
		return
	}
	recent := m.away || !m.backAt.IsZero() && now.Sub(m.backAt) < outageTail
	if !recent || k.listed.Leaving {
		m.drop(k, "backend server gone", lines)
		return
	}
	k.until = now.Add(lapsedFor)
	m.lapsed[k.listed.Instance] = k
	lines.info("backend server lapsed", logrus.Fields{"server": k.listed.Instance, "service": k.listed.Service, "kept_ms": lapsedFor.Milliseconds()})
}

// drop lets go of a server.
func (m *members) drop(k *member, why string, lines *batchLog) {
	instance := k.listed.Instance
	delete(m.used, instance)
	delete(m.lapsed, instance)
	if m.byKey[k.key] == k {
		delete(m.byKey, k.key)
	}
	m.touched[instance] = k
	lines.info(why, logrus.Fields{"server": instance, "service": k.listed.Service})
}

// coldUntil is until when a server counts as cold whose entry changed last at a
// revision: what it says counts from when the node hears of it, which is later than
// when it was written, so that no server is taken for warm too soon.
func coldUntil(now time.Time, s *relay.Server, old *member, revision uint64) time.Time {
	if s.ColdLeft == 0 {
		return time.Time{}
	}
	if old != nil && old.revision == revision {
		return old.coldUntil
	}
	return now.Add(s.ColdLeft)
}
