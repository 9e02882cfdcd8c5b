// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package intake bounds the memory and the connections that clients of a process may occupy together, whatever they
// send. When a bound is reached, the client that makes the least progress gives way.
package intake
