// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package fleet keeps a node's view of the other entry hosts and of the backend servers that are
// leaving. It merges heartbeats, reports from peers and the host list. A node is the wingvale
// process on an entry host; a member is its record in a view.
//
// The view is only a failure detector. A member that is considered gone may still be running, so
// correctness must not depend on the view.
package fleet
