// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package fleet keeps one node's view of the other entry hosts and of the
// backend servers that are leaving, merged from heartbeats, peers and the host
// list.
//
// The view is advice. That a node is taken for gone proves nothing about what
// it still does, and nothing that must hold depends on it.
package fleet
