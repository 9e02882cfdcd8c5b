// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package ratelimit stores the limits that backend servers state in their answers: how many
// requests a second a server accepts, or how many it can reject for lack of room without crashing.
// Such a limit applies to the requests of all hosts together, for as long as the server states it.
// For the first a host asks the owner of the server for a permit for each request, for the second
// for one of the server's places.
package ratelimit
