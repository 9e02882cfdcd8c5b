// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package trial

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/suspect"
)

// maxOwnersTried is how many hosts are asked for a trial before this host decides itself.
const maxOwnersTried = 2

const (
	// maxAnsweredRequests is how many requests a host counts answers to. The requests of which many
	// answers matter are those that come often.
	maxAnsweredRequests = 4096
	// maxAnsweredParts is how many parts of prompts a host remembers the last answers to.
	maxAnsweredParts = 8192
	// answersTTL is how long answers are counted.
	answersTTL = time.Hour
)

// Options holds the dependencies of a Group. All are required.
type Options struct {
	Owners *owner.Finder
	// Spread sends crashes to the other hosts.
	Spread func(crashes []suspect.Crash)
	// RequestTrial asks a host to grant a trial. ReleaseTrial notifies it that the trial is over.
	RequestTrial func(ctx context.Context, peer netip.AddrPort, digest suspect.Digest) (bool, error)
	ReleaseTrial func(peer netip.AddrPort, digest suspect.Digest)
	Log          logrus.FieldLogger
	Scope        tally.Scope
}

// Group is one host's record of crashes under requests and of the trials that it has granted. It
// is safe for concurrent use.
type Group struct {
	options Options
	// crashCount is the number of crashes in the set. While it is 0, no request has to lock the
	// mutex.
	crashCount atomic.Int64

	mu     sync.Mutex
	set    *suspect.CrashSet
	trials *suspect.Trials
	// answers counts the whole answers to recent requests on this host, by version of the servers.
	answers *lru.Cache[answeredBy, answerCount]
	// partAnswers has when this host last got a whole answer to a request with a part, by version.
	partAnswers *lru.Cache[answeredBy, time.Time]
	// loggedStates holds the state last logged of each request, unless that is free.
	loggedStates map[suspect.Digest]suspect.State
}

// answeredBy identifies the answers of servers of one version to a request, or to requests with a part.
type answeredBy struct {
	digest  suspect.Digest
	version suspect.Version
}

// answerCount is how many answers there were since the first.
type answerCount struct {
	count uint32
	since time.Time
}

// New returns a group without crashes.
func New(options Options) *Group {
	answers, err := lru.New[answeredBy, answerCount](maxAnsweredRequests)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	partAnswers, err := lru.New[answeredBy, time.Time](maxAnsweredParts)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Group{
		options: options, set: suspect.NewCrashSet(), trials: suspect.NewTrials(), answers: answers, partAnswers: partAnswers,
		loggedStates: make(map[suspect.Digest]suspect.State),
	}
}

// Sum returns a checksum that is equal for hosts that know the same crashes.
func (g *Group) Sum() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Sum()
}

// Crashes returns all known crashes.
func (g *Group) Crashes() []suspect.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Crashes()
}

// Merge adds crashes that another host reported, and returns those that are new or changed.
func (g *Group) Merge(crashes []suspect.Crash) []suspect.Crash {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.set.Merge(now, crashes...)
	for _, e := range changed {
		// The crash is the outcome of the trial, if there is one. Requests with a part may have been sent
		// before that began.
		if e.EndsTrial() {
			g.trials.End(e.Digest)
		}
	}
	for _, e := range changed {
		by := answeredBy{e.Digest, e.Version}
		if !e.Part {
			changed = append(changed, g.set.RecordAnswers(e.Digest, e.Version, g.answersOf(now, by).count)...)
		} else if at, ok := g.partAnswers.Get(by); ok && now.Sub(at) < answersTTL {
			changed = append(changed, g.set.RecordPartAnswer(e.Digest, e.Version, at)...)
		}
	}
	g.recordChanges(now, changed)
	return changed
}

// RecordCrashes adds crashes that this host has observed, and sends them to the other hosts.
func (g *Group) RecordCrashes(crashes []suspect.Crash) {
	g.options.Spread(g.Merge(crashes))
}

// answersOf returns the whole answers of servers of a version to a request that this host has counted.
// The mutex must be held.
func (g *Group) answersOf(now time.Time, by answeredBy) answerCount {
	c, ok := g.answers.Get(by)
	if !ok || now.Sub(c.since) >= answersTTL {
		return answerCount{since: now}
	}
	return c
}

// Answer is a whole answer to a request.
type Answer struct {
	Digest suspect.Digest
	// Parts are the shared parts of the prompt. It is empty if the server has refused the request.
	Parts []suspect.Digest
	// ID is the caller's id of the attempt.
	ID string
	// Instance is the run of the server, and Version that of its software.
	Instance string
	Version  suspect.Version
	// Framing is how the server marked the end of the answer.
	Framing exchange.Framing
}

// RecordAnswer records an answer, and sends the crashes that the answers outweigh now to the other hosts.
func (g *Group) RecordAnswer(a Answer) {
	now := time.Now()
	by := answeredBy{a.Digest, a.Version}
	g.mu.Lock()
	answers := g.answersOf(now, by)
	answers.count++
	g.answers.Add(by, answers)
	cleared := g.set.RecordAnswers(a.Digest, a.Version, answers.count)
	clearedParts := g.recordPartAnswers(now, a)
	g.recordChanges(now, cleared)
	g.recordChanges(now, clearedParts)
	g.mu.Unlock()
	if len(clearedParts) > 0 {
		g.options.Spread(clearedParts)
	}
	if len(cleared) == 0 {
		return
	}
	g.options.Scope.Counter("ends_cleared").Inc(int64(len(cleared)))
	g.options.Log.WithFields(logrus.Fields{
		"request": a.ID, "digest": a.Digest, "server": a.Instance, "framing": a.Framing.String(), "answers": answers.count, "ends": len(cleared),
	}).Info("an answer cleared a request of crashes")
	g.options.Spread(cleared)
}

