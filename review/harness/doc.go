// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

// Package harness runs a small deployment for the review: daemons of the deploy file as separate
// processes, and stand-ins of the platform's store, of servers and of callers, all on loopback
// addresses and the real clock. The stand-ins follow the users' pages and share no code with the
// product.
package harness
