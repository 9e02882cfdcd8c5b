// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package stagepool batches the stage work of many requests from many hosts into calls to
// stage servers. A piece is the part of a stage's work that fills one slot of a call.
//
// A stage server works on one call at a time, and most of a call's duration does not
// depend on its number of pieces, so full calls are the most efficient. Each pool of
// servers therefore has one owner among the live hosts, chosen by rendezvous hashing. The
// owner sends all calls to the pool's servers, and the other hosts forward their pieces to
// it. If two hosts both consider themselves the owner, work is only wasted: any piece may
// be executed again. A host that cannot reach the owner tries the next host in the ranking,
// and finally sends the calls itself.
package stagepool
