// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package trial exchanges crashes of backend servers with the other hosts, and grants trials of
// suspected requests: a suspected request is sent to one server at a time.
//
// The verdict on a request is that of internal/suspect. Each crash is reported to all hosts, as
// the request may arrive at any of them. Trials are granted by the owner of the request, which is
// chosen among the live hosts by rendezvous hashing; otherwise each of 300 hosts would begin a
// trial. A host that cannot reach the owner asks the next host in the ranking, and finally
// decides itself.
package trial
