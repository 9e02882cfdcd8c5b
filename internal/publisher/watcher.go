// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package publisher

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/published"
)

const (
	backoffFirst = 200 * time.Millisecond
	backoffMost  = 5 * time.Second
	// idleCheck is how often a node that need not watch asks again whether
	// it must.
	idleCheck = time.Second
	// fullReadEvery is how often a watcher reads all keys, to see removals
	// that a watch could have lost.
	fullReadEvery = 5 * time.Minute
)

// Store takes what was read.
type Store interface {
	Offer(entries ...published.Entry) []published.Entry
	OfferListing(l published.Listing) []published.Entry
	Complete(through uint64)
}

// Source is where published values are read from.
type Source interface {
	// Read returns all keys of space as they are now.
	Read(ctx context.Context, space Space) (Values, error)
	// Watch waits for changes of space after revision, and returns them, or
	// nothing once some time has passed. It returns ErrCompacted where the
	// revision is too old.
	Watch(ctx context.Context, space Space, after uint64) (Values, error)
	// News is Watch that does not wait.
	News(ctx context.Context, space Space, after uint64) (Values, error)
}

// Accepted is called with entries that came into force by a read.
type Accepted func(entries []published.Entry)

// WatcherOptions are a Watcher's dependencies; all are needed.
type WatcherOptions struct {
	Source Source
	Space  Space
	Store  Store
	// Must reports whether this node is one of those that watch now.
	Must func() bool
	// Had waits at the start until others have told this node what they have. It calls
	// yield once they are expected to: the node's own read of all keys then ends. It
	// returns the revision up to which the store has every key by then, or 0 where this
	// node must read all itself. Nil is that it must. A whole fleet that starts and reads
	// all keys takes as long as its publisher's link needs for hosts times keys.
	Had func(ctx context.Context, yield func()) uint64
	// Through returns the revision up to which the store has every key, by whatever way;
	// nil is not known. A node that comes to watch goes on from there instead of reading
	// all.
	Through  func() uint64
	Accepted Accepted
	// Brought is told of all changes after one revision through another that a watch
	// brought, also those that came by another way before; and, with no revisions, of
	// what a later listing brought that was news. Nil is that nobody wants to know.
	Brought func(after, through uint64, entries []published.Entry)
	// Lost is told when the source stops to answer, Regained when it answers
	// again; both may be nil.
	Lost     func()
	Regained func()
	// Answers is told at the first answer, and whenever the source stops to
	// answer and does again; it may be nil.
	Answers func(answers bool)
	Log     logrus.FieldLogger
	Random  *rand.Rand
	// MostBackoff bounds the pause between tries; 0 takes the default.
	MostBackoff time.Duration
	// Pause follows each watch that brought changes, so that many changes in a
	// row come in few answers.
	Pause time.Duration
}

// Watcher keeps one space up to date from the platform, for as long as this
// node is one of those that watch.
type Watcher struct {
	options WatcherOptions
	done    chan struct{}
	first   chan struct{}
}

// NewWatcher returns a watcher. Run must be called once.
func NewWatcher(options WatcherOptions) *Watcher {
	return &Watcher{options: options, done: make(chan struct{}), first: make(chan struct{})}
}

// Done is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// First is closed when the space has been read once.
func (w *Watcher) First() <-chan struct{} {
	return w.first
}

