// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchWait is the longest wait that a watch may ask for.
const maxWatchWait = 30 * time.Second

// Item is one key of the store as it was written last.
type Item struct {
	Key      string `json:"tls_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in of the platform's metadata store. It is safe for concurrent use.
type Store struct {
	Address netip.AddrPort
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// changed is closed and replaced at each change, cut at each cut of the waiting watches.
	changed chan struct{}
	cut     chan struct{}
	// cuts counts the watches that were cut.
	cuts int
}

// NewStore starts a store.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: netip.MustParseAddrPort(l.Addr().String()), revision: 100, items: make(map[string]Item),
		changed: make(chan struct{}), cut: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /wingvale/kv-range", s.serveRange)
	mux.HandleFunc("GET /wingvale/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close closes the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes the JSON form of value and returns when the store had taken it.
func (s *Store) Put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := Item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.recordChange(item)
	return time.Now()
}

// Delete removes a key and returns when the store had taken it.
func (s *Store) Delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.recordChange(Item{Key: key, Revision: s.revision, Removed: true})
	return time.Now()
}

// recordChange adds a change to the history. The mutex must be held.
func (s *Store) recordChange(i Item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// CutWatches cuts the watches that wait now, and returns their number so far.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// Cuts returns the number of watches that were cut.
func (s *Store) Cuts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

func writeJSON(w http.ResponseWriter, value any) {
	time.Sleep(answerTime)
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	s.mu.Lock()
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "more_pages": false, "as_of": asOf})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("path_prefix")
	after, _ := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_timeout_ms"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events := []Item{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		asOf, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			writeJSON(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
}

// String returns the address of the store.
func (s *Store) String() string { return fmt.Sprintf("store %s", s.Address) }
