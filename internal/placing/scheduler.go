// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package placing

import (
	"net/netip"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wingvale/wingvale/internal/engineload"
	"github.com/wingvale/wingvale/internal/health"
	"github.com/wingvale/wingvale/internal/owner"
)

const (
	// ReadRate is how many prompt tokens an engine reads in a millisecond. It is near the rate
	// of the engines in use. The measured speed of each engine is applied on top.
	ReadRate = 60.0
	// attentionRate is how many millions of pairs of tokens an engine processes by attention
	// in a millisecond of reading. It matters for prompts of ten thousand tokens and more.
	attentionRate = 3.0
	// Overhead is the time that an idle engine adds before the first event.
	Overhead = 20 * time.Millisecond
	// rereadCost is the cost, as time, of reading one shared token again, in addition to the
	// reading itself.
	rereadCost = 40 * time.Microsecond
	// crossZoneCost is the cost, as time, of a megabyte of inputs from another zone.
	crossZoneCost = 30 * time.Millisecond
	// cacheLifetime is how long a shared part is assumed to stay cached in an engine, whose
	// cache holds what it reads in about a minute. maxCachedParts bounds the parts that are
	// tracked.
	cacheLifetime  = 30 * time.Second
	maxCachedParts = 8192
	// latePenalty is the cost, as time, of a first event after its objective.
	latePenalty = 1200 * time.Millisecond
	// rankPenalty is the cost of each position further down the prompt's order by rendezvous
	// hashing, so that a new owner without state finds the parts where its predecessor placed
	// them. It is small compared with the time to read a long shared part.
	rankPenalty = 10 * time.Millisecond
	// newOwnerMissShare is the share of a prompt's shared parts that the prompt's home is
	// assumed to lack while the owner is new and has no record of them. After newOwnerPeriod
	// it has seen most of them. The load model does not use it: the streams that a prefill stalls
	// depend on its whole length, which an average understates.
	newOwnerMissShare = 0.3
	newOwnerPeriod    = 20 * time.Second
	// minHomes is the fewest engines that cache a first shared part, and maxHomeShare the
	// share of the pool that may, so that a kind of prompt with few first parts uses all
	// engines.
	minHomes     = 4
	maxHomeShare = 0.25
	// maxRanks is how many positions in the rendezvous order count.
	maxRanks = 4
)

// Engine is one engine as published.
type Engine struct {
	Instance string
	Address  netip.AddrPort
	Zone     string
	// Region is the region of the zone.
	Region  string
	Leaving bool
	// TokenBytes is the memory that a token takes, and Link the bytes a second that an engine
	// can send or receive. Either is 0 if engines cannot copy from each other.
	TokenBytes int64
	Link       float64
	// ColdUntil is when the engine is warm again. ColdRateLimit is how many prompts of all
	// hosts may reach it in any second before that; 0 means no bound.
	ColdUntil     time.Time
	ColdRateLimit float64
	// LoadAware says that placement uses the load model. Slots is the number of requests that
	// run at once, Tokens the size of the memory, and EventTokens the number of tokens in an
	// event of a stream; 0 means unknown.
	LoadAware   bool
	Slots       int
	Tokens      int
	EventTokens int
}

// Placement is where a prompt is sent.
type Placement struct {
	// Instance is empty if there is no engine or, with Wait set, none that may get a prompt
	// yet.
	Instance string
	// Wait is the expected queueing time and Expected the expected time until the first event.
	Wait     time.Duration
	Expected time.Duration
	// Source is the engine to copy shared parts of the prompt from. The zero address means
	// none.
	Source netip.AddrPort
	// Speed is the engine's speed relative to the median engine; 0 means unknown.
	Speed float64
}

// Prompt has the properties of a request that determine its placement.
type Prompt struct {
	// First and Shared are hashes that identify the first shared part and all shared parts; 0
	// means none.
	First  uint64
	Shared uint64
	// FirstTokens, SharedTokens and OwnTokens are the sizes of the first shared part, of all
	// shared parts and of the rest.
	FirstTokens  int
	SharedTokens int
	OwnTokens    int
	// Zone is the zone that holds InputBytes of inputs.
	Zone       string
	InputBytes int64
	// TimeLeft is how much of the objective remains for the first event; 0 means unknown. If
	// it is negative, the prompt is late on any engine.
	TimeLeft time.Duration
	// Excluded are instances that must not be chosen.
	Excluded []string
	// AllowedRegions are the regions whose engines may be chosen. If it is empty, all may.
	AllowedRegions []string
	// WithoutOwner says that the deciding host is not the owner and knows of no prompts but
	// its own.
	WithoutOwner bool
	// ID identifies the prompt in its Report; 0 means none.
	ID uint64
	// TokensOut is the expected size of the answer, and GapLimit the longest gap between its events
	// that counts as in time; 0 means unknown. They are used on engines with LoadAware only.
	TokensOut int
	GapLimit  time.Duration
}

