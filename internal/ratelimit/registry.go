// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/option"
)

const (
	// maxInstances is the most runs whose limits are stored.
	maxInstances = 8192
	// unlistedTTL is how long the limit of a run that is no longer listed is kept, since its
	// list entry may reappear.
	unlistedTTL = 10 * time.Minute
)

// Source is how a host learned of a limit.
type Source string

// The sources of limits: an answer of the run, another host, or another run of the same service.
const (
	SourceAnswer  Source = "answer"
	SourcePeer    Source = "peer"
	SourceService Source = "service"
)

// record is the limit of one run.
type record struct {
	Limit
	source Source
	// learnedAt is when this host learned of the current state, and listedAt when the run was
	// last listed.
	learnedAt time.Time
	listedAt  time.Time
	// deferredUntil is when this host may next ask for a permit, by sinceBoot.
	deferredUntil time.Duration
	// spreads counts how often the current state was sent to peers.
	spreads int
}

// Registry stores the limits known to one host. It is safe for concurrent use.
type Registry struct {
	sinceBoot func() time.Duration
	log       logrus.FieldLogger
	scope     tally.Scope
	// restrictedCount is the number of runs that are limited or brittle. While it is 0, no request
	// locks the mutex.
	restrictedCount atomic.Int64

	mu sync.Mutex
	// records are indexed by instance. There are at most maxInstances.
	records map[string]*record
}

// NewRegistry returns an empty registry. sinceBoot returns the time since boot, including time
// during which the host was suspended.
func NewRegistry(sinceBoot func() time.Duration, log logrus.FieldLogger, scope tally.Scope) *Registry {
	return &Registry{sinceBoot: sinceBoot, log: log, scope: scope, records: make(map[string]*record)}
}

// RecordAnswer records what an answer of a run states: its rate, or that it has no limit. sentAt
// is when the request was sent. An answer to a request that was sent before this host learned of
// the current state may have been overtaken, and is ignored. It reports whether the state changed.
func (r *Registry) RecordAnswer(instance string, limited bool, perSecond float64, sentAt time.Time) bool {
	if !limited && r.restrictedCount.Load() == 0 {
		return false
	}
	return r.change(instance, sentAt, func(l *Limit) { l.Limited, l.PerSecond = limited, perSecond })
}

// RecordBrittleness records that an answer of a run states that it is brittle and how many requests
// it can reject in a second, or that it is not brittle. It reports whether the state changed, like
// RecordAnswer.
func (r *Registry) RecordBrittleness(instance string, rejections option.Value[int], sentAt time.Time) bool {
	count, brittle := rejections.Get()
	if !brittle && r.restrictedCount.Load() == 0 {
		return false
	}
	return r.change(instance, sentAt, func(l *Limit) { l.Brittle, l.Rejections = brittle, count })
}

// change changes the state of a run by an answer, and reports whether it changed.
func (r *Registry) change(instance string, sentAt time.Time, change func(l *Limit)) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[instance]
	stated := Limit{Instance: instance}
	if known != nil {
		stated = known.Limit
	}
	change(&stated)
	switch {
	case known == nil && !stated.restricts():
		return false
	case known != nil && (known.sameRate(stated) && known.sameBrittleness(stated) || sentAt.Before(known.learnedAt)):
		return false
	}
	stated.Version++
	return r.put(now, stated, SourceAnswer)
}

// RestrictsAny reports whether any run is known to have a rate limit or to be brittle.
func (r *Registry) RestrictsAny() bool {
	return r.restrictedCount.Load() > 0
}

// Inherit makes a run that nothing is known of brittle, if one of the other runs of its service is,
// until an answer of the run says otherwise. Hosts would otherwise send more to a server that has
// just restarted than it has room for.
func (r *Registry) Inherit(instance string, others []string) {
	if !r.RestrictsAny() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records[instance] != nil {
		return
	}
	for _, other := range others {
		if known := r.records[other]; known != nil && known.Brittle {
			r.put(time.Now(), Limit{Instance: instance, Brittle: true, Rejections: known.Rejections}, SourceService)
			return
		}
	}
}

// Merge records the states that a peer knows, and reports whether any was new.
func (r *Registry) Merge(limits []Limit) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, l := range limits {
		if known := r.records[l.Instance]; known != nil && !l.supersedes(known.Limit) {
			continue
		}
		changed = r.put(now, l, SourcePeer) || changed
	}
	return changed
}

// put stores a state and reports whether there was room for it. The mutex must be held.
func (r *Registry) put(now time.Time, l Limit, source Source) bool {
	known := r.records[l.Instance]
	if known == nil && len(r.records) >= maxInstances {
		r.scope.Counter("limits_dropped").Inc(1)
		return false
	}
	if known == nil {
		known = &record{listedAt: now}
		r.records[l.Instance] = known
	}
	rateChanged, brittlenessChanged := !known.sameRate(l), !known.sameBrittleness(l)
	known.Limit, known.source, known.learnedAt, known.spreads = l, source, now, 0
	if rateChanged || brittlenessChanged {
		known.deferredUntil = 0
	}
	r.updateCount()
	if rateChanged {
		r.logChange(l, source)
	}
	if brittlenessChanged {
		r.logBrittleness(l, source)
	}
	return true
}

