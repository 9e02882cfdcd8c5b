// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"strings"

	"github.com/sirupsen/logrus"
)

// linesMost is how many lines a batch of changes writes one by one. A host that starts
// hears of all servers at once; with a line for each it would start later, and a fleet
// would write as many lines as it has hosts and servers, multiplied.
const linesMost = 64

// batchLog writes the lines of one batch of changes, and counts those above linesMost.
type batchLog struct {
	log   logrus.FieldLogger
	lines int
	// more has how often each message was left out.
	more logrus.Fields
}

func newBatchLog(log logrus.FieldLogger) *batchLog {
	return &batchLog{log: log, more: make(logrus.Fields)}
}

// info writes a line, or counts it.
func (b *batchLog) info(message string, fields logrus.Fields) {
	if b.lines < linesMost {
		b.lines++
		b.log.WithFields(fields).Info(message)
		return
	}
	field := strings.ReplaceAll(message, " ", "_")
	count, _ := b.more[field].(int)
	b.more[field] = count + 1
}

// warn writes a line whatever their number.
func (b *batchLog) warn(message string, fields logrus.Fields) {
	b.log.WithFields(fields).Warn(message)
}

// end tells of what was counted.
func (b *batchLog) end() {
	if len(b.more) > 0 {
		b.log.WithFields(b.more).Info("more backend servers changed at once")
	}
}
