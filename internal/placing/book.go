// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import (
	"net/netip"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wingvale/wingvale/internal/health"
	"github.com/wingvale/wingvale/internal/owner"
)

const (
	// ReadRate is how many prompt tokens an engine reads in a millisecond. It
	// is near what the engines of the first users do; each engine's own pace
	// comes on top, from its answers.
	ReadRate = 60.0
	// pairsRate is how many millions of pairs of tokens an engine weighs
	// against each other in a millisecond of reading; it matters for prompts
	// of ten thousand tokens and more.
	pairsRate = 3.0
	// Overhead is what an idle engine adds before the first event.
	Overhead = 20 * time.Millisecond
	// rereadCost is the time that reading one shared token again is weighed as,
	// beside the reading itself.
	rereadCost = 40 * time.Microsecond
	// crossCost is the time that a megabyte of inputs from another zone is
	// weighed as.
	crossCost = 30 * time.Millisecond
	// warmFor is how long a shared part is taken to stay in an engine: it has
	// room for what it reads in about a minute. warmMost bounds the parts that
	// are remembered.
	warmFor  = 30 * time.Second
	warmMost = 8192
	// lateCost is the time that a first event after its objective is weighed as.
	lateCost = 1200 * time.Millisecond
	// homeStep is what being one place further down the prompt's order by
	// rendezvous hashing costs, so that an owner which knows nothing yet finds
	// the parts where the one before put them. It is small beside what a long
	// shared part takes to read.
	homeStep = 10 * time.Millisecond
	// youngDoubt is the share of a prompt's shared parts that an owner takes the
	// prompt's home to lack while it is new and does not know; it has seen most
	// of them after youngFor.
	youngDoubt = 0.3
	youngFor   = 20 * time.Second
	// homesLeast is the fewest engines that keep a first shared part, and homesShare
	// the share of the pool that may, so that a kind with few first parts uses all.
	homesLeast = 4
	homesShare = 0.25
	// ranksMost is how many places count.
	ranksMost = 4
)

// Engine is one engine as it is published.
type Engine struct {
	Instance string
	Address  netip.AddrPort
	Zone     string
	// Region is that of the zone.
	Region  string
	Leaving bool
	// TokenBytes is how much memory a token takes and Link how many bytes a
	// second an engine sends or takes in; 0 where engines copy nothing.
	TokenBytes int64
	Link       float64
	// ColdUntil is when the engine is warm again, and ColdMost how many prompts of all
	// hosts may reach it in any second while it is not; 0 is not bounded.
	ColdUntil time.Time
	ColdMost  float64
}

// Place is where a prompt goes.
type Place struct {
	// Instance is empty where there is no engine, or, with Wait set, none that may
	// get a prompt yet.
	Instance string
	// Wait is how long it waits there, and Expected how long its first event
	// should take, as far as is known.
	Wait     time.Duration
	Expected time.Duration
	// Source is the engine to copy shared parts of the prompt from; the zero
	// address is none.
	Source netip.AddrPort
}

// Prompt is what matters of a request for its place.
type Prompt struct {
	// First and Shared name the first shared part and all shared parts; 0 is
	// none.
	First  uint64
	Shared uint64
	// FirstTokens, SharedTokens and OwnTokens are the sizes of the first shared
	// part, of all shared parts and of the rest.
	FirstTokens  int
	SharedTokens int
	OwnTokens    int
	// Zone is where InputBytes of inputs lie.
	Zone       string
	InputBytes int64
	// Left is how much of the objective is left for the first event; 0 is not
	// known, and a prompt with less than none is late wherever it goes.
	Left time.Duration
	// Except are instances not to be named.
	Except []string
	// Homes are the regions whose engines may be named; none is all.
	Homes []string
	// Alone says that the host that decides is not the owner, and knows of no prompts
	// but its own.
	Alone bool
}

// allows reports whether an engine may read the prompt or keep what it copies.
func (p Prompt) allows(e *engine) bool {
	return len(p.Homes) == 0 || slices.Contains(p.Homes, e.Region)
}

// Report is how one prompt went.
type Report struct {
	Instance string
	// First is how long the first event took, 0 for none; Expected how long it
	// should have taken by Place.
	First    time.Duration
	Expected time.Duration
	Failed   bool
}

// ReadTime is how long an idle engine reads tokens of a prompt after those that
// it has kept.
func ReadTime(kept, tokens int) time.Duration {
	pairs := float64(tokens) * (float64(kept) + float64(tokens)/2) / 1e6
	ms := float64(tokens)/ReadRate + pairs/pairsRate
	return time.Duration(ms * float64(time.Millisecond))
}

// Book is what an owner knows of its engines. It is not safe for concurrent
// use.
type Book struct {
	engines map[string]*engine
	// since is when the owner began to place prompts.
	since time.Time
	// warm has for each shared part the engines that read it.
	warm *lru.Cache[uint64, map[string]reading]
}

// reading is when a shared part was first and last placed on an engine.
type reading struct {
	first time.Time
	last  time.Time
}

type engine struct {
	Engine
	health health.Record
	// freeAt is when it has read all prompts placed on it.
	freeAt time.Time
	pace   pace
}

// NewBook returns a book without engines.
func NewBook() *Book {
	// The only error is a size below 1.
	warm, _ := lru.New[uint64, map[string]reading](warmMost)
	return &Book{engines: make(map[string]*engine), warm: warm}
}

// SetEngines replaces the engines; what is known of those that stay is kept.
func (b *Book) SetEngines(engines []Engine) {
	known := b.engines
	b.engines = make(map[string]*engine, len(engines))
	for _, e := range engines {
		k := known[e.Instance]
		if k == nil {
			k = &engine{}
		}
		k.Engine = e
		b.engines[e.Instance] = k
	}
}