// logBrittleness logs and counts that a run begins or ends to be brittle.
func (r *Registry) logBrittleness(l Limit, source Source) {
	r.scope.Tagged(map[string]string{"source": string(source)}).Counter("brittleness_changed").Inc(1)
	fields := logrus.Fields{"server": l.Instance, "source": source, "version": l.Version}
	if !l.Brittle {
		r.log.WithFields(fields).Info("a backend server is not brittle any more")
		return
	}
	fields["rejections"] = l.Rejections
	r.log.WithFields(fields).Info("a backend server is brittle")
}

// logChange logs and counts a changed limit.
func (r *Registry) logChange(l Limit, source Source) {
	r.scope.Tagged(map[string]string{"source": string(source)}).Counter("limits_changed").Inc(1)
	fields := logrus.Fields{"server": l.Instance, "source": source, "version": l.Version}
	if !l.Limited {
		r.log.WithFields(fields).Info("a backend server lifts its rate limit")
		return
	}
	fields["per_second"] = l.PerSecond
	r.log.WithFields(fields).Info("a backend server states a rate limit")
}

// updateCount updates the numbers of limited and brittle runs. The mutex must be held.
func (r *Registry) updateCount() {
	limited, brittle, restricted := 0, 0, 0
	for _, known := range r.records {
		if known.Limited {
			limited++
		}
		if known.Brittle {
			brittle++
		}
		if known.restricts() {
			restricted++
		}
	}
	r.restrictedCount.Store(int64(restricted))
	r.scope.Gauge("servers_limited").Update(float64(limited))
	r.scope.Gauge("servers_brittle").Update(float64(brittle))
}

// Lookup returns the rate limit of a run, and false if it has none.
func (r *Registry) Lookup(instance string) (Limit, bool) {
	l, _ := r.Restriction(instance)
	if !l.Limited {
		return Limit{}, false
	}
	return l, true
}

// Restriction returns the limits of a run, and false if it is neither limited nor brittle.
func (r *Registry) Restriction(instance string) (Limit, bool) {
	if r.restrictedCount.Load() == 0 {
		return Limit{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[instance]
	if known == nil || !known.restricts() {
		return Limit{}, false
	}
	return known.Limit, true
}

// state returns the state of a run, also if it has lifted its limit.
func (r *Registry) state(instance string) (Limit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.records[instance]; known != nil {
		return known.Limit, true
	}
	return Limit{}, false
}

// Defer makes this host ask for no permit for a run until wait has passed or the limit changes.
func (r *Registry) Defer(instance string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.records[instance]; known != nil && known.restricts() {
		known.deferredUntil = max(known.deferredUntil, r.sinceBoot()+wait)
	}
}

// Deferral returns how much longer this host must send nothing to a run because the run's limit is
// used up; 0 if it may ask for a permit.
func (r *Registry) Deferral(instance string) time.Duration {
	if r.restrictedCount.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[instance]
	if known == nil || !known.restricts() {
		return 0
	}
	return max(known.deferredUntil-r.sinceBoot(), 0)
}

// Deferred returns the runs that this host must send nothing to because their limits are used up,
// in no particular order.
func (r *Registry) Deferred() []string {
	if r.restrictedCount.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.sinceBoot()
	var deferred []string
	for instance, known := range r.records {
		if known.restricts() && known.deferredUntil > now {
			deferred = append(deferred, instance)
		}
	}
	return deferred
}

// News returns up to most states to send to a peer, those sent least often first.
func (r *Registry) News(most int) []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 {
		return nil
	}
	records := make([]*record, 0, len(r.records))
	for _, known := range r.records {
		records = append(records, known)
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.spreads, b.spreads), strings.Compare(a.Instance, b.Instance))
	})
	news := make([]Limit, 0, min(most, len(records)))
	for _, known := range records[:min(most, len(records))] {
		known.spreads++
		news = append(news, known.Limit)
	}
	return news
}

// RemoveExpired removes the limits of runs that have not been listed for unlistedTTL. It must be
// called about once a second.
func (r *Registry) RemoveExpired(isListed func(instance string) bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for instance, known := range r.records {
		if isListed(instance) {
			known.listedAt = now
		} else if now.Sub(known.listedAt) >= unlistedTTL {
			delete(r.records, instance)
		}
	}
	r.updateCount()
}

// Entry is the limit of one run in the diagnostic dump.
type Entry struct {
	Instance  string  `json:"instance"`
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"per_second"`
	// Rejections is how many requests a brittle run can reject in a second.
	Brittle    bool   `json:"brittle,omitempty"`
	Rejections int    `json:"rejections,omitempty"`
	Version    uint64 `json:"version"`
	Source     Source `json:"source"`
	// SinceMs is how long this host has known the state, in milliseconds.
	SinceMs int64 `json:"since_ms"`
}

// State returns up to most limits, ordered by instance.
func (r *Registry) State(most int) []Entry {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := make([]Entry, 0, len(r.records))
	for _, known := range r.records {
		entries = append(entries, Entry{
			Instance: known.Instance, Limited: known.Limited, PerSecond: known.PerSecond, Version: known.Version,
			Brittle: known.Brittle, Rejections: known.Rejections,
			Source: known.source, SinceMs: now.Sub(known.learnedAt).Milliseconds(),
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Instance, b.Instance) })
	return entries[:min(len(entries), most)]
}
