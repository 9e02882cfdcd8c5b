// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/relay"
)

const (
	// lapseGrace is how long a server whose entry is missing after an outage of the publisher
	// is kept: entries that lapsed during the outage are published again within 2 s.
	lapseGrace = 1800 * time.Millisecond
	// expirySlack is added to a wait for an expiry, so that the check comes after it.
	expirySlack = time.Millisecond
	// lapseWindow is how long after an outage a missing entry counts as lapsed, not as
	// removed.
	lapseWindow = 4 * time.Second
	// continuedTime is how long a run may count as one that the host knew under another name. It is
	// longer than servers usually serve after they have announced that they are leaving. A new run is
	// left idle for that long at most if the clocks of hosts and servers differ.
	continuedTime = 15 * time.Second
)

// publishedServer is the current value of one key.
type publishedServer struct {
	key string
	// server is nil if the key has no entry. It is shared and immutable.
	server   *relay.Server
	position published.Position
}

// serverRecord is the state of one server in use.
type serverRecord struct {
	// key is the key that named the server last.
	key string
	// published is the server as published at position. It is shared and immutable.
	published *relay.Server
	position  published.Position
	// coldUntil is the end of the server's cold phase; zero if it is not cold.
	coldUntil time.Time
	// expiresAt is when a server without an entry is dropped; zero while it has an entry.
	expiresAt time.Time
	// copied says that the entry was there when the publisher came back without its last writes,
	// and was not written since. Another run may serve there.
	copied bool
	// continues is the instance under which the same process may have been known, until
	// continuesUntil; empty if there is none.
	continues      string
	continuesUntil time.Time
	// applied is the value that was last applied, nil before the first; only refresh uses it.
	applied *relay.Server
}

// serverTable derives the servers to use from the published ones, incrementally. Servers whose
// entries lapsed during an outage of the publisher are kept for a grace period. It is safe for
// concurrent use.
type serverTable struct {
	mu sync.Mutex
	// byInstance has the servers in use.
	byInstance map[string]*serverRecord
	// byKey has the server that each key names, including lapsed ones.
	byKey map[string]*serverRecord
	// unusable has the keys whose entry names no server.
	unusable map[string]bool
	// lapsed has the servers without an entry, by instance, and newlyLapsed those that the last update
	// has not returned yet.
	lapsed      map[string]*serverRecord
	newlyLapsed []*relay.Server
	// continued has the servers that may continue an earlier instance, by instance.
	continued map[string]*serverRecord
	// dirty has the servers that the next refresh must process, by instance; removed ones are
	// no longer in byInstance.
	dirty map[string]*serverRecord
	// publisherDown is set while the publisher does not answer; recoveredAt is when it last
	// answered again.
	publisherDown bool
	recoveredAt   time.Time
}

func newServerTable() *serverTable {
	return &serverTable{
		byInstance: make(map[string]*serverRecord),
		byKey:      make(map[string]*serverRecord),
		unusable:   make(map[string]bool),
		lapsed:     make(map[string]*serverRecord),
		continued:  make(map[string]*serverRecord),
		dirty:      make(map[string]*serverRecord),
	}
}

func (m *serverTable) publisherLost(time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publisherDown = true
}

func (m *serverTable) publisherRecovered(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publisherDown = false
	m.recoveredAt = now
}

// hasExpired reports whether the grace period of a lapsed server has expired, or the time for which
// a server may continue an earlier instance.
func (m *serverTable) hasExpired(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.lapsed {
		if now.After(k.expiresAt) {
			return true
		}
	}
	for _, k := range m.continued {
		if now.After(k.continuesUntil) {
			return true
		}
	}
	return false
}

// nextExpiry returns the time until hasExpired next reports true, at most limit.
func (m *serverTable) nextExpiry(now time.Time, limit time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	soonest := limit
	for _, k := range m.lapsed {
		soonest = min(soonest, max(k.expiresAt.Sub(now), 0)+expirySlack)
	}
	for _, k := range m.continued {
		soonest = min(soonest, max(k.continuesUntil.Sub(now), 0)+expirySlack)
	}
	return soonest
}

// contains reports whether a server is in use.
func (m *serverTable) contains(instance string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byInstance[instance] != nil
}

