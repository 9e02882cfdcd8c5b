// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package scenario runs test scripts in a small language against a site of real nodes in virtual
// time. The scripts are the files in testdata. docs/SCENARIOS.md lists the commands.
package scenario
