// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package campaign runs a whole site under random faults, several at once, and
// checks what callers were told against what backend servers saw. A seed fixes
// the requests and the faults. It runs under testing/synctest:
//
//	go test ./internal/campaign -args -from 1 -count 2000
package campaign
