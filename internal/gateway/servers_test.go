// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway_test

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/gateway"
	"github.com/wingvale/wingvale/internal/published"
	"github.com/wingvale/wingvale/internal/relay"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listed(names ...string) map[string]relay.Server {
	servers := make(map[string]relay.Server)
	for i, name := range names {
		servers["servers/"+name] = relay.Server{Instance: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)}
	}
	return servers
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func TestRemovedServerIsDroppedAtOnce(t *testing.T) {
	m := gateway.NewServerTable()
	assert.Equal(t, len(m.Merge(start, listed("a", "b"), discardLog())), 2)
	assert.DeepEqual(t, m.Merge(start, listed("a"), discardLog()), []string{"a"})
}

func TestServersLapsedInOutageAreKeptForGracePeriod(t *testing.T) {
	m := gateway.NewServerTable()
	m.Merge(start, listed("a", "b", "c"), discardLog())
	m.PublisherLost(start)
	back := start.Add(5 * time.Second)
	m.PublisherRecovered(back)
	assert.Equal(t, len(m.Merge(back, listed("a"), discardLog())), 3, "b and c lapsed")
	now := back.Add(time.Second)
	assert.Assert(t, !m.HasExpired(now))
	assert.Equal(t, len(m.Merge(now, listed("a", "b"), discardLog())), 3, "b is back")
	now = back.Add(1900 * time.Millisecond)
	assert.Assert(t, m.HasExpired(now))
	assert.DeepEqual(t, m.Merge(now, listed("a", "b"), discardLog()), []string{"a", "b"})
	assert.DeepEqual(t, m.Merge(back.Add(10*time.Second), listed("a"), discardLog()), []string{"a"})
}

// Nothing looked at servers whose entries had lapsed before they were dropped.
func TestLapsedServersAreNotReported(t *testing.T) {
	m := gateway.NewServerTable()
	m.Merge(start, listed("a", "b"), discardLog())
	m.PublisherLost(start)
	m.PublisherRecovered(start)
	assert.DeepEqual(t, m.Lapsed(start, listed("a"), discardLog()), []string{"b"})
	assert.Equal(t, len(m.Lapsed(start.Add(time.Second), listed("a"), discardLog())), 0, "reported once")
	assert.Equal(t, len(m.Lapsed(start.Add(2*time.Second), listed("a", "b"), discardLog())), 0, "listed again, or dropped")
}

// Lapsed servers were only checked every 200 ms, and one got a request 2.03 s after it had
// announced that it was leaving, with a limit of 2 s.
func TestLapsedServerIsDroppedWhenItExpires(t *testing.T) {
	const limit = 200 * time.Millisecond
	m := gateway.NewServerTable()
	m.Merge(start, listed("a"), discardLog())
	assert.Equal(t, m.NextExpiry(start, limit), limit, "none has lapsed")
	m.PublisherLost(start)
	m.PublisherRecovered(start)
	m.Merge(start, nil, discardLog())
	now := start.Add(1700 * time.Millisecond)
	assert.Assert(t, !m.HasExpired(now))
	now = now.Add(m.NextExpiry(now, limit))
	assert.Assert(t, now.Sub(start) <= 1810*time.Millisecond, "looked at after %v", now.Sub(start))
	assert.Assert(t, m.HasExpired(now))
}

// A publisher that lost writes shows the entries of earlier runs again.
func TestEntryOfEarlierRunDoesNotReplaceLaterRunAfterLoss(t *testing.T) {
	run := func(second int) relay.Server {
		return relay.Server{
			Instance: fmt.Sprint("a@", second), StartedAt: time.Unix(int64(second), 0), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(second)}), 1),
		}
	}
	first, second, third := run(1), run(2), run(3)
	m := gateway.NewServerTable()
	m.MergeAt(start, published.Position{Era: 1, Revision: 9}, map[string]relay.Server{"servers/a": second}, discardLog())
	m.PublisherRecovered(start)
	now := start.Add(time.Second)
	names := m.MergeAt(now, published.Position{Era: 2, Revision: 5}, map[string]relay.Server{"servers/a": first}, discardLog())
	assert.DeepEqual(t, names, []string{"a@2"})
	names = m.MergeAt(now, published.Position{Era: 2, Revision: 6}, map[string]relay.Server{"servers/a": second}, discardLog())
	assert.DeepEqual(t, names, []string{"a@2"})
	assert.Assert(t, !m.HasExpired(now.Add(time.Minute)), "its entry is back")
	names = m.MergeAt(now, published.Position{Era: 2, Revision: 7}, map[string]relay.Server{"servers/a": first}, discardLog())
	assert.Assert(t, slices.Equal(names, []string{"a@1"}), "clocks may go back within an era: %v", names)
	m.MergeAt(now, published.Position{Era: 2, Revision: 8}, map[string]relay.Server{"servers/a": third}, discardLog())
	m.MergeAt(now, published.Position{Era: 3, Revision: 4}, map[string]relay.Server{"servers/a": first}, discardLog())
	late := now.Add(3 * time.Second)
	names = m.MergeAt(late, published.Position{Era: 3, Revision: 4}, nil, discardLog())
	assert.Equal(t, len(names), 0, "it did not register again")
}

