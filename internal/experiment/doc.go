// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package experiment measures routing and admission decisions under load, on real nodes in
// virtual time. It runs each case with wingvale's policy and with baseline policies, and
// compares the results with an upper bound given by the capacity of the slowest stage. It runs
// under testing/synctest:
//
//	go test ./internal/experiment -timeout 60m -args -measure
package experiment
