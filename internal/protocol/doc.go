// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package protocol has what wingvale and the backend servers say to each other:
// headers, paths, and the bodies of calls and answers, which check themselves.
// docs/BACKENDS.md describes the protocol for those who see no code.
package protocol
