// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package backend calls the backend servers: stage pools, plain services and model
// engines. It classifies each failure by whether the call may have run, and never sends a
// call twice by itself.
package backend
