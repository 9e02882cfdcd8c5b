// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package peerhttp is the HTTP transport for calls between hosts. Connections may become
// silent for good without a reset.
//
// If a call on a kept connection is not answered soon, the transport hedges: it makes the call
// once more on a new connection. If the new connection answers first, the kept ones are discarded
// together. Calls whose responses may take long are marked by Patient. For these, KeepAlive makes
// the other host send interim responses on the connection of the call, and a call without them is
// retried. All calls must be safe to make more than once.
package peerhttp
