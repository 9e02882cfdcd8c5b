// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package harness runs a whole site in one process: stand-ins for the platform and the backend
// servers, and real nodes, over an in-memory network or over loopback. The demo, the scenarios and
// the measurements use it.
package harness
