// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package notice

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// MaxRest is the longest rest. After it, a request finds out whether the server still
	// wants none, so that a wrong value cannot leave the server idle forever.
	MaxRest = 5 * time.Minute
	// Each host adds a random jitter to a rest, of up to jitterShare of its length and at
	// most maxJitter. Without it, all hosts would send again at once, as the server answered
	// them at about the same time.
	jitterShare = 0.25
	maxJitter   = 500 * time.Millisecond
	// leavingTTL is how long a run that is no longer listed is remembered as leaving. Its
	// list entry may reappear late.
	leavingTTL = time.Hour
	// maxServers is the most runs stored as leaving, and the most stored as resting.
	maxServers = 8192
)

// Options holds the dependencies of a Registry. All are required.
type Options struct {
	// SinceBoot returns the time since boot, including time during which the host was suspended,
	// because a server's rest goes on during a suspension.
	SinceBoot func() time.Duration
	Random    *rand.Rand
	Log       logrus.FieldLogger
	Scope     tally.Scope
	// OnLeaving is called once for each run that is found to be leaving, with the source of
	// the information. The Registry's mutex is not held.
	OnLeaving func(s Server, source Source)
	// OnLimit is called for each answer that states whether its server has a rate limit.
	OnLimit func(s Server, limit StatedLimit, sentAt time.Time)
	// OnBrittleness is called for each answer that states whether its server is brittle.
	OnBrittleness func(s Server, b StatedBrittleness, sentAt time.Time)
	// UsesLoad reports whether loads are used at present. If not, they are ignored, and invalid
	// ones not logged.
	UsesLoad func() bool
	// OnLoad is called for each answer that states its server's load. The Registry's mutex is
	// not held.
	OnLoad func(s Server, load StatedLoad)
}

// leavingRecord records that a run is leaving.
type leavingRecord struct {
	source Source
	// receivedAt is when the notice was received, and lastListedAt when the run was last in
	// the server list, or receivedAt if it has not been since. Both are by SinceBoot.
	receivedAt   time.Duration
	lastListedAt time.Duration
}

// restRecord records that a run wants no requests from this host for a while.
type restRecord struct {
	// askedAt is when the run last asked for a rest, and endsAt when this host may send to it
	// again. Both are by SinceBoot.
	askedAt time.Duration
	endsAt  time.Duration
}

// Registry stores which runs of backend servers are leaving or resting, according to the servers'
// own notices. It is safe for concurrent use.
type Registry struct {
	options Options

	mu sync.Mutex
	// leaving and resting are indexed by instance and have at most maxServers entries each.
	// resting may contain rests that are over.
	leaving map[string]*leavingRecord
	resting map[string]restRecord
	// invalidLoads has the listed instances whose invalid load was logged, at most maxServers.
	invalidLoads map[string]bool
}

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{
		options: options, leaving: make(map[string]*leavingRecord), resting: make(map[string]restRecord), invalidLoads: make(map[string]bool),
	}
}

// RecordNotice records the notice in an answer of a server.
func (b *Registry) RecordNotice(s Server, n Notice) {
	if n.Rest > 0 {
		b.addRest(s, n.Rest)
	}
	if n.Leaving {
		b.RecordLeaving(s, SourceAnswer)
	}
	if n.Limit.Stated {
		b.options.OnLimit(s, n.Limit, n.SentAt)
	}
	if n.Brittleness.Stated {
		b.options.OnBrittleness(s, n.Brittleness, n.SentAt)
	}
	if (n.Load.Stated || n.Load.Invalid != "") && b.options.UsesLoad() {
		b.recordLoad(s, n.Load)
	}
}

func (b *Registry) recordLoad(s Server, load StatedLoad) {
	if load.Stated {
		b.options.OnLoad(s, load)
		return
	}
	b.logInvalidLoad(s, load.Invalid)
}

// logInvalidLoad logs an invalid load, once for each run.
func (b *Registry) logInvalidLoad(s Server, value string) {
	b.options.Scope.Counter("loads_invalid").Inc(1)
	b.mu.Lock()
	logged := b.invalidLoads[s.Instance] || len(b.invalidLoads) >= maxServers
	if !logged {
		b.invalidLoads[s.Instance] = true
	}
	b.mu.Unlock()
	if !logged {
		b.options.Log.WithFields(logrus.Fields{"server": s.Instance, "address": s.Address, "value": value}).
			Warn("a backend server states an invalid load; ignored")
	}
}

// RecordLeaving records that a run is leaving. Only the first notice of a run has an effect.
func (b *Registry) RecordLeaving(s Server, source Source) {
	if !b.addLeaving(s, source) {
		return
	}
	b.options.Scope.Tagged(map[string]string{"source": string(source)}).Counter("notices_leaving").Inc(1)
	b.options.Log.WithFields(logrus.Fields{"server": s.Instance, "address": s.Address, "source": source}).Info("a backend server leaves")
	b.options.OnLeaving(s, source)
}

// addLeaving stores that a run is leaving, and reports whether that is new.
func (b *Registry) addLeaving(s Server, source Source) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving[s.Instance] != nil {
		return false
	}
	if len(b.leaving) >= maxServers {
		b.options.Scope.Counter("notices_dropped").Inc(1)
		return false
	}
	now := b.options.SinceBoot()
	b.leaving[s.Instance] = &leavingRecord{source: source, receivedAt: now, lastListedAt: now}
	return true
}

