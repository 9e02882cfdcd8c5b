// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package tools pins the generators of committed code, so that they stay out of
// the product's dependencies.
package tools
