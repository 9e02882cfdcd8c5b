// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/placing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(count int) []placing.Engine {
	var list []placing.Engine
	for i := range count {
		list = append(list, placing.Engine{Instance: fmt.Sprintf("e%d", i), Zone: string(rune('a' + i%3))})
	}
	return list
}

func newScheduler(list ...placing.Engine) *placing.Scheduler {
	b := placing.NewScheduler()
	b.SetEngines(list)
	return b
}

func prompt(key uint64) placing.Prompt {
	return placing.Prompt{First: key, Shared: key, FirstTokens: 13000, SharedTokens: 13000, OwnTokens: 3000}
}

func TestPromptGoesToEngineWithItsSharedParts(t *testing.T) {
	b := newScheduler(engines(18)...)
	now := start
	for key := range uint64(30) {
		first := b.Place(now, prompt(key+1))
		now = now.Add(400 * time.Millisecond)
		second := b.Place(now, prompt(key+1))
		assert.Equal(t, second.Instance, first.Instance, "key %d", key)
		assert.Assert(t, second.Expected < first.Expected, "the shared part is not read again")
		now = now.Add(400 * time.Millisecond)
	}
}

func TestHotPromptSpreadsWhenItsHomeHasAQueue(t *testing.T) {
	b := newScheduler(engines(18)...)
	used := make(map[string]int)
	for range 40 {
		used[b.Place(start, prompt(1)).Instance]++
	}
	assert.Assert(t, len(used) >= 2, "40 concurrent prompts all went to %v", used)
	now := start.Add(time.Minute)
	assert.Equal(t, b.Place(now, prompt(2)).Wait, time.Duration(0))
}

// If the home of a prompt has a long queue, another engine copies the cached parts instead of
// reading them again.
func TestSharedPartsAreCopiedWhenHomeHasAQueue(t *testing.T) {
	list := engines(18)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		list[i].TokenBytes, list[i].Link = 163840, 1.4e11
	}
	b := newScheduler(list...)
	first := b.Place(start, prompt(1))
	assert.Assert(t, !first.Source.IsValid(), "no engine has cached it yet")
	early := b.Place(start.Add(100*time.Millisecond), placing.Prompt{
		First: 1, Shared: 1, FirstTokens: 13000, SharedTokens: 13000, OwnTokens: 3000, Excluded: []string{first.Instance},
	})
	assert.Assert(t, !early.Source.IsValid(), "it is still being read")
	now := start.Add(3 * time.Second)
	copies := 0
	for range 12 {
		place := b.Place(now, prompt(1))
		if place.Source.IsValid() {
			copies++
			assert.Assert(t, place.Expected-place.Wait < 200*time.Millisecond, "a copy is fast, got %v", place.Expected)
		}
	}
	assert.Assert(t, copies > 0)
}

// What a leaving engine has cached is copied while the engine is still available.
func TestLeavingEngineIsACopySource(t *testing.T) {
	list := engines(3)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		list[i].TokenBytes, list[i].Link = 163840, 1.4e11
	}
	b := newScheduler(list...)
	home := b.Place(start, prompt(1)).Instance
	var address netip.AddrPort
	for i := range list {
		if list[i].Leaving = list[i].Instance == home; list[i].Leaving {
			address = list[i].Address
		}
	}
	b.SetEngines(list)
	place := b.Place(start.Add(2*time.Second), prompt(1))
	assert.Assert(t, place.Instance != home)
	assert.Equal(t, place.Source, address)
}

func TestNewOwnerPlacesPromptsAtSameHomes(t *testing.T) {
	old, newOwner := newScheduler(engines(18)...), newScheduler(engines(18)...)
	same := 0
	for key := range uint64(60) {
		now := start.Add(time.Duration(key) * time.Second)
		if old.Place(now, prompt(key+1)).Instance == newOwner.Place(now, prompt(key+1)).Instance {
			same++
		}
	}
	assert.Equal(t, same, 60)
}