// Report notes how a prompt went.
func (b *Book) Report(now time.Time, r Report) {
	e := b.engines[r.Instance]
	if e == nil {
		return
	}
	ratio := 0.0
	if r.First > 0 && r.Expected > 0 {
		ratio = r.First.Seconds() / r.Expected.Seconds()
	}
	e.health.Ended(now, ratio, r.Failed)
}

// Place names the engine that costs least and notes the prompt there.
func (b *Book) Place(now time.Time, p Prompt) Place {
	if b.since.IsZero() {
		b.since = now
	}
	var best *engine
	var bestCost time.Duration
	ranks := b.ranks(p)
	from := b.source(now, p)
	usable, wait := b.usable(now, p)
	for _, e := range usable {
		cost := b.cost(now, e, p, ranks, from)
		if best == nil || cost < bestCost || cost == bestCost && e.Instance < best.Instance {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Place{Wait: wait}
	}
	plan := planOf(best, p, b.missing(now, best, p), from)
	even := plan.time(best, p)
	best.health.Try(now)
	if best.ColdMost > 0 {
		best.pace.note(now)
	}
	wait = max(best.freeAt.Sub(now), 0)
	best.freeAt = now.Add(wait + time.Duration(float64(even)*best.health.Ratio(now)))
	b.remember(now, p.First, best.Instance)
	b.remember(now, p.Shared, best.Instance)
	place := Place{Instance: best.Instance, Wait: wait, Expected: wait + even + Overhead}
	if plan.copied > 0 {
		place.Source = plan.source.Address
	}
	return place
}

// usable returns the engines that a prompt may go to now, or else how long until
// one may get it; 0 is never.
func (b *Book) usable(now time.Time, p Prompt) ([]*engine, time.Duration) {
	var all, well []*engine
	var soonest time.Duration
	paces := b.pacer(now, p.Alone)
	for _, e := range b.engines {
		if e.Leaving || !p.allows(e) || slices.Contains(p.Except, e.Instance) {
			continue
		}
		if wait := paces.wait(e); wait > 0 {
			if soonest == 0 || wait < soonest {
				soonest = wait
			}
			continue
		}
		all = append(all, e)
		if !e.health.Ejected(now) {
			well = append(well, e)
		}
	}
	if len(well) == 0 {
		return all, soonest
	}
	return well, soonest
}

// Home returns which engine of a prompt's shard is its home by rendezvous hashing; empty
// where it shares nothing or there are no engines.
func Home(engines []string, p Prompt) string {
	if p.Shared == 0 {
		return ""
	}
	top := homesOf(engines, p, 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

// homesOf returns the first count homes of a prompt among the engines of its
// shard: those that keep its first part, in the order of all its shared parts.
func homesOf(names []string, p Prompt, count int) []string {
	keep := max(homesLeast, int(homesShare*float64(len(names))))
	return owner.TopNames(owner.TopNames(names, p.First, keep), p.Shared, count)
}

// ranks returns the places of a prompt's homes by rendezvous hashing.
func (b *Book) ranks(p Prompt) map[string]int {
	if p.Shared == 0 {
		return nil
	}
	names := make([]string, 0, len(b.engines))
	for name := range b.engines {
		names = append(names, name)
	}
	ranks := make(map[string]int, ranksMost)
	for i, name := range homesOf(names, p, ranksMost) {
		ranks[name] = i
	}
	return ranks
}

// missing is how many shared tokens an engine has not kept.
func (b *Book) missing(now time.Time, e *engine, p Prompt) int {
	switch {
	case p.Shared == 0 || b.isWarm(now, p.Shared, e.Instance):
		return 0
	case b.isWarm(now, p.First, e.Instance):
		return p.SharedTokens - p.FirstTokens
	default:
		return p.SharedTokens
	}
}

// cost is how long the first event takes at an engine, with the prices of
// reading again and of crossing zones as time.
func (b *Book) cost(now time.Time, e *engine, p Prompt, ranks map[string]int, from keeper) time.Duration {
	missing := b.missing(now, e, p)
	rank, home := ranks[e.Instance]
	if home && rank == 0 && now.Sub(b.since) < youngFor {
		missing = int(youngDoubt * float64(missing))
	}
	plan := planOf(e, p, missing, from)
	first := max(e.freeAt.Sub(now), 0) + time.Duration(float64(plan.time(e, p))*e.health.Ratio(now))
	cost := first + plan.price(e)
	if p.Left > 0 && first+Overhead > p.Left {
		cost += lateCost
	}
	if p.Zone != "" && e.Zone != p.Zone {
		cost += time.Duration(float64(p.InputBytes) / 1e6 * float64(crossCost))
	}
	if !home {
		rank = ranksMost
	}
	cost += time.Duration(rank) * homeStep
	return time.Duration(e.health.Weighed(now, float64(cost+Overhead)))
}

func (b *Book) isWarm(now time.Time, part uint64, instance string) bool {
	engines, ok := b.warm.Get(part)
	return ok && now.Sub(engines[instance].last) < warmFor
}

func (b *Book) remember(now time.Time, part uint64, instance string) {
	if part == 0 {
		return
	}
	engines, ok := b.warm.Get(part)
	if !ok {
		engines = make(map[string]reading)
		b.warm.Add(part, engines)
	}
	for name, r := range engines {
		if now.Sub(r.last) > warmFor {
			delete(engines, name)
		}
	}
	r, ok := engines[instance]
	if !ok {
		r.first = now
	}
	r.last = now
	engines[instance] = r
}