// recordPartAnswers records a whole answer for the parts of its prompt, and returns the crashes that have
// changed. The mutex must be held.
func (g *Group) recordPartAnswers(now time.Time, a Answer) []suspect.Crash {
	var changed []suspect.Crash
	for _, part := range a.Parts {
		g.partAnswers.Add(answeredBy{part, a.Version}, now)
		changed = append(changed, g.set.RecordPartAnswer(part, a.Version, now)...)
	}
	g.options.Scope.Counter("part_ends_cleared").Inc(int64(len(changed)))
	return changed
}

// recordChanges logs the requests whose state has changed by crashes, and updates the counters
// and gauges. The mutex must be held.
func (g *Group) recordChanges(now time.Time, crashes []suspect.Crash) {
	g.crashCount.Store(int64(g.set.Len()))
	g.options.Scope.Gauge("suspect_ends").Update(float64(g.set.Len()))
	g.options.Scope.Gauge("suspect_ends_evicted").Update(float64(g.set.Evicted()))
	for _, e := range crashes {
		g.logState(now, e.Digest)
	}
	// A request whose crashes have expired is removed from the map when it is next looked up;
	// the map must be bounded as this may never happen.
	if len(g.loggedStates) > suspect.MaxCrashes {
		clear(g.loggedStates)
	}
	g.options.Scope.Gauge("suspect_requests").Update(float64(len(g.loggedStates)))
}

// logState logs the state of a request or a part if it has changed. The mutex must be held.
func (g *Group) logState(now time.Time, digest suspect.Digest) {
	v := g.set.Assess(now, digest)
	if v.State == g.loggedStates[digest] {
		return
	}
	log := g.options.Log.WithFields(logrus.Fields{
		"digest": digest, "part": v.Part, "state": v.State, "before": g.loggedStates[digest], "ends": v.Crashes, "counted": v.Attributed,
		"trials": v.Trials,
	})
	if v.State == suspect.Free {
		delete(g.loggedStates, digest)
	} else {
		g.loggedStates[digest] = v.State
	}
	if v.State == suspect.Quarantined {
		log = log.WithField("for_ms", v.Until.Sub(now).Milliseconds())
	}
	log.Warn("state of a suspected request changed")
}

// Assess returns the verdict on a request and the parts of its prompt.
func (g *Group) Assess(traits suspect.Traits) suspect.Verdict {
	if g.crashCount.Load() == 0 {
		return suspect.Verdict{}
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.set.AssessAll(now, traits)
	if v.State != suspect.Free || len(g.loggedStates) > 0 {
		// States also change as time passes.
		g.logState(now, traits.Request)
		for _, part := range traits.Parts {
			g.logState(now, part)
		}
	}
	return v
}

// RemoveExpired removes expired crashes. It must be called about once a second.
func (g *Group) RemoveExpired() {
	if g.crashCount.Load() == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.set.RemoveExpired(now)
	g.recordChanges(now, nil)
}

// GrantTrial grants a trial to another host and reports true, unless a trial is in progress or the
// request is quarantined.
func (g *Group) GrantTrial(digest suspect.Digest) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Assess(now, digest).State != suspect.Quarantined && g.trials.Begin(now, digest)
}

// EndTrial ends the trial of a request.
func (g *Group) EndTrial(digest suspect.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trials.End(digest)
}

// StartTrial asks the owner for a trial of a suspected request, and reports false if one is in
// progress on any host. The caller must call over at the end of the trial, unless a server crashed
// during it.
func (g *Group) StartTrial(ctx context.Context, digest suspect.Digest) (over func(), ok bool) {
	outcomes := g.outcomes(digest)
	endUnlessOver := func(end func()) func() {
		return func() {
			// A crash since then has ended the trial, and another one may have been granted.
			if g.outcomes(digest) == outcomes {
				end()
			}
		}
	}
	for _, p := range g.options.Owners.PeersFor(digest.String(), maxOwnersTried) {
		granted, err := g.options.RequestTrial(ctx, p.Control, digest)
		if err == nil {
			return endUnlessOver(func() { g.options.ReleaseTrial(p.Control, digest) }), granted
		}
		if ctx.Err() != nil {
			return nil, false
		}
		g.options.Owners.Avoid(p.Address)
		g.options.Scope.Counter("owner_failed").Inc(1)
		g.options.Log.WithError(err).WithFields(logrus.Fields{"peer": p.Address, "digest": digest}).Warn("the owner of a suspected request failed")
	}
	return endUnlessOver(func() { g.EndTrial(digest) }), g.GrantTrial(digest)
}

// outcomes returns how many known crashes have ended trials of a request or a part.
func (g *Group) outcomes(digest suspect.Digest) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Outcomes(digest)
}

// State returns up to most requests under which several servers crashed, for the diagnostic
// dump.
func (g *Group) State(most int) []suspect.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.set.Entries(time.Now(), most)
}
