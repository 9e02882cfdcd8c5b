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

func book(list ...placing.Engine) *placing.Book {
	b := placing.NewBook()
	b.SetEngines(list)
	return b
}

func prompt(key uint64) placing.Prompt {
	return placing.Prompt{First: key, Shared: key, FirstTokens: 13000, SharedTokens: 13000, OwnTokens: 3000}
}

func TestAPromptGoesWhereItsSharedPartsAre(t *testing.T) {
	b := book(engines(18)...)
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

func TestAHotPromptSpreadsOnceItsHomeIsBehind(t *testing.T) {
	b := book(engines(18)...)
	used := make(map[string]int)
	for range 40 {
		used[b.Place(start, prompt(1)).Instance]++
	}
	assert.Assert(t, len(used) >= 2, "40 prompts at once stay at %v", used)
	now := start.Add(time.Minute)
	assert.Equal(t, b.Place(now, prompt(2)).Wait, time.Duration(0))
}

// Where the home of a prompt is far behind, another engine copies what it keeps
// instead of reading it again.
func TestAPromptIsCopiedWhereItsHomeIsBehind(t *testing.T) {
	list := engines(18)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		list[i].TokenBytes, list[i].Link = 163840, 1.4e11
	}
	b := book(list...)
	first := b.Place(start, prompt(1))
	assert.Assert(t, !first.Source.IsValid(), "nobody keeps it yet")
	early := b.Place(start.Add(100*time.Millisecond), placing.Prompt{
		First: 1, Shared: 1, FirstTokens: 13000, SharedTokens: 13000, OwnTokens: 3000, Except: []string{first.Instance},
	})
	assert.Assert(t, !early.Source.IsValid(), "it is being read")
	now := start.Add(3 * time.Second)
	copies := 0
	for range 12 {
		place := b.Place(now, prompt(1))
		if place.Source.IsValid() {
			copies++
			assert.Assert(t, place.Expected-place.Wait < 200*time.Millisecond, "a copy is quick, got %v", place.Expected)
		}
	}
	assert.Assert(t, copies > 0)
}

// What a leaving engine keeps is copied while it is still there.
func TestALeavingEngineIsCopiedFrom(t *testing.T) {
	list := engines(3)
	for i := range list {
		list[i].Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		list[i].TokenBytes, list[i].Link = 163840, 1.4e11
	}
	b := book(list...)
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

func TestANewOwnerFindsTheHomes(t *testing.T) {
	old, young := book(engines(18)...), book(engines(18)...)
	same := 0
	for key := range uint64(60) {
		now := start.Add(time.Duration(key) * time.Second)
		if old.Place(now, prompt(key+1)).Instance == young.Place(now, prompt(key+1)).Instance {
			same++
		}
	}
	assert.Equal(t, same, 60)
}

func TestLeavingExceptedAndFailingEnginesArePassedOver(t *testing.T) {
	list := engines(3)
	b := book(list...)
	home := b.Place(start, prompt(1)).Instance
	p := prompt(1)
	p.Except = []string{home}
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
	assert.Equal(t, b.Place(start, prompt(1)).Instance, "", "there is no engine left")
}

func TestASlowEngineLosesItsPrompts(t *testing.T) {
	b := book(engines(4)...)
	home := b.Place(start, prompt(1)).Instance
	now := start.Add(time.Second)
	for range 10 {
		b.Report(now, placing.Report{Instance: home, First: 9 * time.Second, Expected: 200 * time.Millisecond})
	}
	assert.Assert(t, b.Place(now, prompt(1)).Instance != home)
}

func TestLargeInputsDrawAPromptToTheirZone(t *testing.T) {
	b := book(engines(9)...)
	for key := range uint64(9) {
		p := placing.Prompt{OwnTokens: 1000, Zone: "b", InputBytes: 9e6}
		p.First = key
		place := b.Place(start.Add(time.Duration(key)*time.Second), p)
		assert.Assert(t, place.Instance == "e1" || place.Instance == "e4" || place.Instance == "e7", "got %s", place.Instance)
	}
}

func TestReadTimeGrowsWithWhatIsKept(t *testing.T) {
	alone := placing.ReadTime(0, 6000)
	assert.Assert(t, alone > 100*time.Millisecond && alone < 120*time.Millisecond, "%v", alone)
	assert.Assert(t, placing.ReadTime(30000, 6000) > alone)
}

// An engine that may be cold gets no more prompts in a second than it bears, whoever
// places them: the owner, the one after it that knows nothing, and a host on its own.
func TestEnginesThatMayBeColdArePaced(t *testing.T) {
	const bound = 18.65
	list := engines(1)
	list[0].ColdMost = bound
	old, young, alone := book(list...), book(list...), book(list...)
	placed := 0
	place := func(b *placing.Book, now time.Time, p placing.Prompt) {
		if b.Place(now, p).Instance != "" {
			placed++
		}
	}
	for ms := range 3000 {
		place(old, start.Add(time.Duration(ms)*time.Millisecond), prompt(1))
	}
	assert.Assert(t, placed >= 3*6 && placed <= 3*9, "%d placed in 3 s", placed)
	placed = 0
	now := start.Add(3 * time.Second)
	for ms := range 1000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		place(old, at, prompt(1))
		place(young, at, prompt(1))
		p := prompt(1)
		p.Alone = true
		place(alone, at, p)
	}
	assert.Assert(t, float64(placed) < bound, "%d in a second", placed)
	wait := old.Place(now.Add(time.Second), prompt(1))
	assert.Assert(t, wait.Instance == "" && wait.Wait > 0, "%+v", wait)
}

// A host that does not reach the owner leaves cold engines alone.
func TestAHostOnItsOwnPassesColdEnginesOver(t *testing.T) {
	list := engines(2)
	for i := range list {
		list[i].ColdMost = 18
	}
	list[0].ColdUntil = start.Add(3 * time.Second)
	b := book(list...)
	p := prompt(1)
	p.Alone = true
	assert.Equal(t, b.Place(start, p).Instance, "e1")
	assert.Equal(t, b.Place(start, p).Instance, "", "the other had one")
	assert.Equal(t, book(list[:1]...).Place(start, prompt(1)).Instance, "e0", "the owner uses it")
}
