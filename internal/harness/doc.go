// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package harness sets up a whole site inside one process: the platform's and
// the backend servers' stand-ins and real nodes, over a network in memory or
// over loopback. The demo, the scenarios and the measurements run on it.
package harness