// appliedServers returns the servers in use that have been applied, ordered by address.
func (m *serverTable) appliedServers() []*serverRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*serverRecord, 0, len(m.byInstance))
	for _, k := range m.byInstance {
		if k.applied != nil {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, byAddress)
	return all
}

// markDirty makes the next refresh process a server, and those that may continue it.
func (m *serverTable) markDirty(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.byInstance[instance]; k != nil {
		m.dirty[instance] = k
	}
	for _, k := range m.continued {
		if k.continues == instance {
			m.dirty[k.published.Instance] = k
		}
	}
}

// markAllDirty makes the next refresh process all servers.
func (m *serverTable) markAllDirty() {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.Copy(m.dirty, m.byInstance)
}

// update applies changed entries, drops the lapsed servers whose grace period has expired, and
// returns the servers to process, the removed ones, and those that have lapsed. It clears the dirty
// set, so that each change is returned once.
func (m *serverTable) update(now time.Time, changed []publishedServer, log logrus.FieldLogger) (dirty, removed []*serverRecord, lapsed []*relay.Server) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines := newBatchLog(log)
	defer lines.logSuppressed()
	for _, p := range changed {
		switch {
		case p.server == nil:
			m.entryMissing(now, p.key, lines)
		case p.server.InvalidReason != "":
			m.markUnusable(p, lines)
		case m.isEarlierRun(p):
			m.entryMissing(now, p.key, lines)
		default:
			m.upsert(now, p, lines)
		}
	}
	for _, k := range m.lapsed {
		if !now.Before(k.expiresAt) {
			m.drop(k, "backend server gone", lines)
		}
	}
	for _, k := range m.continued {
		if !now.Before(k.continuesUntil) {
			m.endContinuation(k)
		}
	}
	for instance, k := range m.dirty {
		if m.byInstance[instance] == k {
			dirty = append(dirty, k)
		} else {
			removed = append(removed, k)
		}
	}
	clear(m.dirty)
	slices.SortFunc(dirty, byAddress)
	slices.SortFunc(removed, byAddress)
	lapsed, m.newlyLapsed = m.newlyLapsed, nil
	return dirty, removed, lapsed
}

// byAddress orders servers, so that the order of changes is deterministic.
func byAddress(a, b *serverRecord) int {
	return a.published.Address.Compare(b.published.Address)
}

// isEarlierRun reports whether an entry is that of an earlier run than its key names, which a
// publisher that lost writes shows again. Within an era the later entry is right even then, since a
// server's clock may have gone back.
func (m *serverTable) isEarlierRun(p publishedServer) bool {
	known := m.byKey[p.key]
	if known == nil || known.key != p.key || p.server.StartedAt.IsZero() {
		return false
	}
	return p.position.Era > known.position.Era && p.server.StartedAt.Before(known.published.StartedAt)
}

// upsert records that a key names a server.
func (m *serverTable) upsert(now time.Time, p publishedServer, lines *batchLog) {
	delete(m.unusable, p.key)
	before := m.byKey[p.key]
	m.dropReplaced(p.key, p.server.Instance, lines)
	s := p.server
	old := m.byInstance[s.Instance]
	cold := coldUntil(now, s, old, p.position)
	if old == nil || old.published.Leaving != s.Leaving {
		lines.info("backend server listed", logrus.Fields{"server": s.Instance, "service": s.Service, "address": s.Address, "leaving": s.Leaving})
	}
	copied := before.isCopy(p)
	if old == nil {
		old = &serverRecord{}
		if dropped := m.dirty[s.Instance]; dropped != nil {
			old.applied = dropped.applied
		}
		m.byInstance[s.Instance] = old
	}
	old.key, old.published, old.position, old.coldUntil, old.expiresAt, old.copied = p.key, s, p.position, cold, time.Time{}, copied
	m.byKey[p.key] = old
	m.dirty[s.Instance] = old
	delete(m.lapsed, s.Instance)
	if m.mayContinue(now, before, p) {
		old.continues, old.continuesUntil = before.published.Instance, now.Add(continuedTime)
		m.continued[s.Instance] = old
		lines.info("backend server may be an earlier instance", logrus.Fields{"server": s.Instance, "earlier": old.continues})
	}
}

