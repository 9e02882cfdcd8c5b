// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package settings reads the INI settings of a node and of the stand-ins, and reports all
// errors in a file at once.
package settings
