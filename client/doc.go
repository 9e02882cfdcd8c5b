// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package client calls wingvale: it asks which addresses to use and holds the
// answer, sends requests under ids that nodes have issued, takes up answers
// that were cut off, goes on with repeatable requests at other nodes, and says
// truthfully what ran.
package client
