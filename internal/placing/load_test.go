// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/placing"
)

// Guards against a load model that changes decisions although the switch is off.
func TestPlacementsWithoutLoadModelIgnoreItsInputs(t *testing.T) {
	const span = 10 * time.Second
	bare := engines(24)
	described := engines(24)
	for i := range described {
		described[i].Slots, described[i].Tokens, described[i].EventTokens = 2, 20000, 4
	}
	without, with := newScheduler(bare...), newScheduler(described...)
	kinds := unevenLoad(24)
	reported := 0
	for id, a := range arrivals(kinds, span, 1) {
		now := start.Add(a.at)
		p := a.prompt
		want := without.Place(now, p)
		p.ID, p.TokensOut, p.GapLimit = uint64(id+1), kinds[a.kind].events*eventTokens, unevenGapLimit
		got := with.Place(now, p)
		assert.Equal(t, got, want, "prompt %d", id)
		r := placing.Report{Instance: want.Instance, FirstEventTime: time.Duration(1+id%3) * want.Expected, Expected: want.Expected, Failed: id%97 == 0}
		without.Report(now, r)
		r.ID, r.EventGap = p.ID, time.Duration(14+id%30)*time.Millisecond
		with.Report(now, r)
		with.LearnPace(r.Instance, 40*time.Millisecond)
		reported++
	}
	assert.Assert(t, reported > 300, "%d prompts", reported)
	assert.Equal(t, len(with.Speeds()), 0)
}

// One engine of four looked slow, and the others cannot do all of the work. Guards against an engine
// that idles because of its pace, and stays slow for its owner after it has become as fast as others.
func TestEngineThatLookedSlowIsUsedWhenOthersAreBusy(t *testing.T) {
	list := engines(4)
	for i := range list {
		list[i].Zone, list[i].LoadAware, list[i].Slots, list[i].Tokens, list[i].EventTokens = "a", true, 12, 357197, eventTokens
	}
	s := newScheduler(list...)
	for range 15 {
		s.Report(start, placing.Report{Instance: "e0", EventGap: 96 * time.Millisecond})
		for _, e := range list[1:] {
			s.Report(start, placing.Report{Instance: e.Instance, EventGap: 24 * time.Millisecond})
		}
	}
	type stream struct {
		report placing.Report
		end    time.Time
	}
	var running []stream
	// play places prompts of 110 ms of prefill and returns how many of them e0 got.
	id := uint64(0)
	play := func(from time.Time, interval time.Duration, prompts int) int {
		count := 0
		for i := range prompts {
			now := from.Add(time.Duration(i) * interval)
			for len(running) > 0 && !running[0].end.After(now) {
				s.Report(now, running[0].report)
				running = running[1:]
			}
			id++
			p := placing.Prompt{OwnTokens: 6000, TokensOut: 40, GapLimit: unevenGapLimit, ID: id, TimeLeft: time.Second}
			place := s.Place(now, p)
			assert.Assert(t, place.Instance != "")
			if place.Instance == "e0" {
				count++
			}
			running = append(running, stream{
				report: placing.Report{Instance: place.Instance, FirstEventTime: place.Expected, Expected: place.Expected, ID: id, EventGap: 24 * time.Millisecond},
				end:    now.Add(place.Expected + 240*time.Millisecond),
			})
		}
		return count
	}
	few := play(start.Add(time.Second), 200*time.Millisecond, 40)
	many := play(start.Add(20*time.Second), 30*time.Millisecond, 400)
	speed := s.Speeds()["e0"]
	equal := play(start.Add(40*time.Second), 30*time.Millisecond, 400)
	t.Logf("the slow engine got %d of 40 prompts at low load, %d and then %d of 400 at high load, and has a speed of %v", few, many, equal, speed)
	assert.Equal(t, few, 0, "faster engines are idle")
	assert.Assert(t, many >= 40, "%d prompts", many)
	assert.Equal(t, speed, 1.0, "its streams show that it is as fast as the others")
	assert.Assert(t, equal >= 80, "%d prompts", equal)
}

// Guards against a stream on an engine whose own steps exceed the limit of its gaps.
func TestStreamAvoidsEngineSlowerThanItsGapLimit(t *testing.T) {
	list := engines(2)
	for i := range list {
		list[i].Zone, list[i].LoadAware, list[i].Slots, list[i].EventTokens = "a", true, 12, eventTokens
	}
	s := newScheduler(list...)
	s.Report(start, placing.Report{Instance: "e0", EventGap: 400 * time.Millisecond})
	s.Report(start, placing.Report{Instance: "e1", EventGap: 200 * time.Millisecond})
	var used []string
	for id := range uint64(6) {
		used = append(used, s.Place(start, placing.Prompt{OwnTokens: 500, TokensOut: 4, GapLimit: unevenGapLimit, ID: id + 1}).Instance)
	}
	assert.DeepEqual(t, used, []string{"e1", "e1", "e1", "e1", "e1", "e1"})
}

