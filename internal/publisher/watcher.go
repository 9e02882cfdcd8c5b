// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package publisher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/published"
)

const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// idleCheckInterval is how often a node that need not watch checks whether it must.
	idleCheckInterval = time.Second
	// fullReadInterval is how often a watcher reads all keys, to detect removals that a watch
	// may have missed.
	fullReadInterval = 5 * time.Minute
)

// Store merges entries that were read.
type Store interface {
	Offer(entries ...published.Entry) []published.Entry
	OfferListing(l published.Listing) []published.Entry
	Complete(through published.Position)
	Summary() published.Summary
}

// Source reads published values.
type Source interface {
	// Read returns all current keys of space.
	Read(ctx context.Context, space Space) (Values, error)
	// Watch waits for changes of space after a position and returns them, or no changes once
	// some time has passed. It returns ErrCompacted if the revision is too old or unknown. If the
	// response is of another era than the position, its changes may be incomplete.
	Watch(ctx context.Context, space Space, after published.Position) (Values, error)
	// Poll is like Watch but does not wait.
	Poll(ctx context.Context, space Space, after published.Position) (Values, error)
}

// Accepted is called with entries that came into force by a read.
type Accepted func(entries []published.Entry)

// WatcherOptions configures a Watcher. Fields are required unless they state otherwise.
type WatcherOptions struct {
	Source Source
	Space  Space
	Store  Store
	// MustWatch reports whether this node must watch now.
	MustWatch func() bool
	// AwaitPeers waits at the start until peers have sent their entries to this node. It calls
	// yield once they are expected to, which cancels the node's own read of all keys. It
	// returns the position up to which the store then has every key, or the zero position if
	// this node must read all keys itself. If AwaitPeers is nil the node reads them itself.
	// When a whole fleet
	// starts and reads all keys, that takes as long as the link of the publisher needs for
	// hosts times keys.
	AwaitPeers func(ctx context.Context, yield func()) published.Position
	// Through returns the position up to which the store has every key from any source. A node
	// that starts to watch continues from there instead of reading all keys. Nil means that the
	// position is unknown.
	Through  func() published.Position
	Accepted Accepted
	// OnChanges is called with all changes after one revision up to another, of one era, that a
	// watch returned, including those that the store already had. It is called without positions
	// for the new entries of a later listing. It may be nil.
	OnChanges func(after, through published.Position, entries []published.Entry)
	// OnUnavailable is called at each failed call to the source, and OnAvailable when the
	// source answers again. Both may be nil.
	OnUnavailable func()
	OnAvailable   func()
	// OnAnswering is called at the first response, and whenever the source stops or resumes
	// answering. It may be nil.
	OnAnswering func(answers bool)
	Log         logrus.FieldLogger
	Random      *rand.Rand
	// MaxBackoff bounds the delay between retries; 0 means the default.
	MaxBackoff time.Duration
	// Pause is the delay after each watch that returned changes, so that many changes in a row
	// arrive in few responses.
	Pause time.Duration
}

// Watcher keeps one space up to date from the platform while this node must watch.
type Watcher struct {
	options WatcherOptions
	done    chan struct{}
	ready   chan struct{}
	// seen is the position of the last response, and rereadAt when another full read is due
	// because a new era began; zero if none did. Only Run uses them.
	seen     published.Position
	rereadAt time.Time
}

// NewWatcher returns a watcher. Run must be called once.
func NewWatcher(options WatcherOptions) *Watcher {
	return &Watcher{options: options, done: make(chan struct{}), ready: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Ready returns a channel that is closed when the space has been read once.
func (w *Watcher) Ready() <-chan struct{} {
	return w.ready
}

// Run reads the space once, whether this node must watch or not, and then watches it while it
// must, until ctx is cancelled.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)
	lastFullRead := time.Time{}
	unavailable := false
	after, started := w.readInitially(ctx)
	if started {
		lastFullRead = time.Now()
		close(w.ready)
		w.reportAnswers(true)
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		if started && !w.options.MustWatch() {
			sleep(ctx, idleCheckInterval)
			after, lastFullRead = w.resumeFrom(after)
			continue
		}
		full := time.Since(lastFullRead) > fullReadInterval || w.mustRead(lastFullRead)
		sentByPeers := !started && !after.IsZero()
		next, err := w.readNext(ctx, after, full, sentByPeers)
		if errors.Is(err, ErrCompacted) && sentByPeers {
			after = published.Position{}
			continue
		}
		if errors.Is(err, ErrCompacted) && !full {
			// A service that compacts its history again and again must not cause a busy loop
			// of listings.
			if time.Since(lastFullRead) < minBackoff {
				sleep(ctx, minBackoff)
			}
			lastFullRead = time.Time{}
			continue
		}
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			if !unavailable {
				w.options.Log.WithError(err).WithField("space", w.options.Space).Warn("the platform does not answer")
			}
			if started && !unavailable {
				w.reportAnswers(false)
			}
			unavailable = true
			callIfSet(w.options.OnUnavailable)
			sleep(ctx, backoff+time.Duration(w.options.Random.Int64N(int64(backoff))))
			backoff = min(2*backoff, cmp.Or(w.options.MaxBackoff, maxBackoff))
			continue
		}
		if unavailable {
			unavailable = false
			w.options.Log.WithField("space", w.options.Space).WithField("era", next.Era).WithField("revision", next.Revision).Info("the platform answers again")
			callIfSet(w.options.OnAvailable)
			w.reportAnswers(true)
		}
		if full {
			lastFullRead = time.Now()
		}
		if !started {
			started = true
			close(w.ready)
			w.reportAnswers(true)
		}
		if next.Compare(after) > 0 && w.options.Pause > 0 {
			sleep(ctx, w.options.Pause)
		}
		after, backoff = next, minBackoff
	}
}

