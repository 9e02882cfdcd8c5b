// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package verdict says, for every error of the system, whether the work it
// speaks of may have run.
//
// The rule is one line: before the first byte of a call is written the verdict
// is NotRun, after it the verdict is Unknown, unless the far side says by
// contract that it did not start. Nothing turns Unknown into NotRun again.
package verdict
