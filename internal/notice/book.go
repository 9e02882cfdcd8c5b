// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package notice

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// RestMost bounds one rest: after it a request finds out whether the server still wants
	// none, so that a wrong value doesn't leave it idle for ever.
	RestMost = 5 * time.Minute
	// spreadShare of a rest, spreadMost at most, is how much later than it ends hosts
	// come back, each at a moment of its own: the server answered them at about the
	// same time.
	spreadShare = 0.25
	spreadMost  = 500 * time.Millisecond
	// leavingFor is how long it is kept that a run leaves which is not listed any
	// more; its entry may come back late.
	leavingFor = time.Hour
	// serversMost bounds the servers that something is held of.
	serversMost = 8192
)

// Options are a Book's dependencies; all are needed.
type Options struct {
	// Boot is the clock that goes on while the host is suspended: a server's rest does.
	Boot   func() time.Duration
	Random *rand.Rand
	Log    logrus.FieldLogger
	Scope  tally.Scope
	// Leaves is told, without the Book's lock, of each run that is newly known to
	// leave and where that is from.
	Leaves func(s Server, from Source)
}

// leave is that a run leaves.
type leave struct {
	from Source
	// since is when that was heard, and listed when the run was last seen in the list or
	// else heard of, by Boot.
	since  time.Duration
	listed time.Duration
}

// rest is that a run wants nothing from this host.
type rest struct {
	// asked is when it said so last, and until when this host comes back, by Boot.
	asked time.Duration
	until time.Duration
}

// Book is what one host believes of backend servers by their own words. It is safe for
// concurrent use.
type Book struct {
	options Options

	mu sync.Mutex
	// leaving and resting are by instance, serversMost each at most. What is in resting
	// may be over.
	leaving map[string]*leave
	resting map[string]rest
}

// NewBook returns a book that holds nothing.
func NewBook(options Options) *Book {
	return &Book{options: options, leaving: make(map[string]*leave), resting: make(map[string]rest)}
}

// Heard takes in what an answer of a server tells of it.
func (b *Book) Heard(s Server, n Notice) {
	if n.Rest > 0 {
		b.noteRest(s, n.Rest)
	}
	if n.Leaving {
		b.Left(s, SourceAnswer)
	}
}

// Left takes in that a run leaves. What was heard first stays.
func (b *Book) Left(s Server, from Source) {
	if !b.noteLeaving(s, from) {
		return
	}
	b.options.Scope.Tagged(map[string]string{"source": string(from)}).Counter("notices_leaving").Inc(1)
	b.options.Log.WithFields(logrus.Fields{"server": s.Instance, "address": s.Address, "source": from}).Info("a backend server leaves")
	b.options.Leaves(s, from)
}

// noteLeaving notes that a run leaves and reports whether that is new.
func (b *Book) noteLeaving(s Server, from Source) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving[s.Instance] != nil {
		return false
	}
	if len(b.leaving) >= serversMost {
		b.options.Scope.Counter("notices_dropped").Inc(1)
		return false
	}
	now := b.options.Boot()
	b.leaving[s.Instance] = &leave{from: from, since: now, listed: now}
	return true
}

// noteRest notes that a run wants nothing from this host. A shorter rest doesn't end a
// longer one before its time.
func (b *Book) noteRest(s Server, asked time.Duration) {
	now := b.options.Boot()
	b.mu.Lock()
	old, held := b.resting[s.Instance]
	known := old.until > now
	until := max(now+b.spread(min(asked, RestMost)), old.until)
	full := !held && len(b.resting) >= serversMost
	if !full {
		b.resting[s.Instance] = rest{asked: now, until: until}
	}
	b.mu.Unlock()
	if full {
		b.options.Scope.Counter("notices_dropped").Inc(1)
		return
	}
	b.options.Scope.Counter("notices_rest").Inc(1)
	b.options.Log.WithFields(logrus.Fields{
		"server": s.Instance, "address": s.Address, "asked_ms": asked.Milliseconds(), "for_ms": (until - now).Milliseconds(), "rested": known,
	}).Info("a backend server asks for rest")
}

// spread returns when this host comes back after a rest. The mutex must be held.
func (b *Book) spread(asked time.Duration) time.Duration {
	most := min(time.Duration(spreadShare*float64(asked)), spreadMost)
	return asked + time.Duration(b.options.Random.Float64()*float64(most))
}

// Leaving reports whether a run is known to leave.
func (b *Book) Leaving(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving[instance] != nil
}

// Rest returns for how long a run is to get nothing from this host yet; 0 is not at all.
func (b *Book) Rest(instance string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.resting[instance]
	if !ok {
		return 0
	}
	return max(r.until-b.options.Boot(), 0)
}

// Resting returns the runs that are to get nothing from this host yet, in no order.
func (b *Book) Resting() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.resting) == 0 {
		return nil
	}
	now := b.options.Boot()
	var resting []string
	for instance, r := range b.resting {
		if r.until > now {
			resting = append(resting, instance)
		}
	}
	return resting
}

// Listed notes which runs are listed now: of those it is kept for as long that they
// leave. It must be called about once a second.
func (b *Book) Listed(lists func(instance string) bool) {
	now := b.options.Boot()
	b.mu.Lock()
	defer b.mu.Unlock()
	for instance, l := range b.leaving {
		if lists(instance) {
			l.listed = now
		}
	}
}

// Forget lets go of what is over. It must be called about once a second.
func (b *Book) Forget() {
	now := b.options.Boot()
	b.mu.Lock()
	defer b.mu.Unlock()
	for instance, r := range b.resting {
		if now >= r.until {
			delete(b.resting, instance)
		}
	}
	for instance, l := range b.leaving {
		if now-l.listed >= leavingFor {
			delete(b.leaving, instance)
		}
	}
	b.options.Scope.Gauge("servers_leaving").Update(float64(len(b.leaving)))
	b.options.Scope.Gauge("servers_resting").Update(float64(len(b.resting)))
}

// Entry is what is believed of one run, for people.
type Entry struct {
	Instance string `json:"instance"`
	Leaving  bool   `json:"leaving,omitempty"`
	// Source is where the host has it from that the run leaves, and SinceMs for how
	// long.
	Source  Source `json:"source,omitempty"`
	SinceMs int64  `json:"since_ms,omitempty"`
	// RestMs is how long it rests yet, and AskedMs how long ago it asked for that.
	RestMs  int64 `json:"rest_ms,omitempty"`
	AskedMs int64 `json:"asked_ms,omitempty"`
}

// State returns up to most of the runs that something is believed of, by name.
func (b *Book) State(most int) []Entry {
	now := b.options.Boot()
	b.mu.Lock()
	defer b.mu.Unlock()
	byName := make(map[string]Entry)
	for instance, l := range b.leaving {
		byName[instance] = Entry{Instance: instance, Leaving: true, Source: l.from, SinceMs: (now - l.since).Milliseconds()}
	}
	for instance, r := range b.resting {
		if now >= r.until {
			continue
		}
		e := byName[instance]
		e.Instance, e.RestMs, e.AskedMs = instance, (r.until - now).Milliseconds(), (now - r.asked).Milliseconds()
		byName[instance] = e
	}
	entries := make([]Entry, 0, len(byName))
	for _, e := range byName {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Instance, b.Instance) })
	return entries[:min(len(entries), most)]
}
