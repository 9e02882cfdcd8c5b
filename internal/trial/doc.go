// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package trial exchanges with the other hosts under which requests backend servers ended,
// and grants the tries of suspected requests, one at a time for each request.
//
// The verdict on a request is that of internal/suspect. Each end is sent to all hosts, as
// the request may arrive at any of them. Tries are granted by the owner of the request, which
// is chosen among the live hosts by rendezvous hashing; otherwise each of 300 hosts would
// begin a try. A host that cannot reach the owner asks the next host in the ranking, and
// finally decides itself.
package trial