func TestLeavingExcludedAndFailingEnginesAreNotUsed(t *testing.T) {
	list := engines(3)
	b := newScheduler(list...)
	home := b.Place(start, prompt(1)).Instance
	p := prompt(1)
	p.Excluded = []string{home}
	assert.Assert(t, b.Place(start, p).Instance != home)
	for i := range list {
		list[i].Leaving = list[i].Instance == home
	}
	b.SetEngines(list)
	second := b.Place(start, prompt(1)).Instance
	assert.Assert(t, second != home)
	for range 3 {
		b.Report(start, placing.Report{Instance: second, Failed: true})
	}
	third := b.Place(start, prompt(1)).Instance
	assert.Assert(t, third != home && third != second)
	for i := range list {
		list[i].Leaving = true
	}
	b.SetEngines(list)
	assert.Equal(t, b.Place(start, prompt(1)).Instance, "", "no engine is available")
}

func TestSlowEngineIsAvoided(t *testing.T) {
	b := newScheduler(engines(4)...)
	home := b.Place(start, prompt(1)).Instance
	now := start.Add(time.Second)
	for range 10 {
		b.Report(now, placing.Report{Instance: home, FirstEventTime: 9 * time.Second, Expected: 200 * time.Millisecond})
	}
	assert.Assert(t, b.Place(now, prompt(1)).Instance != home)
}

func TestPromptWithLargeInputsGoesToTheirZone(t *testing.T) {
	b := newScheduler(engines(9)...)
	for key := range uint64(9) {
		p := placing.Prompt{OwnTokens: 1000, Zone: "b", InputBytes: 9e6}
		p.First = key
		place := b.Place(start.Add(time.Duration(key)*time.Second), p)
		assert.Assert(t, place.Instance == "e1" || place.Instance == "e4" || place.Instance == "e7", "got %s", place.Instance)
	}
}

func TestReadTimeGrowsWithCachedTokens(t *testing.T) {
	alone := placing.ReadTime(0, 6000)
	assert.Assert(t, alone > 100*time.Millisecond && alone < 120*time.Millisecond, "%v", alone)
	assert.Assert(t, placing.ReadTime(30000, 6000) > alone)
}

// An engine that may be cold must get no more prompts in a second than it can handle,
// whichever hosts place them: the owner, its successor without state, and a host that cannot
// reach the owner.
func TestEnginesThatMayBeColdAreRateLimited(t *testing.T) {
	const bound = 18.65
	list := engines(1)
	list[0].ColdRateLimit = bound
	old, newOwner, alone := newScheduler(list...), newScheduler(list...), newScheduler(list...)
	placed := 0
	place := func(b *placing.Scheduler, now time.Time, p placing.Prompt) {
		if b.Place(now, p).Instance != "" {
			placed++
		}
	}
	for ms := range 3000 {
		place(old, start.Add(time.Duration(ms)*time.Millisecond), prompt(1))
	}
	assert.Assert(t, placed >= 3*6 && placed <= 3*9, "%d prompts placed in 3 s", placed)
	placed = 0
	now := start.Add(3 * time.Second)
	for ms := range 1000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		place(old, at, prompt(1))
		place(newOwner, at, prompt(1))
		p := prompt(1)
		p.WithoutOwner = true
		place(alone, at, p)
	}
	assert.Assert(t, float64(placed) < bound, "%d prompts placed in a second", placed)
	wait := old.Place(now.Add(time.Second), prompt(1))
	assert.Assert(t, wait.Instance == "" && wait.Wait > 0, "%+v", wait)
}

// A host that cannot reach the owner must not use cold engines.
func TestHostWithoutOwnerDoesNotUseColdEngines(t *testing.T) {
	list := engines(2)
	for i := range list {
		list[i].ColdRateLimit = 18
	}
	list[0].ColdUntil = start.Add(3 * time.Second)
	b := newScheduler(list...)
	p := prompt(1)
	p.WithoutOwner = true
	assert.Equal(t, b.Place(start, p).Instance, "e1")
	assert.Equal(t, b.Place(start, p).Instance, "", "the other engine already got one")
	assert.Equal(t, newScheduler(list[:1]...).Place(start, prompt(1)).Instance, "e0", "the owner uses it")
}
