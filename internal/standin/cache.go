// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/wire"
)

const (
	// cacheSize is how many prefixes an engine's memory holds.
	cacheSize = 4
	maxEvents = 1024
)

// cache is an engine's prefix cache with its events.
type cache struct {
	mu sync.Mutex
	// held has the prefixes, the least recently used first.
	held   []uint64
	events []cacheEvent
	next   uint64
}

type cacheEvent struct {
	protocol.CacheEvent
	at   time.Time
	lost bool
}

// use reports whether a prefix was held, and holds it from now on.
func (c *cache) use(prefix uint64, lost bool) bool {
	if prefix == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.held, prefix)
	if i >= 0 {
		c.held = append(slices.Delete(c.held, i, i+1), prefix)
		return true
	}
	c.held = append(c.held, prefix)
	c.note(prefix, true, lost)
	if len(c.held) > cacheSize {
		c.note(c.held[0], false, lost)
		c.held = c.held[1:]
	}
	return false
}

func (c *cache) note(prefix uint64, stored, lost bool) {
	c.next++
	c.events = append(c.events, cacheEvent{
		CacheEvent: protocol.CacheEvent{Sequence: c.next, Stored: stored, Prefix: prefix},
		at:         time.Now(),
		lost:       lost,
	})
	c.events = c.events[max(len(c.events)-maxEvents, 0):]
}

// after returns the events that a reader sees.
func (c *cache) after(sequence uint64, lag time.Duration) protocol.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := protocol.CacheEvents{Events: []protocol.CacheEvent{}, Next: sequence}
	for _, e := range c.events {
		if e.Sequence <= sequence || time.Since(e.at) < lag {
			continue
		}
		seen.Next = e.Sequence
		if !e.lost {
			seen.Events = append(seen.Events, e.CacheEvent)
		}
	}
	return seen
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "want after=SEQUENCE", http.StatusBadRequest)
		return
	}
	_ = wire.Write(w, http.StatusOK, e.cache.after(after, e.get().EventLag))
}
