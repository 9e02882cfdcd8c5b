// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package listed represents updates of a list of backend servers as changes of single
// servers, so that the change of one server costs consumers of the list the work for one
// server only.
package listed

// Change is the addition, change or removal of one item.
type Change[T any] struct {
	// Service is the service of Old and New. An item that moves to another service is
	// removed from one service and added to the other.
	Service string
	// Old is the previous item, nil if it was added. New is the current item, nil if it was
	// removed. At least one of them is set.
	Old *T
	New *T
}