// allows reports whether an engine may read the prompt or cache what it copies.
func (p Prompt) allows(e *engine) bool {
	return len(p.AllowedRegions) == 0 || slices.Contains(p.AllowedRegions, e.Region)
}

// Report is the outcome of one prompt.
type Report struct {
	Instance string
	// FirstEventTime is the time until the first event, 0 for none. Expected is the time that
	// Place had estimated.
	FirstEventTime time.Duration
	Expected       time.Duration
	Failed         bool
	// Withdrawn says that the prompt was not sent.
	Withdrawn bool
	// ID is the prompt's, and EventGap the pace that its stream showed, 0 if unknown.
	ID       uint64
	EventGap time.Duration
}

// ReadTime returns how long an idle engine takes to read tokens of a prompt that follow those
// it has cached.
func ReadTime(cachedTokens, tokens int) time.Duration {
	pairs := float64(tokens) * (float64(cachedTokens) + float64(tokens)/2) / 1e6
	ms := float64(tokens)/ReadRate + pairs/attentionRate
	return time.Duration(ms * float64(time.Millisecond))
}

// Scheduler is an owner's record of its engines and of the prompts placed on them. It is not safe
// for concurrent use.
type Scheduler struct {
	engines map[string]*engine
	// ownerSince is when the owner placed its first prompt.
	ownerSince time.Time
	// cached has for each shared part the engines that read it.
	cached *lru.Cache[uint64, map[string]cacheEntry]
	// speeds has the speeds of engines with LoadAware.
	speeds speeds
}

// cacheEntry is when a shared part was first and last placed on an engine.
type cacheEntry struct {
	first time.Time
	last  time.Time
}

type engine struct {
	Engine
	health health.Record
	// freeAt is when the engine has read all prompts placed on it.
	freeAt time.Time
	// reads are the prefills that may not have ended yet, in the order of their ends.
	reads         []prefill
	recentPrompts recentPrompts
	// pace and load are kept for engines with LoadAware only.
	pace engineload.Pace
	load engineload.Load
}

// NewScheduler returns a Scheduler without engines.
func NewScheduler() *Scheduler {
	// lru.New fails only for a size below 1.
	cached, _ := lru.New[uint64, map[string]cacheEntry](maxCachedParts)
	return &Scheduler{engines: make(map[string]*engine), cached: cached}
}

// SetEngines replaces the engines and keeps the state of those that remain.
func (s *Scheduler) SetEngines(engines []Engine) {
	known := s.engines
	s.engines = make(map[string]*engine, len(engines))
	for _, e := range engines {
		kept := known[e.Instance]
		if kept == nil {
			kept = &engine{}
		}
		kept.Engine = e
		s.engines[e.Instance] = kept
	}
}

// Report records the outcome of a prompt.
func (s *Scheduler) Report(now time.Time, r Report) {
	e := s.engines[r.Instance]
	if e == nil {
		return
	}
	if r.Withdrawn {
		e.load.Remove(r.ID)
		e.withdrawRead(now, r.ID)
		return
	}
	if e.LoadAware {
		s.recordLoad(e, r)
	}
	ratio := 0.0
	if r.FirstEventTime > 0 && r.Expected > 0 {
		ratio = r.FirstEventTime.Seconds() / r.Expected.Seconds()
	}
	e.health.RecordOutcome(now, ratio, r.Failed)
}

