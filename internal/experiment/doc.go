// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package experiment measures the decisions under load, on real nodes in
// virtual time: one case after the other, ours against baselines and against a
// bound that follows from the capacity of the tightest stage. It runs under
// testing/synctest:
//
//	go test ./internal/experiment -timeout 60m -args -measure
package experiment
