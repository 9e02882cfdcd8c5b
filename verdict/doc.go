// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

// Package verdict defines errors that state whether the work behind them may have run.
//
// The rule: until the first byte of a call is written the verdict is NotRun, afterwards it is
// Unknown, unless the protocol lets the remote side state that it did not start. Unknown never
// becomes NotRun again.
package verdict
