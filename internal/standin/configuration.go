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

// Configuration is the configuration service with its host list. It keeps
// every change, so that it can answer as of any revision.
type Configuration struct {
	mu     sync.Mutex
	spaces map[publisher.Space]*history
	down   bool
	// stale has the revision that a reader is answered as of; the zero
	// address stands for all readers.
	stale map[staleKey]uint64
	// forks has other bytes under the same revision, for some readers.
	forks map[forkKey]string
	lag   time.Duration
	calls int
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
	changes []change
	// changed is closed and replaced at every change.
	changed chan struct{}
}

type change struct {
	publisher.Item
	at time.Time
}

// NewConfiguration returns a service without values.
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

// Fork makes the service show one reader other bytes under a revision of the
// configuration, which is a fault.
func (c *Configuration) Fork(reader netip.Addr, key string, revision uint64, value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forks[forkKey{reader: reader, key: key, revision: revision}] = value
}

// Publish sets key and returns its revision.
func (c *Configuration) Publish(space publisher.Space, key, value string) uint64 {
	return c.add(space, publisher.Item{Key: key, Value: value})
}

// Remove removes key and returns the revision of that.
func (c *Configuration) Remove(space publisher.Space, key string) uint64 {
	return c.add(space, publisher.Item{Key: key, Removed: true})
}

func (c *Configuration) add(space publisher.Space, i publisher.Item) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.spaces[space]
	i.Revision = uint64(len(h.changes)) + 1
	h.changes = append(h.changes, change{Item: i, at: time.Now()})
	close(h.changed)
	h.changed = make(chan struct{})
	return i.Revision
}

// SetDown makes the service answer nothing, or answer again.
func (c *Configuration) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetStale makes the service answer as of a revision, to one reader or, with
// the zero address, to all. Revision 0 ends that.
func (c *Configuration) SetStale(space publisher.Space, reader netip.Addr, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision == 0 {
		delete(c.stale, staleKey{space: space, reader: reader})
		return
	}
	c.stale[staleKey{space: space, reader: reader}] = revision
}

// SetHostLag makes the host list answer as of that long ago.
func (c *Configuration) SetHostLag(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag = lag
}

// Calls returns how many calls were made; a watch counts as one.
func (c *Configuration) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Revision returns the latest revision of space.
func (c *Configuration) Revision(space publisher.Space) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(len(c.spaces[space].changes))
}

// visible returns the revision that a reader is answered as of.
func (c *Configuration) visible(space publisher.Space, reader netip.Addr) uint64 {
	h := c.spaces[space]
	revision := uint64(len(h.changes))
	if space == publisher.SpaceHosts && c.lag > 0 {
		for revision > 0 && time.Since(h.changes[revision-1].at) < c.lag {
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

// since returns the latest item of each key that changed after a revision.
func (c *Configuration) since(space publisher.Space, reader netip.Addr, after uint64) publisher.Values {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := publisher.Values{Revision: c.visible(space, reader), Values: []publisher.Item{}}
	latest := make(map[string]publisher.Item)
	for _, ch := range c.spaces[space].changes[:v.Revision] {
		latest[ch.Key] = ch.Item
	}
	for _, i := range latest {
		if other, ok := c.forks[forkKey{reader: reader, key: i.Key, revision: i.Revision}]; ok {
			i.Value = other
		}
		if i.Revision > after && (after > 0 || !i.Removed) {
			v.Values = append(v.Values, i)
		}
	}
	return v
}

// Handler serves the platform's protocol.
func (c *Configuration) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/spaces/{space}/values", func(w http.ResponseWriter, r *http.Request) {
		if space, reader, ok := c.begin(w, r); ok {
			_ = wire.Write(w, http.StatusOK, c.since(space, reader, 0))
		}
	})
	r.Get("/v1/spaces/{space}/watch", c.watch)
	return r
}

func (c *Configuration) begin(w http.ResponseWriter, r *http.Request) (publisher.Space, netip.Addr, bool) {
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
	maxWait   = time.Minute
	watchTick = 100 * time.Millisecond
)

func (c *Configuration) watch(w http.ResponseWriter, r *http.Request) {
	space, reader, ok := c.begin(w, r)
	if !ok {
		return
	}
	after, err1 := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := time.ParseDuration(r.URL.Query().Get("wait"))
	if err1 != nil || err2 != nil || wait > maxWait {
		http.Error(w, "want after=REVISION and wait=TIME", http.StatusBadRequest)
		return
	}
	_ = wire.Write(w, http.StatusOK, c.await(r, space, reader, after, time.Now().Add(wait)))
}

// await waits for something to have changed. A reader that has seen more than
// the service now shows is answered as if nothing had.
func (c *Configuration) await(r *http.Request, space publisher.Space, reader netip.Addr, after uint64, until time.Time) publisher.Values {
	for {
		c.mu.Lock()
		changed, lagging := c.spaces[space].changed, c.lag > 0
		c.mu.Unlock()
		v := c.since(space, reader, after)
		if len(v.Values) > 0 || !time.Now().Before(until) {
			return v
		}
		wait := time.Until(until)
		if lagging {
			wait = min(wait, watchTick)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return v
		}
		timer.Stop()
	}
}
