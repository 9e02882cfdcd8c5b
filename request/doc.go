// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package request holds what callers and nodes say to each other about one
// request: its id, its specification, the events of its answer, and what
// became of it.
package request
