// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package place decides which models each engine holds. It is a pure function
// of the published models and of what the engines report, so that owners with
// the same view want the same, and an owner that takes over goes on where the
// last one stopped.
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
	// Leaving engines get no order.
	Leaving bool
	protocol.EngineState
}

const (
	// busy is the share of its slots above which a model gets more engines,
	// and idle the one below which it gives one up.
	busy = 0.7
	idle = 0.2
	// atOnce bounds the loads under way, so that the weight store's rate goes
	// to a few that finish soon and not to many that finish late.
	atOnce = 2
)

// Step is the next order for one engine.
type Step struct {
	Engine  netip.AddrPort
	Action  protocol.Action
	Model   string
	Version string
	Bytes   int64
	// Adapters go with the model.
	Adapters []string
}

// Targets returns for each model the engines that should hold it, the first in
// rank first.
func Targets(models []pipeline.Model, engines []Engine) map[string][]netip.AddrPort {
	targets := make(map[string][]netip.AddrPort, len(models))
	for _, m := range models {
		var addresses []netip.AddrPort
		for _, e := range engines {
			if e.Pool == m.Pool && !e.Leaving {
				addresses = append(addresses, e.Address)
			}
		}
		targets[m.Name] = owner.Top(addresses, m.Name, replicas(m, engines))
	}
	return targets
}

// replicas is how many engines the model should have: what is published, and
// as many more as the load of those that have it asks for. Between busy and
// idle the number stays, so that it does not swing.
func replicas(m pipeline.Model, engines []Engine) int {
	holders, load, slots := 0, 0, 0
	for _, e := range engines {
		if e.Pool != m.Pool || e.Leaving || !ready(e, m) {
			continue
		}
		holders++
		load += e.Running + e.Waiting
		slots += e.Slots
	}
	want := holders
	switch {
	case slots > 0 && float64(load) > busy*float64(slots):
		want = holders + 1
	case slots > 0 && float64(load) < idle*float64(slots):
		want = holders - 1
	}
	return max(want, m.Replicas)
}

func ready(e Engine, m pipeline.Model) bool {
	l := loaded(e, m.Name)
	return l != nil && l.Ready
}

func loaded(e Engine, model string) *protocol.Loaded {
	for i := range e.Models {
		if e.Models[i].Model == model {
			return &e.Models[i]
		}
	}
	return nil
}

// Steps returns the next orders: for each engine at most one, and no more
// loads than may be under way at once. Whoever computes them, an engine's
// order depends on nothing but the arguments.
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
			if ordered[address] || isLoading(e) || !wants(e, m) {
				continue
			}
			s, ok := loadStep(e, m, models, targets)
			if !ok || s.Action == protocol.ActionLoad && loading >= atOnce {
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
	return slices.ContainsFunc(e.Models, func(l protocol.Loaded) bool { return !l.Ready })
}

// wants reports whether the engine lacks the model or an adapter of it, or has
// another version.
func wants(e Engine, m pipeline.Model) bool {
	l := loaded(e, m.Name)
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

// loadStep loads the model where there is memory, and else unloads one that
// the engine need not hold.
func loadStep(e Engine, m pipeline.Model, models []pipeline.Model, targets map[string][]netip.AddrPort) (Step, bool) {
	load := Step{Engine: e.Address, Action: protocol.ActionLoad, Model: m.Name, Version: m.Version, Bytes: m.Bytes, Adapters: m.Adapters}
	need := m.Bytes
	if loaded(e, m.Name) != nil {
		need = 0
	}
	if e.UsedBytes+need <= e.MemoryBytes {
		return load, true
	}
	for _, l := range e.Models {
		if l.Model != m.Name && !slices.Contains(targets[l.Model], e.Address) && enough(l.Model, models, targets) {
			return Step{Engine: e.Address, Action: protocol.ActionUnload, Model: l.Model, Version: l.Version}, true
		}
	}
	return Step{}, false
}

// enough reports whether a model may be unloaded somewhere: it is not
// published any more, or its own engines are known.
func enough(model string, models []pipeline.Model, targets map[string][]netip.AddrPort) bool {
	published := slices.ContainsFunc(models, func(m pipeline.Model) bool { return m.Name == model })
	return !published || len(targets[model]) > 0
}

const counterBits = 20

// Fence returns the fence for an order that is based on a configuration
// revision, given the engine's highest. It reports false where the engine has
// obeyed an order of a higher revision: the one who asks is out of date.
func Fence(highest, revision uint64) (uint64, bool) {
	base := revision << counterBits
	if highest>>counterBits > revision {
		return 0, false
	}
	return max(highest, base) + 1, true
}
