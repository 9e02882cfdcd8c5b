// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import "fmt"

// MaxWeightBytes limits the size of a model's weights.
const MaxWeightBytes = 4 << 40

// Model is the published value of a model that engines can load.
type Model struct {
	// Format is always the constant Format.
	Format int `json:"format"`
	// Name equals the last part of the key under which the model is published.
	Name string `json:"name"`
	// Version identifies the weights; a new version is rolled out engine by engine.
	Version string `json:"version"`
	// Pool is the name of the pool of engines that may load the model.
	Pool string `json:"pool"`
	// Bytes is the size of the weights. Divided by the transfer rate of the weight store, it
	// gives the loading time.
	Bytes int64 `json:"bytes"`
	// Replicas is the minimum number of engines that hold the model, including in periods of
	// low load.
	Replicas int `json:"replicas"`
	// Adapters are loaded together with the model.
	Adapters []string `json:"adapters,omitempty"`
}

// Check returns an error for the first invalid field of m.
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
