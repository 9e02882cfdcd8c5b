// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// EngineState is the full load report of an engine.
type EngineState struct {
	Instance string        `json:"instance"`
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Slots    int           `json:"slots"`
	Leaving  bool          `json:"leaving"`
	Models   []LoadedModel `json:"models,omitempty"`
	Role     string        `json:"role,omitempty"`
	// Fence is the highest fence that the engine has accepted.
	Fence uint64 `json:"fence"`
	// MemoryBytes is the memory for all models, and UsedBytes what they use of it.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	UsedBytes   int64 `json:"used_bytes,omitempty"`
}

// LoadedModel is one model that an engine has loaded or is loading.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// Ready is false while the weights are being loaded.
	Ready bool `json:"ready"`
}

// Load returns the part of the report that all backend servers give.
func (s EngineState) Load() Load {
	return Load{Instance: s.Instance, Running: s.Running, Waiting: s.Waiting, Slots: s.Slots, Leaving: s.Leaving}
}

// CacheEvent reports that an engine has stored or evicted a prompt prefix.
type CacheEvent struct {
	// Sequence increases by one with each event of an instance.
	Sequence uint64 `json:"seq"`
	// Stored is false if the prefix was evicted.
	Stored bool `json:"stored"`
	// Prefix identifies the prefix; see PrefixOf.
	Prefix uint64 `json:"prefix,string"`
}

// CacheEvents is the answer to a request for the events after a sequence number. Events may be
// delayed or missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number after which to ask next.
	Next uint64 `json:"next"`
}

// Check checks the number of events.
func (e CacheEvents) Check() error {
	if len(e.Events) > maxCacheEvents {
		return fmt.Errorf("protocol: %d cache events, at most %d are allowed", len(e.Events), maxCacheEvents)
	}
	return nil
}

const maxCacheEvents = 4096

// PrefixOf returns the identifier of a prompt's prefix: the XXH64 of the model, a zero byte,
// the adapter, a zero byte, and the first line of the prompt including its line end. It
// returns 0 for a prompt without a line end, which has no prefix.
func PrefixOf(model, adapter, prompt string) uint64 {
	end := strings.IndexByte(prompt, '\n')
	if end < 0 {
		return 0
	}
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt[:end+1])
}

// Action is the action that an order asks of an engine.
type Action string

// Actions of orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	ActionRole   Action = "role"
)

// Order is a fenced order to an engine.
type Order struct {
	// Fence must be higher than the highest fence that the engine has accepted.
	Fence uint64 `json:"fence"`
	// Owner is the node that sends the order.
	Owner    string   `json:"owner"`
	Action   Action   `json:"action"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}
