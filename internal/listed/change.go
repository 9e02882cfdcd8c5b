// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package listed has how a list of backend servers is handed on: by what was added,
// changed and removed, so that a change of one server costs its readers work for one.
package listed

// Change is one item that was added, changed or removed.
type Change[T any] struct {
	// Service is that of both; an item that moves to another service is removed from
	// one and added to the other.
	Service string
	// Old is what it replaces, nil where the item is new; New is what it is now, nil
	// where it is gone. One of them is set.
	Old *T
	New *T
}
