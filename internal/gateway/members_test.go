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

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func TestARemovedServerIsGoneAtOnce(t *testing.T) {
	m := gateway.NewMembers()
	assert.Equal(t, len(m.Merge(start, listed("a", "b"), quiet())), 2)
	assert.DeepEqual(t, m.Merge(start, listed("a"), quiet()), []string{"a"})
}

func TestWhatLapsedInAnOutageIsKeptForAWhile(t *testing.T) {
	m := gateway.NewMembers()
	m.Merge(start, listed("a", "b", "c"), quiet())
	m.Lost(start)
	back := start.Add(5 * time.Second)
	m.Regained(back)
	assert.Equal(t, len(m.Merge(back, listed("a"), quiet())), 3, "b and c lapsed")
	now := back.Add(time.Second)
	assert.Assert(t, !m.Due(now))
	assert.Equal(t, len(m.Merge(now, listed("a", "b"), quiet())), 3, "b is back")
	now = back.Add(1900 * time.Millisecond)
	assert.Assert(t, m.Due(now))
	assert.DeepEqual(t, m.Merge(now, listed("a", "b"), quiet()), []string{"a", "b"})
	assert.DeepEqual(t, m.Merge(back.Add(10*time.Second), listed("a"), quiet()), []string{"a"})
}

// Servers that had lapsed were looked at every 200 ms only, and got a request 2.03 s
// after they had said that they leave, of 2 s allowed.
func TestALapsedServerIsLetGoWhenItIsDue(t *testing.T) {
	const most = 200 * time.Millisecond
	m := gateway.NewMembers()
	m.Merge(start, listed("a"), quiet())
	assert.Equal(t, m.DueIn(start, most), most, "none has lapsed")
	m.Lost(start)
	m.Regained(start)
	m.Merge(start, nil, quiet())
	now := start.Add(1700 * time.Millisecond)
	assert.Assert(t, !m.Due(now))
	now = now.Add(m.DueIn(now, most))
	assert.Assert(t, now.Sub(start) <= 1810*time.Millisecond, "looked at after %v", now.Sub(start))
	assert.Assert(t, m.Due(now))
}

func TestALeavingServerThatLapsesIsGone(t *testing.T) {
	m := gateway.NewMembers()
	servers := listed("a")
	s := servers["servers/a"]
	s.Leaving = true
	servers["servers/a"] = s
	m.Merge(start, servers, quiet())
	m.Lost(start)
	m.Regained(start)
	assert.Equal(t, len(m.Merge(start, nil, quiet())), 0)
}

// What a server says of being cold counts from when its entry was heard of, once for
// each time that it says so.
func TestAServerIsColdFromWhenItSaysSo(t *testing.T) {
	m := gateway.NewMembers()
	s := relay.Server{Instance: "a", ColdLeft: 3 * time.Second}
	assert.Equal(t, m.ColdUntil(start, s, 1, quiet()), start.Add(3*time.Second))
	assert.Equal(t, m.ColdUntil(start.Add(time.Second), s, 1, quiet()), start.Add(3*time.Second), "the same entry")
	assert.Equal(t, m.ColdUntil(start.Add(5*time.Second), s, 2, quiet()), start.Add(8*time.Second), "it turned cold again")
	s.ColdLeft = 0
	assert.Equal(t, m.ColdUntil(start.Add(6*time.Second), s, 3, quiet()), time.Time{})
}

// A server that started again under its id, or whose entry another writer spoilt, was
// kept for 1.8 s after an outage, beside the one that had taken its place.
func TestAReplacedServerIsGoneAtOnceAfterAnOutageToo(t *testing.T) {
	for name, now := range map[string]relay.Server{
		"it started again":        {Instance: "a@2", Address: netip.MustParseAddrPort("10.0.0.0:1")},
		"its entry can't be read": {Unusable: "no JSON"},
	} {
		t.Run(name, func(t *testing.T) {
			m := gateway.NewMembers()
			m.Merge(start, listed("a", "b"), quiet())
			m.Lost(start)
			m.Regained(start)
			assert.Equal(t, len(m.Merge(start, listed("b"), quiet())), 2, "a lapsed")
			servers := listed("b")
			servers["servers/a"] = now
			want := []string{"b"}
			if now.Instance != "" {
				want = []string{now.Instance, "b"}
			}
			got := m.Merge(start.Add(time.Second), servers, quiet())
			slices.Sort(got)
			assert.DeepEqual(t, got, want)
		})
	}
}

// Entries that name no server leave the others as they are.
func TestEntriesThatNameNoServerLeaveTheOthers(t *testing.T) {
	m := gateway.NewMembers()
	servers := listed("a", "b")
	servers["servers/x"] = relay.Server{Unusable: "an unknown state"}
	assert.Equal(t, len(m.Merge(start, servers, quiet())), 2)
	assert.Equal(t, len(m.Merge(start, servers, quiet())), 2)
}

// A line for each of 6,000 servers, at each of 585 hosts, made every start of the fleet
// slower, and its log longer than all that follows.
func TestManyServersAtOnceMakeFewLines(t *testing.T) {
	log, hook := test.NewNullLogger()
	names := make([]string, 0, 6000)
	for i := range 6000 {
		names = append(names, fmt.Sprint("server-", i))
	}
	m := gateway.NewMembers()
	assert.Equal(t, len(m.Merge(start, listed(names...), log)), 6000)
	assert.Assert(t, len(hook.Entries) < 100, "%d lines", len(hook.Entries))
	last := hook.LastEntry()
	assert.Equal(t, last.Data["backend_server_listed"], 6000-(len(hook.Entries)-1))
	hook.Reset()
	m.Merge(start, listed(names[1:]...), log)
	assert.Equal(t, hook.LastEntry().Message, "backend server gone", "a single change has its line")
}
