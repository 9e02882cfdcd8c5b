// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// MaxValueBytes is the maximum size of a value in the configuration service.
const MaxValueBytes = 1 << 20

// Prefixes of the keys under which values are published.
const (
	PrefixTemplate  = "templates/"
	PrefixWorkspace = "workspaces/"
	PrefixModel     = "models/"
)

type checker interface{ Check() error }

// Value is one decoded published value. Exactly one field is set.
type Value struct {
	Template  *Template
	Workspace *Workspace
	Model     *Model
}

// Decode decodes and checks the value published under key. The result depends on nothing but
// its arguments.
func Decode(key string, data []byte) (Value, error) {
	if len(data) > MaxValueBytes {
		return Value{}, fmt.Errorf("pipeline: %s has %d bytes, at most %d are allowed", key, len(data), MaxValueBytes)
	}
	if name, ok := strings.CutPrefix(key, PrefixTemplate); ok {
		t, err := decode[Template](data)
		return Value{Template: t}, checkKey(key, name, t, err, func() string { return t.Name })
	}
	if name, ok := strings.CutPrefix(key, PrefixWorkspace); ok {
		w, err := decode[Workspace](data)
		return Value{Workspace: w}, checkKey(key, name, w, err, func() string { return w.Name })
	}
	if name, ok := strings.CutPrefix(key, PrefixModel); ok {
		m, err := decode[Model](data)
		return Value{Model: m}, checkKey(key, name, m, err, func() string { return m.Name })
	}
	return Value{}, fmt.Errorf("pipeline: key %q: want %sNAME, %sNAME or %sNAME", key, PrefixTemplate, PrefixWorkspace, PrefixModel)
}

func decode[T any](data []byte) (*T, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	v := new(T)
	if err := d.Decode(v); err != nil {
		return v, err
	}
	if d.More() {
		return v, fmt.Errorf("trailing data after the value")
	}
	return v, nil
}

func checkKey(key, want string, v checker, err error, name func() string) error {
	if err != nil {
		return fmt.Errorf("pipeline: %s: %w", key, err)
	}
	if err := v.Check(); err != nil {
		return fmt.Errorf("pipeline: %s: %w", key, err)
	}
	if name() != want {
		return fmt.Errorf("pipeline: %s has the name %q", key, name())
	}
	return nil
}
