// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package option has values that may be absent.
package option

// Value is a value that may be absent. The zero value is absent.
type Value[T comparable] struct {
	// value is the zero value of T if present is false.
	value   T
	present bool
}

// Some returns a value that is present.
func Some[T comparable](value T) Value[T] { return Value[T]{value: value, present: true} }

// Get returns the value and whether it is present.
func (v Value[T]) Get() (T, bool) { return v.value, v.present }

// IsPresent reports whether the value is present.
func (v Value[T]) IsPresent() bool { return v.present }

// Equal reports whether v and other are both absent, or both present with equal values.
func (v Value[T]) Equal(other Value[T]) bool { return v == other }
