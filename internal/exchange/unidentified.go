// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxMarks is the number of marks that are remembered of a connection: those of its last few answers.
const maxMarks = 64

// Accept records that the answer is that of the call, whose Unidentified is set. The marks are texts in it that no
// other answer has. If one was in an earlier answer on the connection, the answer is another copy of that one, and
// Accept reports false. The connection is kept only if there are marks and all are new: without any, a copy that
// follows later could not be told from the answer to the next call. Accept must be called after the body was read to
// its end and before it is closed.
func (a *Answer) Accept(marks []string) bool {
	b, ok := a.Body.(*body)
	if !ok {
		return false
	}
	c := b.exchange.conn
	hashes := make([]uint64, 0, len(marks))
	for _, m := range marks {
		h := xxhash.Sum64String(m)
		if slices.Contains(hashes, h) || slices.Contains(c.marks, h) {
			return false
		}
		hashes = append(hashes, h)
	}
	c.marks = append(c.marks, hashes...)
	c.marks = slices.Delete(c.marks, 0, max(len(c.marks)-maxMarks, 0))
	if b.held && len(marks) > 0 {
		b.held = false
		b.exchange.pool.putIdle(b.exchange.call.Address, c, b.header, time.Now())
	}
	return true
}
