// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import "fmt"

// MaxWeightBytes bounds the size of a model's weights.
const MaxWeightBytes = 4 << 40

// Model is the published value of one model that engines can load.
type Model struct {
	// Format is always Format.
	Format int `json:"format"`
	// Name equals the last part of the key it is published under.
	Name string `json:"name"`
	// Version names the weights; a new one is rolled out engine by engine.
	Version string `json:"version"`
	// Pool names the engines that may load the model.
	Pool string `json:"pool"`
	// Bytes is the size of the weights, which the weight store's rate divides.
	Bytes int64 `json:"bytes"`
	// Replicas is the fewest engines that hold the model, also in quiet seasons.
	Replicas int `json:"replicas"`
	// Adapters are loaded along with the model.
	Adapters []string `json:"adapters,omitempty"`
}

// Check reports the first thing wrong with m.
func (m Model) Check() error {
	if err := checkFormat(m.Format); err != nil {
		return err
	}
	for what, name := range map[string]string{"model name": m.Name, "version": m.Version, "pool": m.Pool} {
		if err := CheckName(what, name); err != nil {
			return err
		}
	}
	if m.Bytes <= 0 || m.Bytes > MaxWeightBytes {
		return fmt.Errorf("pipeline: model %s: bytes %d, want 1 to %d", m.Name, m.Bytes, int64(MaxWeightBytes))
	}
	if m.Replicas < 1 {
		return fmt.Errorf("pipeline: model %s: replicas %d, want at least 1", m.Name, m.Replicas)
	}
	for _, a := range m.Adapters {
		if err := CheckName("adapter", a); err != nil {
			return err
		}
	}
	return nil
}
