// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"strings"

	"github.com/sirupsen/logrus"
)

// maxBatchLines is how many changes of one batch are logged individually. A starting host
// learns of all servers at once: a line for each would delay its start, and a fleet would
// write hosts × servers lines.
const maxBatchLines = 64

// batchLog logs the changes of one batch and counts those beyond maxBatchLines.
type batchLog struct {
	log   logrus.FieldLogger
	lines int
	// suppressed counts the omitted lines by message.
	suppressed logrus.Fields
}

func newBatchLog(log logrus.FieldLogger) *batchLog {
	return &batchLog{log: log, suppressed: make(logrus.Fields)}
}

// info logs a line, or counts it once the batch has reached maxBatchLines.
func (b *batchLog) info(message string, fields logrus.Fields) {
	if b.lines < maxBatchLines {
		b.lines++
		b.log.WithFields(fields).Info(message)
		return
	}
	field := strings.ReplaceAll(message, " ", "_")
	count, _ := b.suppressed[field].(int)
	b.suppressed[field] = count + 1
}

// warn logs a line regardless of the limit.
func (b *batchLog) warn(message string, fields logrus.Fields) {
	b.log.WithFields(fields).Warn(message)
}

// logSuppressed logs the counts of the omitted lines.
func (b *batchLog) logSuppressed() {
	if len(b.suppressed) > 0 {
		b.log.WithFields(b.suppressed).Info("further backend server changes were not logged individually")
	}
}
