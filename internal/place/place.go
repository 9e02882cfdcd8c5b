// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package place decides which models each engine loads. It is a pure function of the published
// models and the engines' reports, so that owners with the same view reach the same decisions,
// and a new owner continues where its predecessor stopped.
package place

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/pipeline"
)

// Engine is one engine as it last reported.
type Engine struct {
	Address netip.AddrPort
	Pool    string
	// Leaving engines get no orders.
	Leaving bool
	protocol.EngineState
}

const (
	// scaleUpLoad is the ratio of calls to slots above which a model gets more engines, and
	// scaleDownLoad the one below which it gives one up.
	scaleUpLoad   = 0.7
	scaleDownLoad = 0.2
	// maxConcurrentLoads bounds the loads in progress, so that the weight store's bandwidth
	// goes to a few loads that finish soon rather than to many that finish late.
	maxConcurrentLoads = 2
)

// Step is the next order for one engine.
type Step struct {
	Engine  netip.AddrPort
	Action  protocol.Action
	Model   string
	Version string
	Bytes   int64
	// Adapters are loaded together with the model.
	Adapters []string
}

// Targets returns for each model the engines that should hold it, ordered by rank.
func Targets(models []pipeline.Model, engines []Engine) map[string][]netip.AddrPort {
	targets := make(map[string][]netip.AddrPort, len(models))
	for _, m := range models {
		var addresses []netip.AddrPort
		for _, e := range engines {
			if e.Pool == m.Pool && !e.Leaving {
				addresses = append(addresses, e.Address)
			}
		}
		targets[m.Name] = owner.Top(addresses, m.Name, wantedReplicas(m, engines))
	}
	return targets
}

// wantedReplicas returns how many engines should hold the model: the published number, or more
// if the load of the current holders requires it. Between scaleDownLoad and scaleUpLoad the
// number stays the same, to avoid oscillation.
func wantedReplicas(m pipeline.Model, engines []Engine) int {
	holders, load, slots := 0, 0, 0
	for _, e := range engines {
		if e.Pool != m.Pool || e.Leaving || !isReady(e, m) {
			continue
		}
		holders++
		load += e.Running + e.Waiting
		slots += e.Slots
	}
	want := holders
	switch {
	case slots > 0 && float64(load) > scaleUpLoad*float64(slots):
		want = holders + 1
	case slots > 0 && float64(load) < scaleDownLoad*float64(slots):
		want = holders - 1
	}
	return max(want, m.Replicas)
}

func isReady(e Engine, m pipeline.Model) bool {
	l := findLoaded(e, m.Name)
	return l != nil && l.Ready
}

func findLoaded(e Engine, model string) *protocol.LoadedModel {
	for i := range e.Models {
		if e.Models[i].Model == model {
			return &e.Models[i]
		}
	}
	return nil
}

// Steps returns the next orders: at most one for each engine, and no more loads than may be in
// progress at once. The result depends only on the arguments, whichever host computes it.
func Steps(models []pipeline.Model, engines []Engine) []Step {
	models = slices.SortedFunc(slices.Values(models), func(a, b pipeline.Model) int { return cmp.Compare(a.Name, b.Name) })
	targets := Targets(models, engines)
	byAddress := make(map[netip.AddrPort]Engine, len(engines))
	loading := 0
	for _, e := range engines {
		byAddress[e.Address] = e
		for _, l := range e.Models {
			if !l.Ready {
				loading++
			}
		}
	}
	var steps []Step
	ordered := make(map[netip.AddrPort]bool)
	for _, m := range models {
		for _, address := range targets[m.Name] {
			e := byAddress[address]
			if ordered[address] || isLoading(e) || !needsLoad(e, m) {
				continue
			}
			s, ok := nextStep(e, m, models, targets)
			if !ok || s.Action == protocol.ActionLoad && loading >= maxConcurrentLoads {
				continue
			}
			if s.Action == protocol.ActionLoad {
				loading++
			}
			ordered[address] = true
			steps = append(steps, s)
		}
	}
	return steps
}

func isLoading(e Engine) bool {
	return slices.ContainsFunc(e.Models, func(l protocol.LoadedModel) bool { return !l.Ready })
}

// needsLoad reports whether the engine lacks the model or one of its adapters, or has another
// version.
func needsLoad(e Engine, m pipeline.Model) bool {
	l := findLoaded(e, m.Name)
	if l == nil || l.Version != m.Version {
		return true
	}
	for _, a := range m.Adapters {
		if !slices.Contains(l.Adapters, a) {
			return true
		}
	}
	return false
}

// nextStep returns an order to load the model if there is enough memory, and otherwise one to
// unload a model that the engine need not hold.
func nextStep(e Engine, m pipeline.Model, models []pipeline.Model, targets map[string][]netip.AddrPort) (Step, bool) {
	load := Step{Engine: e.Address, Action: protocol.ActionLoad, Model: m.Name, Version: m.Version, Bytes: m.Bytes, Adapters: m.Adapters}
	need := m.Bytes
	if findLoaded(e, m.Name) != nil {
		need = 0
	}
	if e.UsedBytes+need <= e.MemoryBytes {
		return load, true
	}
	for _, l := range e.Models {
		if l.Model != m.Name && !slices.Contains(targets[l.Model], e.Address) && mayUnload(l.Model, models, targets) {
			return Step{Engine: e.Address, Action: protocol.ActionUnload, Model: l.Model, Version: l.Version}, true
		}
	}
	return Step{}, false
}

// mayUnload reports whether engines that are not targets of a model may unload it: it is no
// longer published, or its target engines are known.
func mayUnload(model string, models []pipeline.Model, targets map[string][]netip.AddrPort) bool {
	published := slices.ContainsFunc(models, func(m pipeline.Model) bool { return m.Name == model })
	return !published || len(targets[model]) > 0
}

// A fencing token has the era of the configuration in its highest bits, then the revision, then a
// counter.
const (
	fenceCounterBits  = 20
	fenceRevisionBits = 32
)

// Fence returns the fencing token for an order based on a configuration revision of an era, given the
// engine's highest token. It reports false if the engine has executed an order of a higher
// revision or a later era, since the caller's configuration is then out of date.
func Fence(highest, era, revision uint64) (uint64, bool) {
	base := era<<fenceRevisionBits | revision
	if highest>>fenceCounterBits > base {
		return 0, false
	}
	return max(highest, base<<fenceCounterBits) + 1, true
}
