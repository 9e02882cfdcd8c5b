// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package stageplan schedules the calls to the stage servers of one pool: it batches pieces
// into calls, orders the queue, selects servers and rejects work that cannot finish in time.
// It uses neither the network nor a clock; package stagepool makes the calls.
package stageplan