// addRest stores that a run wants no requests from this host. It never shortens an
// earlier rest.
func (b *Registry) addRest(s Server, asked time.Duration) {
	now := b.options.SinceBoot()
	b.mu.Lock()
	old, exists := b.resting[s.Instance]
	wasResting := old.endsAt > now
	endsAt := max(now+b.withJitter(min(asked, MaxRest)), old.endsAt)
	full := !exists && len(b.resting) >= maxServers
	if !full {
		b.resting[s.Instance] = restRecord{askedAt: now, endsAt: endsAt}
	}
	b.mu.Unlock()
	if full {
		b.options.Scope.Counter("notices_dropped").Inc(1)
		return
	}
	b.options.Scope.Counter("notices_rest").Inc(1)
	b.options.Log.WithFields(logrus.Fields{
		"server": s.Instance, "address": s.Address, "asked_ms": asked.Milliseconds(), "for_ms": (endsAt - now).Milliseconds(), "rested": wasResting,
	}).Info("a backend server asks for rest")
}

// withJitter returns the length of a rest with its jitter. The mutex must be held.
func (b *Registry) withJitter(asked time.Duration) time.Duration {
	jitter := min(time.Duration(jitterShare*float64(asked)), maxJitter)
	return asked + time.Duration(b.options.Random.Float64()*float64(jitter))
}

// Leaving reports whether a run is known to be leaving.
func (b *Registry) Leaving(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving[instance] != nil
}

// LeavingFor returns for how long a run has been known to be leaving. It reports false if it is not.
func (b *Registry) LeavingFor(instance string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.leaving[instance]
	if !ok {
		return 0, false
	}
	return b.options.SinceBoot() - l.receivedAt, true
}

// Rest returns how much longer this host must send nothing to a run; 0 if the run is not
// resting.
func (b *Registry) Rest(instance string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.resting[instance]
	if !ok {
		return 0
	}
	return max(r.endsAt-b.options.SinceBoot(), 0)
}

// Resting returns the runs that this host must send nothing to, in no particular order.
func (b *Registry) Resting() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.resting) == 0 {
		return nil
	}
	now := b.options.SinceBoot()
	var resting []string
	for instance, r := range b.resting {
		if r.endsAt > now {
			resting = append(resting, instance)
		}
	}
	return resting
}

// MarkListed updates when the leaving runs were last in the server list, so that those that
// still are do not expire, and forgets the invalid loads of runs that are not listed. It must be
// called about once a second.
func (b *Registry) MarkListed(isListed func(instance string) bool) {
	now := b.options.SinceBoot()
	b.mu.Lock()
	defer b.mu.Unlock()
	for instance, l := range b.leaving {
		if isListed(instance) {
			l.lastListedAt = now
		}
	}
	maps.DeleteFunc(b.invalidLoads, func(instance string, _ bool) bool { return !isListed(instance) })
}

// RemoveExpired removes ended rests and leaving runs that have not been listed for leavingTTL. It
// must be called about once a second.
func (b *Registry) RemoveExpired() {
	now := b.options.SinceBoot()
	b.mu.Lock()
	defer b.mu.Unlock()
	for instance, r := range b.resting {
		if now >= r.endsAt {
			delete(b.resting, instance)
		}
	}
	for instance, l := range b.leaving {
		if now-l.lastListedAt >= leavingTTL {
			delete(b.leaving, instance)
		}
	}
	b.options.Scope.Gauge("servers_leaving").Update(float64(len(b.leaving)))
	b.options.Scope.Gauge("servers_resting").Update(float64(len(b.resting)))
}

// Entry is the state of one run in the diagnostic dump.
type Entry struct {
	Instance string `json:"instance"`
	Leaving  bool   `json:"leaving,omitempty"`
	// Source is the source of the notice that the run is leaving, and SinceMs how long ago
	// it was received.
	Source  Source `json:"source,omitempty"`
	SinceMs int64  `json:"since_ms,omitempty"`
	// RestMs is how much longer the run rests, and AskedMs how long ago it asked for that.
	RestMs  int64 `json:"rest_ms,omitempty"`
	AskedMs int64 `json:"asked_ms,omitempty"`
}

// State returns up to most of the runs that are leaving or resting, ordered by instance.
func (b *Registry) State(most int) []Entry {
	now := b.options.SinceBoot()
	b.mu.Lock()
	defer b.mu.Unlock()
	byInstance := make(map[string]Entry)
	for instance, l := range b.leaving {
		byInstance[instance] = Entry{Instance: instance, Leaving: true, Source: l.source, SinceMs: (now - l.receivedAt).Milliseconds()}
	}
	for instance, r := range b.resting {
		if now >= r.endsAt {
			continue
		}
		e := byInstance[instance]
		e.Instance, e.RestMs, e.AskedMs = instance, (r.endsAt - now).Milliseconds(), (now - r.askedAt).Milliseconds()
		byInstance[instance] = e
	}
	entries := make([]Entry, 0, len(byInstance))
	for _, e := range byInstance {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Instance, b.Instance) })
	return entries[:min(len(entries), most)]
}
