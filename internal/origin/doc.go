// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package origin finds out which software version of a backend service began a stream, so that another
// host can go on with it at that version. The host that forwards the first event keeps the version, and
// sends copies to the hosts that rank best for the stream, its keepers, in different availability zones.
// A host whose caller takes the stream up asks these.
//
// When hosts join, leave or start anew, those that hold the versions of recent streams send them to the
// keepers that lack them. A host that leaves sends on what it holds and what it still receives.
package origin