// Place selects the engine with the lowest cost and records the prompt there.
func (s *Scheduler) Place(now time.Time, p Prompt) Placement {
	if s.ownerSince.IsZero() {
		s.ownerSince = now
	}
	var best *engine
	var bestCost time.Duration
	ranks := s.ranks(p)
	source := s.source(now, p)
	usable, wait := s.usable(now, p)
	s.updateSpeeds(now)
	for _, e := range usable {
		cost := s.cost(now, e, p, ranks, source)
		if best == nil || cost < bestCost || cost == bestCost && e.Instance < best.Instance {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Placement{Wait: wait}
	}
	plan := newReadPlan(best, p, s.missing(now, best, p), source)
	best.health.StartProbe(now)
	if best.ColdRateLimit > 0 {
		best.recentPrompts.add(now)
	}
	expected := s.expect(now, best, p, plan)
	best.addRead(now, p.ID, expected)
	if best.LoadAware {
		s.addStream(now, best, p)
	}
	s.recordCached(now, p.First, best.Instance)
	s.recordCached(now, p.Shared, best.Instance)
	placement := Placement{Instance: best.Instance, Wait: expected.wait, Expected: expected.wait + expected.nominal + Overhead}
	if best.LoadAware {
		placement.Speed = s.speed(best)
	}
	if plan.copied > 0 {
		placement.Source = plan.source.Address
	}
	return placement
}

// usable returns the engines that may get a prompt now. If there are none, it returns the time
// until one may get it; 0 means never.
func (s *Scheduler) usable(now time.Time, p Prompt) ([]*engine, time.Duration) {
	var all, healthy []*engine
	var shortestWait time.Duration
	limiter := s.rateLimiter(now, p.WithoutOwner)
	for _, e := range s.engines {
		if e.Leaving || !p.allows(e) || slices.Contains(p.Excluded, e.Instance) {
			continue
		}
		if wait := limiter.wait(e); wait > 0 {
			if shortestWait == 0 || wait < shortestWait {
				shortestWait = wait
			}
			continue
		}
		all = append(all, e)
		if !e.health.Ejected(now) {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) == 0 {
		return all, shortestWait
	}
	return healthy, shortestWait
}

// Home returns the engine that should cache a prompt's shared parts: the first engine of the
// prompt's shard by rendezvous hashing. It returns "" if the prompt has no shared parts or there
// are no engines.
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

// homesOf returns the first count homes of a prompt among the engines of its shard: those that
// cache its first part, ordered by all its shared parts.
func homesOf(names []string, p Prompt, count int) []string {
	keep := max(minHomes, int(maxHomeShare*float64(len(names))))
	return owner.TopNames(owner.TopNames(names, p.First, keep), p.Shared, count)
}

// ranks returns the positions of a prompt's homes by rendezvous hashing.
func (s *Scheduler) ranks(p Prompt) map[string]int {
	if p.Shared == 0 {
		return nil
	}
	names := make([]string, 0, len(s.engines))
	for name := range s.engines {
		names = append(names, name)
	}
	ranks := make(map[string]int, maxRanks)
	for i, name := range homesOf(names, p, maxRanks) {
		ranks[name] = i
	}
	return ranks
}

// missing returns how many shared tokens an engine has not cached.
func (s *Scheduler) missing(now time.Time, e *engine, p Prompt) int {
	switch {
	case p.Shared == 0 || s.isCached(now, p.Shared, e.Instance):
		return 0
	case s.isCached(now, p.First, e.Instance):
		return p.SharedTokens - p.FirstTokens
	default:
		return p.SharedTokens
	}
}

// cost returns the time until the first event at an engine, with the costs of rereading,
// copying, crossing zones and being late added as time.
func (s *Scheduler) cost(now time.Time, e *engine, p Prompt, ranks map[string]int, source cacheHolder) time.Duration {
	missing := s.missing(now, e, p)
	rank, isHome := ranks[e.Instance]
	if isHome && rank == 0 && !s.usesModel(e) && now.Sub(s.ownerSince) < newOwnerPeriod {
		missing = int(newOwnerMissShare * float64(missing))
	}
	plan := newReadPlan(e, p, missing, source)
	expected := s.expect(now, e, p, plan)
	cost := expected.wait + expected.read + plan.extraCost(e) + s.latenessCost(now, e, p, plan, expected)
	if p.Zone != "" && e.Zone != p.Zone {
		cost += time.Duration(float64(p.InputBytes) / 1e6 * float64(crossZoneCost))
	}
	if !isHome {
		rank = maxRanks
	}
	cost += time.Duration(rank) * rankPenalty
	return time.Duration(e.health.PenalizedCost(now, float64(cost+Overhead)))
}

func (s *Scheduler) isCached(now time.Time, part uint64, instance string) bool {
	engines, ok := s.cached.Get(part)
	return ok && now.Sub(engines[instance].last) < cacheLifetime
}

func (s *Scheduler) recordCached(now time.Time, part uint64, instance string) {
	if part == 0 {
		return
	}
	engines, ok := s.cached.Get(part)
	if !ok {
		engines = make(map[string]cacheEntry)
		s.cached.Add(part, engines)
	}
	for name, entry := range engines {
		if now.Sub(entry.last) > cacheLifetime {
			delete(engines, name)
		}
	}
	entry, ok := engines[instance]
	if !ok {
		entry.first = now
	}
	entry.last = now
	engines[instance] = entry
}
