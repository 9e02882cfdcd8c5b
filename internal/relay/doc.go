// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package relay serves requests without interpreting their content. It finds the route and
// the workspace of a request, runs the stages that the route requires, chooses the backend
// server that answers, and forwards the answer byte by byte.
//
// A Dialect defines the header names on the wire. Core.Serve in serve.go is the entry
// point.
//
// A stream whose engine is silent is hedged: it is sent to a second engine beside the first,
// and the one that sends the next event goes on (hedge.go, attempt.go).
package relay
