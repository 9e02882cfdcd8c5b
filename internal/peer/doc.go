// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package peer is what the nodes of one fleet say to each other: a heartbeat
// with one other node a second, which carries news of members and leaving
// backend servers and compares what both hold of the published values, and the
// exchange of what one of them lacks.
//
// The cost per node does not grow with the fleet: one heartbeat sent and about
// one received a second, each of a bounded size.
package peer
