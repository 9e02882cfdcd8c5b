// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package gateway assembles a node that relays opaque requests: the relay core, the stage
// pools that the node owns, the published configuration and backend servers, and the gossip
// with other nodes. A node is the wingvale process on a host.
package gateway
