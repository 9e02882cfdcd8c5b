// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/stageplan"
	"github.com/wingvale/wingvale/internal/stagepool"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// callTimeFactor times the time of an empty call is the estimate for a call with its
	// pieces, until the pool reports its own.
	callTimeFactor = 1.4
	// stageOverhead is the time of a stage in addition to its call and its queue: network
	// latency, and the wait until a server is free.
	stageOverhead = 30 * time.Millisecond
	// largeResultBytes is the size from which results count as large. A stage with large
	// results that runs in parallel to a longer chain starts late, so that its results do
	// not occupy memory while they wait.
	largeResultBytes = 256 << 10
)

// stageGraph is the stages of one request in progress.
type stageGraph struct {
	job *job
	// zone is where the last results will be used.
	zone string
	// order has the stages in an order in which each follows all that it comes after. depths has how many
	// stages a chain has at most from each stage to the end, itself included; 0 for a stage without pieces.
	order  []int
	depths []int
	// after has, for each stage, the stages with pieces whose results it needs.
	after [][]int
	// results holds the results of each stage that has ended.
	results [][]stageplan.Result
	// released marks the stages whose results were released before the end.
	released []bool
}

// stageOutcome is the outcome of one stage.
type stageOutcome struct {
	stage  int
	answer stagepool.Answer
	// took is the time until the answer, including the messages to the pool's owner.
	took time.Duration
}

// newStageGraph returns the graph of a request whose last results are used in zone.
func newStageGraph(j *job, zone string) *stageGraph {
	g := &stageGraph{job: j, zone: zone}
	g.depths = make([]int, len(j.route.Stages))
	g.results = make([][]stageplan.Result, len(j.route.Stages))
	g.released = make([]bool, len(j.route.Stages))
	g.order = orderStages(j.route.Stages)
	g.after = j.stageInputs(g.order)
	for _, i := range slices.Backward(g.order) {
		if j.pieceCount(i) == 0 {
			continue
		}
		g.depths[i] = max(g.depths[i], 1)
		for _, before := range g.after[i] {
			g.depths[before] = max(g.depths[before], g.depths[i]+1)
		}
	}
	return g
}

// maxDepth returns the number of stages in the longest chain.
func (g *stageGraph) maxDepth() int {
	deepest := 0
	for i, depth := range g.depths {
		if g.job.pieceCount(i) > 0 {
			deepest = max(deepest, depth)
		}
	}
	return deepest
}

// hasPieces reports whether any stage of the request has pieces to process.
func (j *job) hasPieces() bool {
	for i := range j.route.Stages {
		if j.pieceCount(i) > 0 {
			return true
		}
	}
	return false
}

// expectedTime returns the expected time of the stages from the given depth to the end.
func (g *stageGraph) expectedTime(depth int) time.Duration {
	return g.criticalPath(depth, g.job.nextStageTime)
}

// minTime returns the same for idle pools.
func (g *stageGraph) minTime(depth int) time.Duration {
	return g.criticalPath(depth, g.job.emptyCallTime)
}

// criticalPath returns the sum of the longest time at each depth.
func (g *stageGraph) criticalPath(depth int, timeOf func(service string) time.Duration) time.Duration {
	longest := make(map[int]time.Duration)
	for i, stage := range g.job.route.Stages {
		if g.job.pieceCount(i) == 0 || g.depths[i] > depth {
			continue
		}
		longest[g.depths[i]] = max(longest[g.depths[i]], timeOf(stage.Service))
	}
	var total time.Duration
	for _, t := range longest {
		total += t
	}
	return total
}

// emptyCallTime returns the time of the shortest call of a service.
func (j *job) emptyCallTime(service string) time.Duration {
	s := j.catalog.Service(service)
	if s == nil || s.Batch == nil {
		return 0
	}
	return s.Batch.CallTime
}

// nextStageTime returns how long a stage of a service takes that is next in its queue: the
// less time a request has left, the sooner its stage is scheduled.
func (j *job) nextStageTime(service string) time.Duration {
	s := j.catalog.Service(service)
	if s == nil || s.Batch == nil {
		return 0
	}
	backlog, known := j.core.options.Stages.Backlog(service)
	if !known {
		return time.Duration(callTimeFactor*float64(s.Batch.CallTime)) + stageOverhead
	}
	return backlog.CallTime + stageOverhead
}

