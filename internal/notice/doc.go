// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package notice stores the notices that backend servers send in their answers: that a run
// of the server is leaving, or that it wants no requests from this host for a while. All
// code that sends to backend servers consults the same Registry, so that a notice in one answer
// applies to every later request.
package notice
