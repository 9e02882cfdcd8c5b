// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package campaign runs a whole site under random faults, several at once, and compares the answers
// that callers got with the calls that backend servers received. The seed determines the requests
// and the faults. The package runs under testing/synctest:
//
//	go test ./internal/campaign -args -from 1 -count 2000
package campaign
