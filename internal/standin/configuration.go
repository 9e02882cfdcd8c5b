// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wingvale/wingvale/internal/publisher"
	"github.com/wingvale/wingvale/internal/wire"
)

// Configuration is the configuration service with its host list. It keeps every change, so that it
// can answer with the state at any revision.
type Configuration struct {
	mu     sync.Mutex
	spaces map[publisher.Space]*history
	down   bool
	// stale has the revision whose state a reader gets. The zero address stands for all
	// readers.
	stale map[staleKey]uint64
	// forks has, for some readers, another value under the same revision of a key.
	forks   map[forkKey]string
	hostLag time.Duration
	calls   int
}

type forkKey struct {
	reader   netip.Addr
	key      string
	revision uint64
}

type staleKey struct {
	space  publisher.Space
	reader netip.Addr
}

type history struct {
	// era counts how often changes were lost.
	era     uint64
	changes []change
	// changed is closed and replaced at every change.
	changed chan struct{}
}

type change struct {
	publisher.Item
	publishedAt time.Time
}

// NewConfiguration returns a Configuration without values.
func NewConfiguration() *Configuration {
	return &Configuration{
		spaces: map[publisher.Space]*history{
			publisher.SpaceConfiguration: {changed: make(chan struct{})},
			publisher.SpaceHosts:         {changed: make(chan struct{})},
		},
		stale: make(map[staleKey]uint64),
		forks: make(map[forkKey]string),
	}
}

// Fork injects a fault: the service shows one reader another value for a key under a revision of
// the configuration.
func (c *Configuration) Fork(reader netip.Addr, key string, revision uint64, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forks[forkKey{reader: reader, key: key, revision: revision}] = value
}

// Publish sets a key and returns the revision of the change.
func (c *Configuration) Publish(space publisher.Space, key, value string) uint64 {
	return c.addChange(space, publisher.Item{Key: key, Value: value})
}

// Remove removes a key and returns the revision of the change.
func (c *Configuration) Remove(space publisher.Space, key string) uint64 {
	return c.addChange(space, publisher.Item{Key: key, Removed: true})
}

func (c *Configuration) addChange(space publisher.Space, item publisher.Item) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.spaces[space]
	item.Revision = uint64(len(h.changes)) + 1
	h.changes = append(h.changes, change{Item: item, publishedAt: time.Now()})
	close(h.changed)
	h.changed = make(chan struct{})
	return item.Revision
}

// LoseChanges injects a fault: the service loses the last changes of a space and assigns their
// revisions again, in a new era.
func (c *Configuration) LoseChanges(space publisher.Space, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.spaces[space]
	h.changes = h.changes[:max(len(h.changes)-count, 0)]
	h.era++
	close(h.changed)
	h.changed = make(chan struct{})
}

// SetDown makes the service refuse all calls with status 503 if down is true, or answer again.
func (c *Configuration) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetStale makes the service answer one reader with the state at an older revision, or all readers
// if the address is zero. Revision 0 ends that.
func (c *Configuration) SetStale(space publisher.Space, reader netip.Addr, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision == 0 {
		delete(c.stale, staleKey{space: space, reader: reader})
		return
	}
	c.stale[staleKey{space: space, reader: reader}] = revision
}

// SetHostLag makes the service answer with the state of the host list of the given time ago.
func (c *Configuration) SetHostLag(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostLag = lag
}

// Calls returns the number of calls received. A watch counts as one call.
func (c *Configuration) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Revision returns the latest revision of a space.
func (c *Configuration) Revision(space publisher.Space) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(len(c.spaces[space].changes))
}

// visibleRevision returns the revision whose state a reader gets.
func (c *Configuration) visibleRevision(space publisher.Space, reader netip.Addr) uint64 {
	h := c.spaces[space]
	revision := uint64(len(h.changes))
	if space == publisher.SpaceHosts && c.hostLag > 0 {
		for revision > 0 && time.Since(h.changes[revision-1].publishedAt) < c.hostLag {
			revision--
		}
	}
	for _, key := range []staleKey{{space: space, reader: reader}, {space: space}} {
		if stale, ok := c.stale[key]; ok {
			revision = min(revision, stale)
		}
	}
	return revision
}

// changesAfter returns the latest item of each key that changed after a revision, as a reader sees
// it. After revision 0 it omits removed keys.
func (c *Configuration) changesAfter(space publisher.Space, reader netip.Addr, after uint64) publisher.Values {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := publisher.Values{Era: c.spaces[space].era, Revision: c.visibleRevision(space, reader), Values: []publisher.Item{}}
	latest := make(map[string]publisher.Item)
	for _, ch := range c.spaces[space].changes[:values.Revision] {
		latest[ch.Key] = ch.Item
	}
	for _, item := range latest {
		if forked, ok := c.forks[forkKey{reader: reader, key: item.Key, revision: item.Revision}]; ok {
			item.Value = forked
		}
		if item.Revision > after && (after > 0 || !item.Removed) {
			values.Values = append(values.Values, item)
		}
	}
	return values
}

// Handler returns a handler for the protocol of the platform.
func (c *Configuration) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/spaces/{space}/values", func(w http.ResponseWriter, r *http.Request) {
		if space, reader, ok := c.startCall(w, r); ok {
			_ = wire.Write(w, http.StatusOK, c.changesAfter(space, reader, 0))
		}
	})
	r.Get("/v1/spaces/{space}/watch", c.watch)
	return r
}

func (c *Configuration) startCall(w http.ResponseWriter, r *http.Request) (publisher.Space, netip.Addr, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	space := publisher.Space(chi.URLParam(r, "space"))
	if c.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return space, netip.Addr{}, false
	}
	if c.spaces[space] == nil {
		http.Error(w, fmt.Sprintf("no space %q", space), http.StatusNotFound)
		return space, netip.Addr{}, false
	}
	remote, _ := netip.ParseAddrPort(r.RemoteAddr)
	return space, remote.Addr(), true
}

const (
	// maxWatchTime limits how long a watch may wait.
	maxWatchTime = time.Minute
	// hostLagPollInterval is how often a watch checks for changes while the host list lags.
	hostLagPollInterval = 100 * time.Millisecond
)

func (c *Configuration) watch(w http.ResponseWriter, r *http.Request) {
	space, reader, ok := c.startCall(w, r)
	if !ok {
		return
	}
	after, afterErr := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := time.ParseDuration(r.URL.Query().Get("wait"))
	if afterErr != nil || waitErr != nil || wait > maxWatchTime {
		http.Error(w, "want after=REVISION and wait=TIME", http.StatusBadRequest)
		return
	}
	_ = wire.Write(w, http.StatusOK, c.awaitChanges(r, space, reader, after, time.Now().Add(wait)))
}

// awaitChanges waits until items changed after a revision, or until the given time, and returns
// them. A reader whose revision is newer than the one it is now shown gets no items. If changes are
// lost while it waits, it returns at once.
func (c *Configuration) awaitChanges(r *http.Request, space publisher.Space, reader netip.Addr, after uint64, deadline time.Time) publisher.Values {
	c.mu.Lock()
	era := c.spaces[space].era
	c.mu.Unlock()
	for {
		c.mu.Lock()
		changed, lagging := c.spaces[space].changed, c.hostLag > 0
		c.mu.Unlock()
		values := c.changesAfter(space, reader, after)
		if len(values.Values) > 0 || values.Era != era || !time.Now().Before(deadline) {
			return values
		}
		wait := time.Until(deadline)
		if lagging {
			wait = min(wait, hostLagPollInterval)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return values
		}
		timer.Stop()
	}
}
