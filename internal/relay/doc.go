// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package relay serves requests whose content it does not know: it finds their
// route and workspace, has the pieces of their stages made, chooses the backend
// server that answers, and passes the answer on byte by byte.
//
// What the headers on the wire are called, the package leaves to a Dialect.
// Serve in serve.go reads top to bottom as the path of a request.
package relay
