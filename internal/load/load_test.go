// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package load_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/client"
	"github.com/wingvale/wingvale/internal/load"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// cyclicCaller answers requests in a cycle of four: late, with a wrong text, with a refusal,
// and correctly in time.
type cyclicCaller struct{ calls atomic.Int64 }

// Do answers one request.
func (c *cyclicCaller) Do(_ context.Context, spec request.Spec) (client.Answer, error) {
	answer := client.Answer{Text: "answer to " + spec.Input, Costs: []request.StageCost{{Stage: "encode", Attempts: 1}}}
	switch c.calls.Add(1) % 4 {
	case 0:
		time.Sleep(10 * time.Millisecond)
	case 1:
		time.Sleep(2 * time.Second)
	case 2:
		answer.Text = "another's"
	default:
		return client.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonOverload, "full")
	}
	return answer, nil
}

func TestRunCountsEachRequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cyclicCaller{}
		report := load.Run(t.Context(), load.Options{
			Caller: c,
			Sources: []load.Source{{
				Name:     "note",
				Spec:     func(n int) request.Spec { return request.Spec{Input: strconv.Itoa(n)} },
				Expect:   func(s request.Spec) string { return "answer to " + s.Input },
				Rate:     load.ConstantRate(100),
				Deadline: time.Second,
			}},
			Duration: 10 * time.Second,
			Random:   rand.New(rand.NewPCG(1, 1)),
		})
		r := report.Sources["note"]
		assert.Equal(t, r.Offered, int(c.calls.Load()))
		assert.Assert(t, r.Offered > 800 && r.Offered < 1200, "offered %d requests at 100 per second for 10 s", r.Offered)
		failed := r.Failures["not_run/overload"]
		assert.Equal(t, r.Attained+r.Late+r.Wrong+failed, r.Offered)
		for name, count := range map[string]int{"in time": r.Attained, "late": r.Late, "wrong": r.Wrong, "refused": failed} {
			assert.Assert(t, count*4 >= r.Offered-3 && count*4 <= r.Offered+3, "%s: %d of %d requests, want a quarter", name, count, r.Offered)
		}
		assert.Equal(t, report.Wrong(), r.Wrong)
		offered, attained := report.Totals()
		assert.Equal(t, offered, r.Offered)
		assert.Equal(t, attained, r.Attained)
	})
}