func TestLapsedLeavingServerIsDroppedAtOnce(t *testing.T) {
	m := gateway.NewServerTable()
	servers := listed("a")
	s := servers["servers/a"]
	s.Leaving = true
	servers["servers/a"] = s
	m.Merge(start, servers, discardLog())
	m.PublisherLost(start)
	m.PublisherRecovered(start)
	assert.Equal(t, len(m.Merge(start, nil, discardLog())), 0)
}

// The cold phase that a server announces starts when its entry is received, once for each
// revision of the entry.
func TestColdPhaseStartsWhenEntryIsReceived(t *testing.T) {
	m := gateway.NewServerTable()
	s := relay.Server{Instance: "a", ColdLeft: 3 * time.Second}
	assert.Equal(t, m.ColdUntil(start, s, 1, discardLog()), start.Add(3*time.Second))
	assert.Equal(t, m.ColdUntil(start.Add(time.Second), s, 1, discardLog()), start.Add(3*time.Second), "the same entry")
	assert.Equal(t, m.ColdUntil(start.Add(5*time.Second), s, 2, discardLog()), start.Add(8*time.Second), "it became cold again")
	s.ColdLeft = 0
	assert.Equal(t, m.ColdUntil(start.Add(6*time.Second), s, 3, discardLog()), time.Time{})
}

// A server that restarted under its id, or whose entry was corrupted by another writer, was
// kept for 1.8 s after an outage in addition to its replacement.
func TestReplacedServerIsDroppedAtOnceAfterOutage(t *testing.T) {
	for name, now := range map[string]relay.Server{
		"it started again":        {Instance: "a@2", Address: netip.MustParseAddrPort("10.0.0.0:1")},
		"its entry can't be read": {InvalidReason: "no JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			m := gateway.NewServerTable()
			m.Merge(start, listed("a", "b"), discardLog())
			m.PublisherLost(start)
			m.PublisherRecovered(start)
			assert.Equal(t, len(m.Merge(start, listed("b"), discardLog())), 2, "a lapsed")
			servers := listed("b")
			servers["servers/a"] = now
			want := []string{"b"}
			if now.Instance != "" {
				want = []string{now.Instance, "b"}
			}
			got := m.Merge(start.Add(time.Second), servers, discardLog())
			slices.Sort(got)
			assert.DeepEqual(t, got, want)
		})
	}
}

// Unusable entries must not affect the other servers.
func TestUnusableEntriesDoNotAffectOtherServers(t *testing.T) {
	m := gateway.NewServerTable()
	servers := listed("a", "b")
	servers["servers/x"] = relay.Server{InvalidReason: "an unknown state"}
	assert.Equal(t, len(m.Merge(start, servers, discardLog())), 2)
	assert.Equal(t, len(m.Merge(start, servers, discardLog())), 2)
}

// A log line for each of 6,000 servers on each of 585 hosts slowed down every start of the
// fleet and dominated its log.
func TestLargeBatchLogsFewLines(t *testing.T) {
	log, hook := test.NewNullLogger()
	names := make([]string, 0, 6000)
	for i := range 6000 {
		names = append(names, fmt.Sprint("server-", i))
	}
	m := gateway.NewServerTable()
	assert.Equal(t, len(m.Merge(start, listed(names...), log)), 6000)
	assert.Assert(t, len(hook.Entries) < 100, "%d lines", len(hook.Entries))
	last := hook.LastEntry()
	assert.Equal(t, last.Data["backend_server_listed"], 6000-(len(hook.Entries)-1))
	hook.Reset()
	m.Merge(start, listed(names[1:]...), log)
	assert.Equal(t, hook.LastEntry().Message, "backend server gone", "a single change is logged individually")
}
