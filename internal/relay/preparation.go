// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"time"

	"github.com/wingvale/wingvale/verdict"
)

// maxStageReruns limits how often the stages of one request are rerun because their
// results were no longer available.
const maxStageReruns = 2

// errInputGone means that an engine found an input missing; the request did not run.
var errInputGone = verdict.New(verdict.NotRun, verdict.ReasonRefused, "relay: an input is gone")

// runStages produces the inputs of the request; first reports whether nothing has been
// produced before.
func (j *job) runStages(ctx context.Context, g *stageGraph, first bool) error {
	if !j.hasPieces() {
		return nil
	}
	if need := g.minTime(len(j.route.Stages)) + idleFirstEventTime(j.Request); j.possibleRuns() == 0 && time.Until(j.firstDeadline) < need {
		return j.refuse(verdict.ReasonDeadline, g.longestWait(), "%v left to begin, %v needed", time.Until(j.firstDeadline).Round(time.Millisecond), need)
	}
	if first {
		if err := g.shed(); err != nil {
			return err
		}
	}
	began := time.Now()
	var rest time.Duration
	if j.possibleRuns() == 0 {
		_, rest = j.maxDurations()
	}
	ctx, free := j.withDrainDeadline(ctx, rest)
	defer free()
	err := g.run(ctx)
	j.stagesDuration += time.Since(began)
	return err
}

// preparation runs the stages of a request before it is sent, and once more if results are gone.
type preparation struct {
	job *job
	// zone returns where the last stages should produce their results; empty means anywhere. Nil means
	// anywhere.
	zone func() string
	// graph has the results; nil if there are none.
	graph  *stageGraph
	reruns int
}

// prepare returns the results of the stages, and runs them if there are none.
func (p *preparation) prepare(ctx context.Context) (*stageGraph, error) {
	j := p.job
	for p.graph == nil {
		if err := j.checkIsolated(); err != nil {
			return nil, err
		}
		zone := ""
		if p.zone != nil {
			zone = p.zone()
		}
		p.graph = newStageGraph(j, zone)
		err := j.runStages(ctx, p.graph, p.reruns == 0 && j.sendCount() == 0)
		switch {
		case err == nil || p.mayRepeat(err):
		case errors.Is(err, errInputGone):
			// Earlier sends may have run.
			return nil, j.refuse(verdict.ReasonRefused, fullRetryAfter, "the results of its stages were gone %d times", p.reruns+1)
		default:
			return nil, err
		}
	}
	return p.graph, nil
}

// mayRepeat reports whether the stages may run once more because err says that a result is gone. The results
// are released then.
func (p *preparation) mayRepeat(err error) bool {
	if !errors.Is(err, errInputGone) || p.reruns >= maxStageReruns {
		return false
	}
	p.reruns++
	p.release()
	return true
}

// release releases the results.
func (p *preparation) release() {
	if p.graph != nil {
		p.graph.release()
		p.graph = nil
	}
}
