// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package table keeps the requests of one node: it issues their ids, lets each
// start at most once, collects its answer, and lets any number of callers read
// that answer from any point, at their own speed.
package table
