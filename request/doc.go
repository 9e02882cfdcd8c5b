// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package request defines what callers and nodes exchange about one request: its id, its
// specification, the events of its answer, and its status.
package request