// readInitially reads all keys unless peers send them first, and reports whether it read them.
// Otherwise it returns the position up to which peers sent all entries, the zero position if they
// did not.
func (w *Watcher) readInitially(ctx context.Context) (after published.Position, read bool) {
	if w.options.AwaitPeers == nil {
		return published.Position{}, false
	}
	reading, yield := context.WithCancel(ctx)
	defer yield()
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	peersDone := make(chan published.Position, 1)
	go func() { peersDone <- w.options.AwaitPeers(waiting, yield) }()
	next, err := w.readOrWatch(reading, published.Position{}, true)
	if err != nil {
		// Peers may reach the source sooner. If all nodes read again when it returns, their
		// reads would saturate its link.
		return <-peersDone, false
	}
	stop()
	<-peersDone
	return next, true
}

// resumeFrom returns the position from which a node that starts to watch continues, and the time
// that counts as its last full read; the zero time causes a full read.
func (w *Watcher) resumeFrom(after published.Position) (published.Position, time.Time) {
	if w.options.Through == nil {
		return after, time.Time{}
	}
	if through := w.options.Through(); through.Compare(after) > 0 {
		after = through
	}
	return after, time.Now()
}

// readNext is like readOrWatch, except that a node that got all entries from peers reads the
// changes since then without waiting.
func (w *Watcher) readNext(ctx context.Context, after published.Position, full, sentByPeers bool) (published.Position, error) {
	if !sentByPeers {
		return w.readOrWatch(ctx, after, full)
	}
	values, err := w.options.Source.Poll(ctx, w.options.Space, after)
	if err != nil {
		return published.Position{}, err
	}
	return w.apply(after, values)
}

// apply merges the changes after a position and returns the position to continue from. It returns
// ErrCompacted if the changes may be incomplete because a new era has begun.
func (w *Watcher) apply(after published.Position, values Values) (published.Position, error) {
	if err := CheckEra(w.options.Store, values); err != nil {
		return published.Position{}, err
	}
	if values.Era != after.Era {
		return published.Position{}, ErrCompacted
	}
	w.seen = values.Position()
	entries := values.Entries()
	w.accept(w.options.Store.Offer(entries...))
	w.options.Store.Complete(values.Position())
	w.reportChanges(after, values.Position(), entries)
	return values.Position(), nil
}

// ErrOutdated reports a response of an earlier era than is known. It was read from the service
// before that lost writes, or from a reader that lags behind.
var ErrOutdated = errors.New("publisher: response of an earlier era")

// CheckEra returns an error that wraps ErrOutdated if values are of an earlier era than the store
// knows.
func CheckEra(store Store, values Values) error {
	if known := store.Summary().Era; values.Era < known {
		return fmt.Errorf("%w: %d, in era %d", ErrOutdated, values.Era, known)
	}
	return nil
}

// rereadDelay is how long after a new era began all keys are read again. Writers write again what
// was lost within about 2 s, and entries of the earlier era may arrive from peers until then.
const rereadDelay = 3 * time.Second

// mustRead reports whether all keys must be read because a new era has begun recently.
func (w *Watcher) mustRead(lastFullRead time.Time) bool {
	return !w.rereadAt.IsZero() && lastFullRead.Before(w.rereadAt) && !time.Now().Before(w.rereadAt)
}

// noteEra logs that a full read found a new era, and schedules another one.
func (w *Watcher) noteEra(values Values) {
	before := w.seen
	w.seen = values.Position()
	if before.IsZero() || before.Era == values.Era {
		return
	}
	w.rereadAt = time.Now().Add(rereadDelay)
	w.options.Log.WithFields(logrus.Fields{
		"space": w.options.Space, "era": values.Era, "revision": values.Revision, "era_before": before.Era, "revision_before": before.Revision,
	}).Warn("the platform lost writes and is in a new era")
}

// started reports whether the space has been read once.
func (w *Watcher) started() bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

func (w *Watcher) reportChanges(after, through published.Position, entries []published.Entry) {
	if w.options.OnChanges != nil && len(entries) > 0 {
		w.options.OnChanges(after, through, entries)
	}
}

// readOrWatch reads or watches once and returns the position to continue from. A service without
// eras may be rolled back, so that its position is lower than the last one, which does not affect
// the store.
func (w *Watcher) readOrWatch(ctx context.Context, after published.Position, full bool) (published.Position, error) {
	if full {
		values, err := w.options.Source.Read(ctx, w.options.Space)
		if err != nil {
			return published.Position{}, err
		}
		if err := CheckEra(w.options.Store, values); err != nil {
			return published.Position{}, err
		}
		w.noteEra(values)
		accepted := w.options.Store.OfferListing(values.Listing())
		w.accept(accepted)
		if w.started() {
			w.reportChanges(published.Position{}, published.Position{}, accepted)
		}
		return values.Position(), nil
	}
	values, err := w.options.Source.Watch(ctx, w.options.Space, after)
	if err != nil {
		return published.Position{}, err
	}
	return w.apply(after, values)
}

func (w *Watcher) accept(entries []published.Entry) {
	if len(entries) > 0 {
		w.options.Accepted(entries)
	}
}

func (w *Watcher) reportAnswers(answers bool) {
	if w.options.OnAnswering != nil {
		w.options.OnAnswering(answers)
	}
}

func callIfSet(f func()) {
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
