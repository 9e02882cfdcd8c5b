// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package exchange

import (
	"errors"
	"fmt"

	"github.com/wingvale/wingvale/verdict"
)

const (
	// maxInterimAnswers limits the number of interim answers to one request.
	maxInterimAnswers = 16
	// maxStrayAnswers limits the number of answers to other requests that are skipped on
	// one connection, and maxStrayBytes the length of each.
	maxStrayAnswers = 2
	maxStrayBytes   = 256 << 10
)

var errHeadTooLong = errors.New("exchange: the heads of the answer are too long")

// limitRead makes reads fail after so many bytes. unlimitRead ends that.
func (c *conn) limitRead(bytes int) {
	c.isLimited, c.readLeft = true, bytes
}

func (c *conn) unlimitRead() {
	c.isLimited = false
}

// badAnswer returns the error for bytes that are no answer to the request. The server may have run it.
func badAnswer(format string, args ...any) error {
	return verdict.New(verdict.Unknown, verdict.ReasonBadAnswer, "exchange: %w", fmt.Errorf(format, args...))
}
