// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package pipeline defines the values that operators publish: pipeline templates, workspaces
// with their parameters, and models.
//
// A value is JSON with a format number. It is decoded and checked as a whole and independently
// of other values, so that all nodes accept or reject the same values.
package pipeline
