// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package versionlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// Retention is how long a version is kept after its last server was removed.
	Retention = 10 * time.Minute
	// SeenWindow is how long a version counts after its last server was removed, at least.
	SeenWindow = 30 * time.Second
	// learnTimeout limits one attempt to learn from other hosts and the publisher, and learnWait how long a
	// request waits for it.
	learnTimeout = 3 * time.Second
	learnWait    = 250 * time.Millisecond
	// learnInterval is the shortest time between two attempts.
	learnInterval = 500 * time.Millisecond
)

// Seen is a software version that servers of a service have, or had.
type Seen struct {
	Service string
	Version string
	// Ago is how long ago the last of its servers was removed; 0 if there are any.
	Ago time.Duration
}

// Report is what a host knows of the versions of servers.
type Report struct {
	// Observed is for how long the report has all versions, at most Retention.
	Observed time.Duration
	Versions []Seen
}

// Options holds the dependencies of a Log. All are required.
type Options struct {
	// Context is cancelled when the host stops.
	Context context.Context
	// Peers returns the reports of some hosts that have run for long.
	Peers func(ctx context.Context) []Report
	// History returns a report made from all changes of servers that there ever were, or an error if the
	// publisher does not have all of them.
	History func(ctx context.Context) (Report, error)
	Log     logrus.FieldLogger
	Scope   tally.Scope
}

// key is a software version of one service.
type key struct {
	service, version string
}

// Log is the record of one host. It is safe for concurrent use.
type Log struct {
	options Options

	mu sync.Mutex
	// listed counts the servers of each version. Versions without any have no entry.
	listed map[key]int
	// removed has when the last server of each version was removed, unless it is listed again.
	removed map[key]time.Time
	// since is the time from which on the record has all versions; zero while the host does not know all
	// servers.
	since time.Time
	// gaps counts how often changes may have been missed.
	gaps int
	// learning is closed at the end of the attempt that runs; nil if none does. learnedAt is when the last
	// one began.
	learning  chan struct{}
	learnedAt time.Time
}

// New returns an empty record.
func New(options Options) *Log {
	return &Log{options: options, listed: make(map[key]int), removed: make(map[key]time.Time)}
}

// Add records a server of a version.
func (l *Log) Add(service, version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{service, version}
	l.listed[k]++
	delete(l.removed, k)
}

// Remove records that a server of a version was removed.
func (l *Log) Remove(service, version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{service, version}
	if l.listed[k]--; l.listed[k] > 0 {
		return
	}
	delete(l.listed, k)
	l.removed[k] = time.Now()
}

// Saw records that a server of a version was listed for a moment, at least.
func (l *Log) Saw(service, version string) {
	l.Hear(Report{Versions: []Seen{{Service: service, Version: version}}})
}

// Hear adds the versions in a report.
func (l *Log) Hear(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSeen(time.Now(), r.Versions)
}

// addSeen adds versions that this host does not list itself. The mutex must be held.
func (l *Log) addSeen(now time.Time, versions []Seen) {
	for _, s := range versions {
		k := key{s.Service, s.Version}
		if at := now.Add(-s.Ago); l.listed[k] == 0 && at.After(l.removed[k]) {
			l.removed[k] = at
		}
	}
}

// Complete records that the host knows all servers from now on, and reports whether it did not before.
func (l *Log) Complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.since.IsZero() {
		return false
	}
	l.since = time.Now()
	return true
}

// Interrupt records that changes of servers may have been missed until now. The record is complete again
// after the next call of Complete.
func (l *Log) Interrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = time.Time{}
	l.gaps++
}

// Report returns what the host knows.
func (l *Log) Report() Report {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Observed: l.observed(now)}
	for k := range l.listed {
		r.Versions = append(r.Versions, Seen{Service: k.service, Version: k.version})
	}
	for k, at := range l.removed {
		if ago := now.Sub(at); ago < Retention {
			// A zero time would mean that the version has servers.
			r.Versions = append(r.Versions, Seen{Service: k.service, Version: k.version, Ago: max(ago, time.Millisecond)})
		}
	}
	return r
}

// observed returns for how long the record has all versions. The mutex must be held.
func (l *Log) observed(now time.Time) time.Duration {
	if l.since.IsZero() {
		return 0
	}
	return min(now.Sub(l.since), Retention)
}

// During returns the versions that the servers of a service have had within window, or SeenWindow if that is
// longer, in ascending order, and whether all of those within window are known. It asks other hosts and the publisher if this host has not run long
// enough to tell.
func (l *Log) During(ctx context.Context, service string, window time.Duration) (versions []string, complete bool) {
	versions, complete = l.Known(service, window)
	if complete || len(versions) > 1 {
		return versions, complete
	}
	l.Learn(ctx, window)
	return l.Known(service, window)
}

// Known is like During, but asks nobody.
func (l *Log) Known(service string, window time.Duration) (versions []string, complete bool) {
	now := time.Now()
	seen := max(window, SeenWindow)
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.listed {
		if k.service == service {
			versions = append(versions, k.version)
		}
	}
	for k, at := range l.removed {
		if now.Sub(at) >= Retention {
			delete(l.removed, k)
			continue
		}
		if k.service == service && now.Sub(at) < seen {
			versions = append(versions, k.version)
		}
	}
	slices.Sort(versions)
	return versions, l.observed(now) >= min(window, Retention)
}

// Learn waits for an attempt to learn which versions there were within window, before this host started. It
// begins one unless one has begun lately.
func (l *Log) Learn(ctx context.Context, window time.Duration) {
	l.mu.Lock()
	if l.learning == nil && !l.since.IsZero() && time.Since(l.learnedAt) >= learnInterval {
		l.learnedAt = time.Now()
		done := make(chan struct{})
		l.learning = done
		go func() {
			defer close(done)
			l.attempt(window)
		}()
	}
	done := l.learning
	l.mu.Unlock()
	if done == nil {
		return
	}
	wait := time.NewTimer(learnWait)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	case <-ctx.Done():
	}
}

// attempt asks other hosts, and the publisher if none of them has run long enough.
func (l *Log) attempt(window time.Duration) {
	defer func() {
		l.mu.Lock()
		l.learning = nil
		l.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(l.options.Context, learnTimeout)
	defer cancel()
	l.mu.Lock()
	gaps := l.gaps
	l.mu.Unlock()
	source, longest := "peers", time.Duration(0)
	for _, r := range l.options.Peers(ctx) {
		longest = max(longest, r.Observed)
		l.merge(r, gaps)
	}
	if longest < window {
		r, err := l.options.History(ctx)
		if err != nil {
			l.options.Scope.Counter("version_history_unknown").Inc(1)
			l.options.Log.WithError(err).WithField("peers_ms", longest.Milliseconds()).
				Info("the software versions before this host's start are not known")
			return
		}
		source, longest = "publisher", r.Observed
		l.merge(r, gaps)
	}
	l.options.Scope.Tagged(map[string]string{"source": source}).Counter("version_history_learned").Inc(1)
	l.options.Log.WithFields(logrus.Fields{"source": source, "known_ms": longest.Milliseconds()}).
		Info("learned which software versions servers had before this host's start")
}

// merge adds a report to the record. What it lacks at its end, this host has seen itself, unless there was a
// gap since the report was asked for.
func (l *Log) merge(r Report, gaps int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addSeen(now, r.Versions)
	if since := now.Add(-r.Observed); l.gaps == gaps && since.Before(l.since) {
		l.since = since
	}
}
