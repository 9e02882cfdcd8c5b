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

// Weights is a weight store: all who fetch share one rate.
type Weights struct {
	// rate is in bytes a second.
	rate  int64
	sizes map[string]int64

	mu sync.Mutex
	// free is when the store has served all that was asked so far.
	free time.Time
	// most is the greatest number of fetches at once.
	active, most int
}

// NewWeights returns a store that serves rate bytes a second of models with
// the given sizes in bytes.
func NewWeights(rate int64, sizes map[string]int64) *Weights {
	return &Weights{rate: rate, sizes: sizes}
}

// Most returns the greatest number of fetches that were under way at once.
func (s *Weights) Most() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// Fetch returns the size of a model's weights once they have been served.
func (s *Weights) Fetch(ctx context.Context, model, _ string) (int64, error) {
	size, ok := s.sizes[model]
	if !ok {
		return 0, fmt.Errorf("standin: the store has no model %s", model)
	}
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(size) / float64(s.rate) * float64(time.Second)))
	ready := s.free
	s.active++
	s.most = max(s.most, s.active)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active--
	}()
	if !pause(ctx, time.Until(ready)) {
		return 0, ctx.Err()
	}
	return size, nil
}

// Fetched answers a fetch over HTTP.
type Fetched struct {
	Bytes int64 `json:"bytes"`
}

// Handler serves fetches: the answer comes once the weights would have.
func (s *Weights) Handler() http.Handler {
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