// run processes all pieces. Each stage starts as soon as the stages before it have ended,
// but one with large results only once those are about to be needed.
func (g *stageGraph) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stages := g.job.route.Stages
	ends := make(chan stageOutcome, len(stages))
	started := make([]bool, len(stages))
	ended := make([]bool, len(stages))
	running := 0
	var failed error
	for {
		for i := range stages {
			if failed != nil || started[i] || !g.ready(i, ended) {
				continue
			}
			started[i] = true
			if g.job.pieceCount(i) == 0 {
				ended[i] = true
				continue
			}
			running++
			w := g.work(i)
			go func() {
				began := time.Now()
				answer := g.job.core.options.Stages.Run(ctx, w)
				ends <- stageOutcome{stage: i, answer: answer, took: time.Since(began)}
			}()
		}
		if running == 0 {
			if failed == nil && !all(ended) {
				continue
			}
			return failed
		}
		end := <-ends
		running--
		ended[end.stage] = true
		g.job.recordStage(stages[end.stage].Service, end)
		g.results[end.stage] = end.answer.Results
		if end.answer.Failure != "" && failed == nil {
			failed = g.stageError(ctx, end)
			cancel()
		}
		g.releaseConsumed(ended)
	}
}

func all(flags []bool) bool {
	for _, f := range flags {
		if !f {
			return false
		}
	}
	return true
}

// ready reports whether a stage may start now.
func (g *stageGraph) ready(i int, ended []bool) bool {
	stage := g.job.route.Stages[i]
	if !allOf(ended, g.after[i]) {
		return false
	}
	if stage.ResultBytes < largeResultBytes {
		return true
	}
	// All stages at least two steps before the use of the results must have ended: what
	// remains then takes about as long as this stage.
	for other := range g.depths {
		if g.depths[other] > g.depths[i] && !ended[other] && g.job.pieceCount(other) > 0 {
			return false
		}
	}
	return true
}

func (g *stageGraph) work(i int) stageplan.Work {
	j := g.job
	stage := j.route.Stages[i]
	after := g.expectedTime(g.depths[i]-1) + idleFirstEventTime(j.Request) + j.core.meanEngineDelay(j.route)
	w := stageplan.Work{
		Service:           stage.Service,
		Request:           j.ID,
		Stage:             i,
		Workspace:         j.workspace.Name,
		Route:             j.route.Name,
		Latest:            j.objective.Add(-after),
		Deadline:          j.usefulUntil().Add(-g.minTime(g.depths[i]-1) - idleFirstEventTime(j.Request)),
		Priority:          j.priority(),
		ResultBytes:       stage.ResultBytes,
		InputBytes:        g.inputBytes(i),
		HoldsOtherResults: g.hasSiblingResults(i),
		Zone:              g.preferredZone(i),
		AllowedRegions:    j.regions,
	}
	for p := range j.pieceCount(i) {
		w.Pieces = append(w.Pieces, p)
	}
	if len(stage.After) == 0 {
		w.Key = j.PieceKey
	}
	if j.catalog.LoadAware {
		w.Next = g.nextLoads(i)
	}
	for _, before := range g.after[i] {
		for _, r := range g.results[before] {
			w.Inputs = append(w.Inputs, r.Handle)
		}
	}
	return w
}

// inputBytes returns the expected total size of the inputs of one piece of a stage.
func (g *stageGraph) inputBytes(i int) int64 {
	var total int64
	for _, before := range g.after[i] {
		total += int64(len(g.results[before])) * g.job.route.Stages[before].ResultBytes
	}
	return total
}

// hasSiblingResults reports whether results of another last stage wait for those of this
// one.
func (g *stageGraph) hasSiblingResults(i int) bool {
	if g.depths[i] != 1 {
		return false
	}
	for other := range g.depths {
		if other != i && g.depths[other] == 1 && g.job.pieceCount(other) > 0 {
			return true
		}
	}
	return false
}

