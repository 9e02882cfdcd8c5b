// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package engineload models the load of one engine: how fast it is for as long as it runs, which
// streams it runs, and how long the prefill of a prompt would stall them. It uses neither a clock
// nor the network.
//
// It handles pools whose engines differ in speed and have few slots. There, one long prefill stalls
// a large share of an engine's streams, and a slow engine needs twice as long for it.
package engineload
