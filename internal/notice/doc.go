// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package notice holds what backend servers say of themselves in their answers: that a
// run of one leaves, or that it wants nothing from this host for a while. It is the one
// place that all paths ask which send to backend servers, so that what one answer told
// binds every later send, whoever decides on it.
package notice
