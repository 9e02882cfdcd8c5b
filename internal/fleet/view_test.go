// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/fleet"
	"github.com/wingvale/wingvale/request"
)

var (
	start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	self  = member(0, 1, 10, fleet.StateLive)
)

func member(i int, incarnation, beat uint64, state fleet.State) fleet.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	return fleet.Member{Address: a, Peer: a, Zone: "a", Beat: beat, State: state, Incarnation: request.Incarnation(incarnation)}
}

func TestMerge(t *testing.T) {
	live, suspect, leaving, gone := fleet.StateLive, fleet.StateSuspect, fleet.StateLeaving, fleet.StateGone
	cases := []struct {
		name    string
		records []fleet.Member
		want    fleet.State
	}{
		{"first news", []fleet.Member{member(1, 1, 5, live)}, live},
		{"suspicion of the same beat counts", []fleet.Member{member(1, 1, 5, live), member(1, 1, 5, suspect)}, suspect},
		{"a higher beat refutes", []fleet.Member{member(1, 1, 5, suspect), member(1, 1, 6, live)}, live},
		{"an older beat is passed over", []fleet.Member{member(1, 1, 6, live), member(1, 1, 5, gone)}, live},
		{"leaving sticks for the incarnation", []fleet.Member{member(1, 1, 5, leaving), member(1, 1, 9, live)}, leaving},
		{"the next incarnation is live", []fleet.Member{member(1, 1, 5, leaving), member(1, 2, 9, live)}, live},
		{"the old incarnation does not come back", []fleet.Member{member(1, 2, 9, live), member(1, 1, 5, leaving)}, live},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := fleet.New(self, start, fleet.Options{})
			for _, m := range c.records {
				v.Merge(start, m)
			}
			got, ok := v.Lookup(member(1, 0, 0, live).Address)
			assert.Assert(t, ok)
			assert.Equal(t, got.State, c.want)
		})
	}
}

func TestNodeRefutesRecordsOfItself(t *testing.T) {
	cases := []struct {
		name   string
		record fleet.Member
		// higher is whether the node must answer with a higher beat.
		higher bool
	}{
		{"suspect", member(0, 1, 10, fleet.StateSuspect), true},
		{"gone", member(0, 1, 12, fleet.StateGone), true},
		{"an earlier run with a clock ahead", member(0, 9, 99, fleet.StateLive), true},
		{"the truth", member(0, 1, 10, fleet.StateLive), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := fleet.New(self, start, fleet.Options{})
			v.Merge(start, c.record)
			assert.Equal(t, v.Self().Beat > c.record.Beat, c.higher, "got beat %d after %d", v.Self().Beat, c.record.Beat)
			assert.Equal(t, v.Self().State, fleet.StateLive)
		})
	}
}

func TestSuspectIsGoneAfterTimeoutAndLeavingAtOnce(t *testing.T) {
	v := fleet.New(self, start, fleet.Options{})
	v.Merge(start, member(1, 1, 5, fleet.StateLive), member(2, 1, 5, fleet.StateLeaving))
	v.Suspect(start, member(1, 0, 0, 0).Address)
	v.Suspect(start, member(2, 0, 0, 0).Address)
	none := func(netip.AddrPort) bool { return false }
	v.Tick(start.Add(fleet.DefaultSuspectTimeout-time.Millisecond), none)
	assert.DeepEqual(t, states(v), []fleet.State{fleet.StateSuspect, fleet.StateGone})
	v.Tick(start.Add(fleet.DefaultSuspectTimeout), none)
	assert.DeepEqual(t, states(v), []fleet.State{fleet.StateGone, fleet.StateGone})
	v.Tick(start.Add(2*fleet.DefaultForgetAfter), none)
	assert.Equal(t, len(v.Members()), 0)
}

func states(v *fleet.View) []fleet.State {
	var all []fleet.State
	for _, m := range v.Members() {
		all = append(all, m.State)
	}
	return all
}

func TestLeavingServerAppliesToOneInstance(t *testing.T) {
	v := fleet.New(self, start, fleet.Options{})
	server := member(9, 0, 0, 0).Address
	assert.Assert(t, v.MarkLeaving(start, fleet.LeavingServer{Address: server, Instance: "one"}))
	assert.Assert(t, !v.MarkLeaving(start, fleet.LeavingServer{Address: server, Instance: "one"}))
	assert.Assert(t, v.IsLeaving(server, "one"))
	assert.Assert(t, v.IsLeaving(server, ""))
	assert.Assert(t, !v.IsLeaving(server, "two"))
	// Guards against one mark per address: a later run at the address was leaving too, and a
	// peer reported the first run again, so that the mark of the later run was lost.
	v.MarkLeaving(start, fleet.LeavingServer{Address: server, Instance: "two"})
	v.MarkLeaving(start, fleet.LeavingServer{Address: server, Instance: "one"})
	assert.Assert(t, v.IsLeaving(server, "two"))
}

// Guards against marks that never expire: without its age, a mark came back from a peer that had
// learned of it later, and with three nodes it never expired.
func TestLeavingMarksExpire(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	server := fleet.LeavingServer{Address: member(9, 0, 0, 0).Address, Instance: "one"}
	views := []*fleet.View{fleet.New(self, start, fleet.Options{}), fleet.New(member(2, 1, 1, fleet.StateLive), start, fleet.Options{})}
	views[0].MarkLeaving(start, server)
	for minute := range 180 {
		now := start.Add(time.Duration(minute) * time.Minute)
		for i, v := range views {
			v.Tick(now, func(netip.AddrPort) bool { return true })
			for _, l := range views[1-i].News(now, random).Leaving {
				v.MergeLeaving(now, l)
			}
		}
		if minute == 50 {
			assert.Assert(t, views[1].IsLeaving(server.Address, server.Instance))
		}
	}
	assert.Equal(t, len(views[0].Leaving())+len(views[1].Leaving()), 0)
}

func TestNewsIsBoundedAndReachesAll(t *testing.T) {
	v := fleet.New(self, start, fleet.Options{})
	for i := range 560 {
		v.Merge(start, member(i+1, 1, 5, fleet.StateLive))
		v.MarkLeaving(start, fleet.LeavingServer{Address: member(i+1, 0, 0, 0).Address})
	}
	random := rand.New(rand.NewPCG(1, 1))
	reported := make(map[string]bool)
	for range 400 {
		news := v.News(start, random)
		assert.Equal(t, news.Members[0].Address, self.Address)
		assert.Assert(t, len(news.Members) <= fleet.MaxNews+1, "got %d members", len(news.Members))
		assert.Assert(t, len(news.Leaving) <= fleet.MaxNews, "got %d servers", len(news.Leaving))
		for _, m := range news.Members {
			reported[fmt.Sprint(m.Address)] = true
		}
	}
	assert.Equal(t, len(reported), 561)
}
