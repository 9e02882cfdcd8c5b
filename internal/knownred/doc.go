// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package knownred parses the list of tests that are known to fail, and checks a
// run of go test -json against it: each listed test must fail, and nothing else
// may fail.
//
// A list has one line per test, with three fields:
//
//	github.com/wingvale/wingvale/internal/owner TestName | cause | issue
//
// The test is a top-level test. A failure of one of its subtests counts as a failure
// of the test. Blank lines and lines that begin with # are ignored.
package knownred
