// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package dispatch holds the waiting and running calls of one pool of backend
// servers at one node: who is next, and where it goes.
package dispatch
