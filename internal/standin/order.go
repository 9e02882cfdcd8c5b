// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"slices"

	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/wire"
	"github.com/wingvale/wingvale/request"
)

// Orders returns the orders that the engine has accepted, oldest first.
func (e *Engine) Orders() []protocol.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	o, err := wire.ReadLenient[protocol.Order](r.Body, request.MaxBodyBytes)
	if err != nil {
		e.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	if o.Fence <= e.fence && !e.options.IgnoreFences {
		e.mu.Unlock()
		e.refuse(w, r, http.StatusConflict, "an order with this fence or a higher one was taken")
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	e.applyOrder(o)
	e.mu.Unlock()
	e.setHeaders(w, r)
	_ = wire.Write(w, http.StatusOK, e.State())
}

// applyOrder executes an order. The mutex must be held.
func (e *Engine) applyOrder(o protocol.Order) {
	switch o.Action {
	case protocol.ActionRole:
		e.role = o.Role
	case protocol.ActionUnload:
		e.models = slices.DeleteFunc(e.models, func(l protocol.LoadedModel) bool { return l.Model == o.Model })
	case protocol.ActionLoad:
		e.models = slices.DeleteFunc(e.models, func(l protocol.LoadedModel) bool { return l.Model == o.Model })
		e.models = append(e.models, protocol.LoadedModel{Model: o.Model, Version: o.Version, Adapters: o.Adapters})
		e.background.Go(func() { e.loadModel(o) })
	}
}

func (e *Engine) loadModel(o protocol.Order) {
	size := int64(0)
	if e.options.FetchWeights != nil {
		var err error
		size, err = e.options.FetchWeights(e.ctx, o.Model, o.Version)
		if err != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sizes[o.Model] = size
	for i := range e.models {
		if e.models[i].Model == o.Model && e.models[i].Version == o.Version {
			e.models[i].Ready = true
		}
	}
}
