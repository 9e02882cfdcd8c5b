// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package versionlog records which software versions the backend servers of each service have had, and since
// when the record is complete.
package versionlog