// preferredZone returns the zone in which a stage should run: where its inputs are, or
// where the engine is that needs its results.
func (g *stageGraph) preferredZone(i int) string {
	if g.depths[i] == 1 && g.job.route.Stages[i].ResultBytes >= largeResultBytes {
		return g.zone
	}
	if g.inputBytes(i) < largeResultBytes {
		return ""
	}
	var largest int64
	zone := ""
	for _, before := range g.after[i] {
		bytes := g.job.route.Stages[before].ResultBytes
		if results := g.results[before]; len(results) > 0 && bytes > largest {
			largest, zone = bytes, results[0].Zone
		}
	}
	return zone
}

// workspaceWeight is the number of route priority levels that one workspace priority level
// outweighs.
const workspaceWeight = 2

// priority returns the priority of the request: the workspace's takes precedence over the
// route's.
func (j *job) priority() int {
	return j.workspace.Priority*workspaceWeight + j.route.Priority
}

// stageError returns the error of the request after a stage failed.
func (g *stageGraph) stageError(ctx context.Context, end stageOutcome) error {
	j := g.job
	if ctxErr := j.contextError(ctx); ctxErr != nil {
		return ctxErr
	}
	service := j.route.Stages[end.stage].Service
	if end.answer.Failure == stageplan.FailureGone {
		return errInputGone
	}
	j.log.WithFields(logrus.Fields{
		"stage": end.stage, "pool": service, "failure": end.answer.Failure, "owner": end.answer.Owner,
		"wait_ms": end.answer.Wait.Milliseconds(), "left_ms": j.remaining().Milliseconds(),
	}).Info("stage failed")
	reason, after := verdict.ReasonOverload, end.answer.Wait+fullRetryAfter
	switch end.answer.Failure {
	case stageplan.FailureLate:
		reason, after = ReasonLate, j.retryAfter()
	case stageplan.FailureClosed:
		reason, after = verdict.ReasonNoServer, j.retryAfter()
	case stageplan.FailureResting:
		reason, after = ReasonResting, end.answer.Wait+time.Duration(j.core.randomFloat()*float64(retryAfterJitter))
	}
	return j.refuse(reason, after, "stage %d at %s: %s", end.stage, service, end.answer.Failure)
}

// inputHandles returns the handles of the results that the request itself needs: those of
// the stages that no other stage with pieces depends on.
func (g *stageGraph) inputHandles() []string {
	var handles []string
	for i := range g.job.route.Stages {
		if g.depths[i] != 1 {
			continue
		}
		for _, r := range g.results[i] {
			handles = append(handles, r.Handle)
		}
	}
	return handles
}

// largeInputsZone returns the zone with most of the large results that the request needs,
// and their expected size there.
func (g *stageGraph) largeInputsZone() (zone string, bytes int64) {
	byZone := make(map[string]int64)
	for i, stage := range g.job.route.Stages {
		if g.depths[i] != 1 || stage.ResultBytes < largeResultBytes {
			continue
		}
		for _, r := range g.results[i] {
			byZone[r.Zone] += stage.ResultBytes
		}
	}
	for z, b := range byZone {
		if b > bytes || b == bytes && z < zone {
			zone, bytes = z, b
		}
	}
	return zone, bytes
}

// release releases all results.
func (g *stageGraph) release() {
	for i, results := range g.results {
		if len(results) == 0 || g.released[i] {
			continue
		}
		g.results[i] = nil
		go g.job.core.options.Stages.Release(g.job.route.Stages[i].Service, results)
	}
}

// releaseConsumed releases the results that no stage needs any more. Those that the
// request itself needs are kept.
func (g *stageGraph) releaseConsumed(ended []bool) {
	for i, results := range g.results {
		if g.depths[i] > 1 && len(results) > 0 && !g.released[i] && g.consumed(i, ended) {
			g.released[i] = true
			go g.job.core.options.Stages.Release(g.job.route.Stages[i].Service, results)
		}
	}
}

// consumed reports whether all stages that need the results of a stage have ended.
func (g *stageGraph) consumed(i int, ended []bool) bool {
	for other, after := range g.after {
		if g.job.pieceCount(other) > 0 && slices.Contains(after, i) && !ended[other] {
			return false
		}
	}
	return true
}
