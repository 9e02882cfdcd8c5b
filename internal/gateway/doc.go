// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package gateway assembles a node that relays opaque requests: the core that
// serves them, the stage pools it owns, the published configuration and backend
// servers, and the other nodes.
package gateway
