// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// EngineState is an engine's full load report.
type EngineState struct {
	Instance string   `json:"instance"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Slots    int      `json:"slots"`
	Leaving  bool     `json:"leaving"`
	Models   []Loaded `json:"models,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Fence is the highest that the engine has accepted.
	Fence uint64 `json:"fence"`
	// MemoryBytes and UsedBytes are what models share.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	UsedBytes   int64 `json:"used_bytes,omitempty"`
}

// Loaded is one model that an engine holds.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// Ready is false while the weights are still coming.
	Ready bool `json:"ready"`
}

// Load returns the part of the report that all backend servers give.
func (s EngineState) Load() Load {
	return Load{Instance: s.Instance, Running: s.Running, Waiting: s.Waiting, Slots: s.Slots, Leaving: s.Leaving}
}

// CacheEvent says that an engine has stored a prompt's prefix, or dropped it.
type CacheEvent struct {
	// Sequence grows by one from event to event of one instance.
	Sequence uint64 `json:"seq"`
	// Stored is false where the prefix was dropped.
	Stored bool `json:"stored"`
	// Prefix names the prefix, as PrefixOf does.
	Prefix uint64 `json:"prefix,string"`
}

// CacheEvents answers what happened after a sequence number. Events may be
// late, and some may be missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number to ask after next.
	Next uint64 `json:"next"`
}

// Check bounds the events.
func (e CacheEvents) Check() error {
	if len(e.Events) > maxCacheEvents {
		return fmt.Errorf("protocol: %d cache events, at most %d are allowed", len(e.Events), maxCacheEvents)
	}
	return nil
}

const maxCacheEvents = 4096

// PrefixOf names the prefix of a prompt: the XXH64 of the model, a zero byte,
// the adapter, a zero byte, and the prompt's first line with its line end. A
// prompt without a line end has none, and 0 is returned.
func PrefixOf(model, adapter, prompt string) uint64 {
	end := strings.IndexByte(prompt, '\n')
	if end < 0 {
		return 0
	}
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt[:end+1])
}

// Action is what an order asks an engine to do.
type Action string

// Actions of orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionRole   Action = "role"
)

// Order is a fenced order to an engine.
type Order struct {
	// Fence must be higher than the engine's highest.
	Fence uint64 `json:"fence"`
	// Owner is the node that orders.
	Owner    string   `json:"owner"`
	Action   Action   `json:"action"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}