// Run reads the space once, whether this node must watch or not, and then
// watches while it must, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	listed := time.Time{}
	lost := false
	after, started := w.open(ctx)
	if started {
		listed = time.Now()
		close(w.first)
		w.tell(true)
	}
	backoff := backoffFirst
	for ctx.Err() == nil {
		if started && !w.options.Must() {
			sleep(ctx, idleCheck)
			after, listed = w.resume(after)
			continue
		}
		full := time.Since(listed) > fullReadEvery
		spared := !started && after > 0
		next, err := w.begin(ctx, after, full, spared)
		if errors.Is(err, ErrCompacted) && spared {
			after = 0
			continue
		}
		if errors.Is(err, ErrCompacted) && !full {
			// A history that is forgotten again and again must not make a busy
			// loop of listings.
			if time.Since(listed) < backoffFirst {
				sleep(ctx, backoffFirst)
			}
			listed = time.Time{}
			continue
		}
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				w.options.Log.WithError(err).WithField("space", w.options.Space).Warn("the platform does not answer")
			}
			if started && !lost {
				w.tell(false)
			}
			lost = true
			call(w.options.Lost)
			sleep(ctx, backoff+time.Duration(w.options.Random.Int64N(int64(backoff))))
			backoff = min(2*backoff, cmp.Or(w.options.MostBackoff, backoffMost))
			continue
		}
		if lost {
			lost = false
			w.options.Log.WithField("space", w.options.Space).WithField("revision", next).Info("the platform answers again")
			call(w.options.Regained)
			w.tell(true)
		}
		if time.Since(listed) > fullReadEvery {
			listed = time.Now()
		}
		if !started {
			started = true
			close(w.first)
			w.tell(true)
		}
		if next > after && w.options.Pause > 0 {
			sleep(ctx, w.options.Pause)
		}
		after, backoff = next, backoffFirst
	}
}

// open reads all keys unless others are to tell this node, and reports whether it has.
// Else it returns the revision up to which they have told all, 0 for none.
func (w *Watcher) open(ctx context.Context) (after uint64, read bool) {
	if w.options.Had == nil {
		return 0, false
	}
	reading, yield := context.WithCancel(ctx)
	defer yield()
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	had := make(chan uint64, 1)
	go func() { had <- w.options.Had(waiting, yield) }()
	next, err := w.step(reading, 0, true)
	if err != nil {
		// Others may reach the source sooner; all that read again at its return would
		// fill its link.
		return <-had, false
	}
	stop()
	<-had
	return next, true
}

// resume returns from which revision on a node watches that comes to do so, and when it
// counts as having read all keys; zero is that it is to.
func (w *Watcher) resume(after uint64) (uint64, time.Time) {
	if w.options.Through == nil {
		return after, time.Time{}
	}
	return max(after, w.options.Through()), time.Now()
}

// begin is step, but for a node that others have told all: it reads what has changed
// since, and does not wait.
func (w *Watcher) begin(ctx context.Context, after uint64, full, spared bool) (uint64, error) {
	if !spared {
		return w.step(ctx, after, full)
	}
	values, err := w.options.Source.News(ctx, w.options.Space, after)
	if err != nil {
		return 0, err
	}
	return w.take(after, values), nil
}

// take takes in what changed after a revision.
func (w *Watcher) take(after uint64, values Values) uint64 {
	entries := values.Entries()
	w.accept(w.options.Store.Offer(entries...))
	w.options.Store.Complete(values.Revision)
	w.bring(after, values.Revision, entries)
	return values.Revision
}

// started reports whether the space has been read once.
func (w *Watcher) started() bool {
	select {
	case <-w.first:
		return true
	default:
		return false
	}
}

func (w *Watcher) bring(after, through uint64, entries []published.Entry) {
	if w.options.Brought != nil && len(entries) > 0 {
		w.options.Brought(after, through, entries)
	}
}

// step reads or watches once and returns the revision to go on from. That one
// may be lower than the last where the service went back; the store takes no
// harm from it.
func (w *Watcher) step(ctx context.Context, after uint64, full bool) (uint64, error) {
	if full {
		values, err := w.options.Source.Read(ctx, w.options.Space)
		if err != nil {
			return 0, err
		}
		listing := published.Listing{Revision: values.Revision, Entries: values.Entries()}
		accepted := w.options.Store.OfferListing(listing)
		w.accept(accepted)
		w.options.Store.Complete(values.Revision)
		if w.started() {
			w.bring(0, 0, accepted)
		}
		return values.Revision, nil
	}
	values, err := w.options.Source.Watch(ctx, w.options.Space, after)
	if err != nil {
		return 0, err
	}
	return w.take(after, values), nil
}

func (w *Watcher) accept(entries []published.Entry) {
	if len(entries) > 0 {
		w.options.Accepted(entries)
	}
}

func (w *Watcher) tell(answers bool) {
	if w.options.Answers != nil {
		w.options.Answers(answers)
	}
}

func call(f func()) {
	if f != nil {
		f()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
