// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package stagepool fills the calls of stage servers with pieces of many
// requests from many hosts.
//
// A stage server works on one call at a time, and most of a call's time does
// not depend on how many pieces it has. So every pool has one owner among the
// live hosts, by rendezvous hashing, which sends all calls to its servers; the
// other hosts hand it their pieces. Two hosts that both hold themselves for the
// owner only waste work: any piece may be made again. A host that cannot reach
// the owner takes the next one, itself in the end.
package stagepool
