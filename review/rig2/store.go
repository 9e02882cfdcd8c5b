// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as PROTOCOL.md spells it.
type item struct {
	Key       string `json:"tls_key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store: linearizable, with all of its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	log      []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: make(map[string]item), changed: make(chan struct{})}
}

// put writes a key.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: data, Revision: s.revision, Created: created}
	s.items[key] = i
	s.append(i)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) append(i item) {
	s.log = append(s.log, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers kv-range and kv-watch.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("path_prefix")
	switch r.URL.Path {
	case "/wingvale/kv-range":
		s.mu.Lock()
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, prefix) {
				items = append(items, i)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		reply(w, map[string]any{"items": items, "more_pages": false, "as_of": asOf})
	case "/wingvale/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after_rev"), 10, 64)
		ms, _ := strconv.Atoi(query.Get("wait_timeout_ms"))
		end := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer end.Stop()
		for {
			s.mu.Lock()
			events := []item{}
			for _, i := range s.log {
				if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
					events = append(events, i)
				}
			}
			asOf, changed := s.revision, s.changed
			s.mu.Unlock()
			if len(events) > 0 {
				reply(w, map[string]any{"events": events, "as_of": asOf})
				return
			}
			select {
			case <-changed:
			case <-end.C:
				reply(w, map[string]any{"events": events, "as_of": asOf})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(value)
	must(err)
	_, _ = w.Write(data)
}