// showsEarlierRun reports whether an entry of the key of k, without a start, is from a publisher that
// lost the entry of k, which has one.
func (k *serverRecord) showsEarlierRun(p publishedServer) bool {
	return p.position.Era > k.position.Era && p.server.StartedAt.IsZero() && !k.published.StartedAt.IsZero()
}

// isCopy reports whether an entry of the key of k may have been there when the publisher came back
// without its last writes. k is nil if the key named no server before.
func (k *serverRecord) isCopy(p publishedServer) bool {
	switch {
	case k == nil:
		return false
	case p.position == k.position:
		return k.copied
	case k.published.Instance == p.server.Instance:
		return p.position.Era > k.position.Era
	default:
		return k.showsEarlierRun(p)
	}
}

// wasOutdated reports whether the publisher is unavailable or was until recently.
func (m *serverTable) wasOutdated(now time.Time) bool {
	return m.publisherDown || !m.recoveredAt.IsZero() && now.Sub(m.recoveredAt) < lapseWindow
}

// mayContinue reports whether the process at the address of k may be of the run in an entry that
// replaces that of k. While the publisher is unavailable, and after it lost writes until the server
// has written its entry again, the host knows the process under the name of an earlier run.
func (m *serverTable) mayContinue(now time.Time, k *serverRecord, p publishedServer) bool {
	if k == nil || k.published.Instance == p.server.Instance || k.published.Address != p.server.Address {
		return false
	}
	return k.copied || p.position.Era > k.position.Era || m.wasOutdated(now)
}

// endContinuation makes a server count as another run than the one that it may have continued.
func (m *serverTable) endContinuation(k *serverRecord) {
	instance := k.published.Instance
	k.continues = ""
	delete(m.continued, instance)
	m.dirty[instance] = k
}

// markUnusable records that a key no longer names a server.
func (m *serverTable) markUnusable(p publishedServer, lines *batchLog) {
	if !m.unusable[p.key] {
		m.unusable[p.key] = true
		lines.warn("an entry names no backend server", logrus.Fields{"key": p.key, "reason": p.server.InvalidReason})
	}
	m.dropReplaced(p.key, "", lines)
}

// dropReplaced drops the server that a key named before if the key now names another one or
// none: that server has ended and, unlike one whose entry is missing, does not come back.
func (m *serverTable) dropReplaced(key, instance string, lines *batchLog) {
	if before := m.byKey[key]; before != nil && before.key == key && before.published.Instance != instance {
		m.drop(before, "backend server replaced", lines)
	}
}

// entryMissing records that a key has no entry. After an outage of the publisher, the server
// is kept for a grace period in which its entry may come back.
func (m *serverTable) entryMissing(now time.Time, key string, lines *batchLog) {
	delete(m.unusable, key)
	k := m.byKey[key]
	switch {
	case k == nil:
		return
	case k.key != key:
		// Another key names the server by now.
		delete(m.byKey, key)
		return
	case !k.expiresAt.IsZero():
		return
	}
	if !m.wasOutdated(now) || k.published.Leaving {
		m.drop(k, "backend server gone", lines)
		return
	}
	k.expiresAt = now.Add(lapseGrace)
	m.lapsed[k.published.Instance] = k
	m.newlyLapsed = append(m.newlyLapsed, k.published)
	lines.info("backend server lapsed", logrus.Fields{"server": k.published.Instance, "service": k.published.Service, "kept_ms": lapseGrace.Milliseconds()})
}

// drop removes a server from the table.
func (m *serverTable) drop(k *serverRecord, message string, lines *batchLog) {
	instance := k.published.Instance
	delete(m.byInstance, instance)
	delete(m.lapsed, instance)
	delete(m.continued, instance)
	if m.byKey[k.key] == k {
		delete(m.byKey, k.key)
	}
	m.dirty[instance] = k
	lines.info(message, logrus.Fields{"server": instance, "service": k.published.Service})
}

// coldUntil returns the end of a server's cold phase as of the position of its entry. The
// published remaining time counts from when the node receives the entry, which is later than
// when it was written, so that no server counts as warm too early.
func coldUntil(now time.Time, s *relay.Server, old *serverRecord, position published.Position) time.Time {
	if s.ColdLeft == 0 {
		return time.Time{}
	}
	if old != nil && old.position == position {
		return old.coldUntil
	}
	return now.Add(s.ColdLeft)
}