// Guards against a new owner that gives slow engines as many prompts as fast ones until it has
// observed the streams of each.
func TestNewOwnerPlacesByLearnedPacesAtOnce(t *testing.T) {
	gaps := []time.Duration{40 * time.Millisecond, 24 * time.Millisecond, 15 * time.Millisecond}
	list := engines(12)
	for i := range list {
		list[i].Zone, list[i].LoadAware, list[i].Slots, list[i].EventTokens = "a", true, 12, eventTokens
	}
	s := newScheduler(list...)
	for i, e := range list {
		s.LearnPace(e.Instance, gaps[i%3])
		s.LearnPace(e.Instance, 0)
	}
	counts := make(map[string]int)
	for id := range uint64(60) {
		now := start.Add(time.Duration(id) * 10 * time.Millisecond)
		counts[s.Place(now, placing.Prompt{OwnTokens: 6000, TokensOut: 40, GapLimit: unevenGapLimit, TimeLeft: time.Second, ID: id + 1}).Instance]++
	}
	bySpeed := make([]int, 3)
	for i, e := range list {
		bySpeed[i%3] += counts[e.Instance]
	}
	t.Logf("slow, medium and fast engines got %v of 60 prompts", bySpeed)
	assert.Assert(t, 3*bySpeed[0] <= 2*bySpeed[1] && bySpeed[1] < bySpeed[2], "%v", bySpeed)
}

// Guards against an owner that, in its first seconds, counts only a part of the prefill at a prompt's
// home: the stall of the streams that run there then seems harmless.
func TestNewOwnerCountsWholePrefillAgainstRunningStreams(t *testing.T) {
	list := engines(2)
	for i := range list {
		list[i].Zone, list[i].LoadAware, list[i].Slots, list[i].EventTokens = "a", true, 12, eventTokens
	}
	for key := range uint64(20) {
		s := newScheduler(list...)
		s.LearnPace("e0", 24*time.Millisecond)
		s.LearnPace("e1", 24*time.Millisecond)
		p := prompt(key + 1)
		p.SharedTokens, p.FirstTokens, p.ID = 12000, 12000, 2
		home := placing.Home([]string{"e0", "e1"}, p)
		// The engines differ in speed, and the home is the faster one.
		s.LearnPace(home, 16*time.Millisecond)
		s.LearnPace(home, 16*time.Millisecond)
		other := "e0"
		if home == "e0" {
			other = "e1"
		}
		running := placing.Prompt{OwnTokens: 500, TokensOut: 400, GapLimit: unevenGapLimit, ID: 1, Excluded: []string{other}}
		for range 2 {
			assert.Equal(t, s.Place(start, running).Instance, home)
			running.ID += 10
		}
		assert.Equal(t, s.Place(start.Add(time.Second), p).Instance, other, "prompt %d stalls the streams at its home", key+1)
	}
}

// Engines of one speed. Prompts with a common part queued for the slots of its home while other engines had
// free ones.
func TestPromptsQueueForSlotsWhileOtherEnginesHaveFreeOnes(t *testing.T) {
	const slots = 8
	list := engines(4)
	for i := range list {
		list[i].LoadAware, list[i].Slots, list[i].EventTokens = true, slots, eventTokens
	}
	s := newScheduler(list...)
	streams := make(map[string]int)
	for i := range 3 * slots {
		p := placing.Prompt{ID: uint64(i + 1), First: 1, Shared: 1, FirstTokens: 600, SharedTokens: 600, OwnTokens: 300, TokensOut: 10 * eventTokens}
		got := s.Place(start.Add(time.Duration(i)*6*time.Millisecond), p)
		streams[got.Instance]++
		assert.Check(t, streams[got.Instance] <= slots, "%d streams at %s", streams[got.Instance], got.Instance)
	}
	t.Logf("%v", streams)

	// Few prompts stay at their home.
	s = newScheduler(list...)
	home := s.Place(start, prompt(2)).Instance
	for i := range 2 * slots {
		p := prompt(2)
		p.ID, p.TokensOut = uint64(i+1), 10*eventTokens
		now := start.Add(time.Duration(i+1) * time.Second)
		assert.Equal(t, s.Place(now, p).Instance, home)
		s.Report(now.Add(500*time.Millisecond), placing.Report{Instance: home, ID: p.ID, EventGap: 25 * time.Millisecond})
	}
}
