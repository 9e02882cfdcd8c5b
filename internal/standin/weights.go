// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wingvale/wingvale/internal/wire"
)

// WeightStore is a stand-in for the weight store. All fetches share its rate.
type WeightStore struct {
	bytesPerSecond int64
	// sizes has the size of each model in bytes.
	sizes map[string]int64

	mu sync.Mutex
	// freeAt is when the store has served all fetches received so far.
	freeAt time.Time
	// active is the number of fetches in progress, maxActive its maximum so far.
	active, maxActive int
}

// NewWeightStore returns a WeightStore that serves models of the given sizes in bytes at the given
// rate in bytes per second.
func NewWeightStore(rate int64, sizes map[string]int64) *WeightStore {
	return &WeightStore{bytesPerSecond: rate, sizes: sizes}
}

// MaxConcurrent returns the greatest number of fetches that were in progress at once.
func (s *WeightStore) MaxConcurrent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxActive
}

// Fetch waits until the weights of a model have been served, and returns their size in bytes. It
// returns an error if the model is unknown or ctx is done before.
func (s *WeightStore) Fetch(ctx context.Context, model, _ string) (int64, error) {
	size, ok := s.sizes[model]
	if !ok {
		return 0, fmt.Errorf("standin: model %s is not in the weight store", model)
	}
	s.mu.Lock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(size) / float64(s.bytesPerSecond) * float64(time.Second)))
	ready := s.freeAt
	s.active++
	s.maxActive = max(s.maxActive, s.active)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active--
	}()
	if !sleep(ctx, time.Until(ready)) {
		return 0, ctx.Err()
	}
	return size, nil
}

// Fetched is the answer to a fetch over HTTP.
type Fetched struct {
	Bytes int64 `json:"bytes"`
}

// Handler returns a handler for fetches. It answers once the weights have been served.
func (s *WeightStore) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		size, err := s.Fetch(r.Context(), chi.URLParam(r, "model"), chi.URLParam(r, "version"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		_ = wire.Write(w, http.StatusOK, Fetched{Bytes: size})
	})
	return r
}
