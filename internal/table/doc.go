// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package table stores the requests of one node. It issues request ids, ensures that each
// request starts at most once, collects its answer, and lets any number of callers read the
// answer from any position at their own speed.
package table
