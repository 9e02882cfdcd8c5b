// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package node assembles one entry host: the callers' interface, the path of a
// request through its stages, the talk with the other nodes, and the stop.
//
// All nodes are alike. Each part has its own dependencies and a done channel;
// Node starts and stops them in order.
package node
