// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package explain reads the logs of several hosts and traces one request through them: which
// host decided what, which state it decided on and how old that state was, where the time
// was spent, and why the request ended as it did. It also sums up how requests ended and where
// the time of late ones went, for each route, workspace, zone and pool.
package explain
