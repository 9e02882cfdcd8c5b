// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/stageplan"
)

// stageTime is where the time of one stage of a request went.
type stageTime struct {
	pool string
	// total includes the messages to the pool's owner and attempts at owners that failed.
	total time.Duration
	stageplan.Times
}

// recordStage records the times of a stage that ended.
func (j *job) recordStage(pool string, end stageOutcome) {
	if j.catalog.LoadAware {
		j.stageTimes = append(j.stageTimes, stageTime{pool: pool, total: end.took, Times: end.answer.Times})
	}
}

// recordStageTimes adds the zone of this host and the times of the stages to the last line of a
// request. Each stage is one short text, since the line is written for every request.
func (j *job) recordStageTimes(fields logrus.Fields) {
	if !j.catalog.LoadAware {
		return
	}
	fields["zone"] = j.core.options.Zone
	if len(j.stageTimes) == 0 {
		return
	}
	texts := make([]string, 0, len(j.stageTimes))
	for _, s := range j.stageTimes {
		texts = append(texts, fmt.Sprintf("%s %d/%d/%d/%d", s.pool, s.total.Milliseconds(), s.Queue.Milliseconds(), s.Call.Milliseconds(), s.Room.Milliseconds()))
	}
	fields["stage_times"] = texts
}
