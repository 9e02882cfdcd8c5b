// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package explain reads the logs of hosts and tells the way of one request over all of
// them: who decided what, on which belief and how old that was, where the time went, and
// why it ended as it did.
package explain
