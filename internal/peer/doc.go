// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package peer implements the protocol between the nodes of a fleet: periodic heartbeats that
// gossip membership and leaving backend servers, and anti-entropy of published values.
//
// Every second a node exchanges a heartbeat with one other node. The heartbeat carries news of
// members and of leaving backend servers, and summaries by which the two nodes compare the
// published values that they hold.
//
// A published value travels from the node that read it to the others as follows. Spread pushes
// small entries to a few nodes. It advertises large entries, and small entries whose total is
// large. A node that lacks an advertised entry requests it: small entries by Fetch, a large
// entry by a pull. A pull reads from one node at a time, part by part, as a delta against the
// entry that the node holds, within a share of the link. A node spreads the entries that it
// received in turn. Heartbeats repair what was missed: two nodes whose summaries differ
// synchronise, which requests the entries that the node lacks, and pushes or advertises those
// that its peer lacks. Only the publisher knows whether there is a newer revision: Confirm makes
// a node that watches the publisher check.
//
// The cost per node does not grow with the fleet: a node sends one heartbeat a second and
// receives about one, each of bounded size.
package peer
