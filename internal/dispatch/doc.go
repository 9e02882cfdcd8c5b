// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package dispatch schedules the calls of one node to one pool of backend servers. It
// queues waiting calls, limits the calls in flight, ejects failing servers, and chooses
// the next call and its server.
package dispatch
