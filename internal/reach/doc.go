// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package reach decides whether a host has lost its links to all backend servers.
//
// A host that can open no connection cannot tell by itself whether its links or the servers are
// down. It therefore compares its own attempts with the servers that other hosts have reached since
// its own attempts began to fail: it is isolated only if it fails at those too. Servers that are
// down are reached by no host.
package reach
