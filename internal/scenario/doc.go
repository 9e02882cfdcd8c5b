// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package scenario runs scripts in a small language against whole nodes in
// virtual time. A script is a file in testdata; docs/SCENARIOS.md lists the
// commands.
package scenario
