// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package pipeline holds the values that operators publish: pipeline
// templates, the parameters of a workspace, and models.
//
// A value is JSON with a format number. Decoding checks it as a whole, with no
// look at other values, so every node accepts or rejects it alike.
package pipeline
