// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package delta encodes a value as its difference from an earlier value, so that the bytes
// sent over a link are proportional to the change. It uses zstd compression with the earlier
// value as the dictionary.
package delta
