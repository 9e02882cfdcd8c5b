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
	// cacheSize is the number of prefixes that an engine caches. maxEvents is the number of
	// cache events that it keeps.
	cacheSize = 4
	maxEvents = 1024
)

// cache is the prefix cache of an engine with its events.
type cache struct {
	mu sync.Mutex
	// prefixes has the cached prefixes, the least recently used first.
	prefixes     []uint64
	events       []cacheEvent
	lastSequence uint64
}

type cacheEvent struct {
	protocol.CacheEvent
	createdAt time.Time
	lost      bool
}

// lookupOrAdd reports whether a prefix was cached, and caches it. If lost is true, readers do not
// get the events of this change.
func (c *cache) lookupOrAdd(prefix uint64, lost bool) bool {
	if prefix == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	c.prefixes = append(c.prefixes, prefix)
	c.addEvent(prefix, true, lost)
	if len(c.prefixes) > cacheSize {
		c.addEvent(c.prefixes[0], false, lost)
		c.prefixes = c.prefixes[1:]
	}
	return false
}

func (c *cache) addEvent(prefix uint64, stored, lost bool) {
	c.lastSequence++
	c.events = append(c.events, cacheEvent{
		CacheEvent: protocol.CacheEvent{Sequence: c.lastSequence, Stored: stored, Prefix: prefix},
		createdAt:  time.Now(),
		lost:       lost,
	})
	c.events = c.events[max(len(c.events)-maxEvents, 0):]
}

// eventsAfter returns the events after a sequence number that are at least lag old, without lost
// ones.
func (c *cache) eventsAfter(sequence uint64, lag time.Duration) protocol.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := protocol.CacheEvents{Events: []protocol.CacheEvent{}, Next: sequence}
	for _, e := range c.events {
		if e.Sequence <= sequence || time.Since(e.createdAt) < lag {
			continue
		}
		visible.Next = e.Sequence
		if !e.lost {
			visible.Events = append(visible.Events, e.CacheEvent)
		}
	}
	return visible
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "want after=SEQUENCE", http.StatusBadRequest)
		return
	}
	_ = wire.Write(w, http.StatusOK, e.cache.eventsAfter(after, e.currentKnobs().EventLag))
}
