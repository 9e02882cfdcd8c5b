// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package node assembles one entry host: the callers' interface, the execution of a request
// stage by stage, the communication with other nodes, and the graceful stop.
//
// A node is the wingvale process on a host. All nodes are equal. Each component has its own
// dependencies and a done channel; Node starts and stops them in order.
package node
