// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package protocol defines the protocols between wingvale and the backend servers: headers,
// paths, and the bodies of calls and answers with their checks. docs/BACKENDS.md describes the
// protocols for implementers of backend servers.
package protocol
