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
	// stageFactor times the time of an empty call is what a call takes with its
	// pieces, until its pool has said.
	stageFactor = 1.4
	// stageTurn is what a stage takes beside its call and the queue: the ways,
	// and the wait for a server's turn.
	stageTurn = 30 * time.Millisecond
	// largeResult is the size from which a stage beside a longer chain is
	// begun late, so that its results do not take up room while they wait.
	largeResult = 256 << 10
)

// graph is the stages of one request under way.
type graph struct {
	job *job
	// zone is where the last results will be used.
	zone  string
	depth []int
	// results has those of each stage that has ended.
	results [][]stageplan.Result
	// used has the stages whose results were given up before the end.
	used []bool
}

// stageEnd is the outcome of one stage.
type stageEnd struct {
	stage  int
	answer stagepool.Answer
}

// newGraph returns the graph of a request whose last results are used in zone.
func newGraph(j *job, zone string) *graph {
	g := &graph{job: j, zone: zone}
	g.depth = make([]int, len(j.route.Stages))
	g.results = make([][]stageplan.Result, len(j.route.Stages))
	g.used = make([]bool, len(j.route.Stages))
	// Stages name earlier ones, so one pass from the end finds the depths.
	for i := len(j.route.Stages) - 1; i >= 0; i-- {
		if g.depth[i] == 0 {
			g.depth[i] = 1
		}
		for _, before := range j.route.Stages[i].After {
			g.depth[before] = max(g.depth[before], g.depth[i]+1)
		}
	}
	return g
}

// deepest is how many stages follow each other on the longest way.
func (g *graph) deepest() int {
	deepest := 0
	for i, depth := range g.depth {
		if g.job.pieces(i) > 0 {
			deepest = max(deepest, depth)
		}
	}
	return deepest
}

// needed reports whether the request has any pieces to make.
func (g *graph) needed() bool {
	for i := range g.job.route.Stages {
		if g.job.pieces(i) > 0 {
			return true
		}
	}
	return false
}

// estimate is how long the stages take from one of that depth to the end.
func (g *graph) estimate(depth int) time.Duration {
	return g.longest(depth, g.job.stageTime)
}

// least is how long they take at idle pools.
func (g *graph) least(depth int) time.Duration {
	return g.longest(depth, g.job.emptyCall)
}

// longest adds up the longest time of each depth.
func (g *graph) longest(depth int, timeOf func(service string) time.Duration) time.Duration {
	longest := make(map[int]time.Duration)
	for i, stage := range g.job.route.Stages {
		if g.job.pieces(i) == 0 || g.depth[i] > depth {
			continue
		}
		longest[g.depth[i]] = max(longest[g.depth[i]], timeOf(stage.Service))
	}
	var total time.Duration
	for _, t := range longest {
		total += t
	}
	return total
}

// waits is how long new work waits at the fullest of the stages' pools.
func (g *graph) waits() time.Duration {
	var longest time.Duration
	for i, stage := range g.job.route.Stages {
		if g.job.pieces(i) > 0 {
			backlog, _ := g.job.core.options.Stages.Backlog(stage.Service)
			longest = max(longest, backlog.Waits.Longest())
		}
	}
	return longest
}

// emptyCall is how long the shortest call of a service takes.
func (j *job) emptyCall(service string) time.Duration {
	s := j.catalog.Service(service)
	if s == nil || s.Batch == nil {
		return 0
	}
	return s.Batch.CallTime
}

// stageTime is how long one stage of a service takes that is next in its queue:
// the less time is left, the sooner a stage's turn comes.
func (j *job) stageTime(service string) time.Duration {
	s := j.catalog.Service(service)
	if s == nil || s.Batch == nil {
		return 0
	}
	backlog, known := j.core.options.Stages.Backlog(service)
	if !known {
		return time.Duration(stageFactor*float64(s.Batch.CallTime)) + stageTurn
	}
	return backlog.Call + stageTurn
}

// run makes all pieces, each stage as soon as those before it have ended, but
// large results no sooner than they are of use.
func (g *graph) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stages := g.job.route.Stages
	ends := make(chan stageEnd, len(stages))
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
			if g.job.pieces(i) == 0 {
				ended[i] = true
				continue
			}
			running++
			w := g.work(i)
			go func() { ends <- stageEnd{stage: i, answer: g.job.core.options.Stages.Run(ctx, w)} }()
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
		g.results[end.stage] = end.answer.Results
		if end.answer.Failure != "" && failed == nil {
			failed = g.failure(ctx, end)
			cancel()
		}
		g.releaseUsed(ended)
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
func (g *graph) ready(i int, ended []bool) bool {
	stage := g.job.route.Stages[i]
	for _, before := range stage.After {
		if !ended[before] {
			return false
		}
	}
	if stage.ResultBytes < largeResult {
		return true
	}
	// Everything that is two steps or more before the results are used must
	// have ended: what is left then takes about as long as this stage.
	for other := range g.depth {
		if g.depth[other] > g.depth[i] && !ended[other] && g.job.pieces(other) > 0 {
			return false
		}
	}
	return true
}

func (g *graph) work(i int) stageplan.Work {
	j := g.job
	stage := j.route.Stages[i]
	after := g.estimate(g.depth[i]-1) + expectedRead(j.Request) + j.core.engineDelay(j.route)
	w := stageplan.Work{
		Service:     stage.Service,
		Request:     j.ID,
		Stage:       i,
		Workspace:   j.workspace.Name,
		Route:       j.route.Name,
		Latest:      j.objective.Add(-after),
		Deadline:    j.useful().Add(-g.least(g.depth[i]-1) - expectedRead(j.Request)),
		Priority:    j.priority(),
		ResultBytes: stage.ResultBytes,
		InputBytes:  g.inputBytes(i),
		Beside:      g.beside(i),
		Zone:        g.zoneOf(i),
		Homes:       j.homes,
	}
	for p := range j.pieces(i) {
		w.Pieces = append(w.Pieces, p)
	}
	if len(stage.After) == 0 {
		w.Key = j.PieceKey
	}
	for _, before := range stage.After {
		for _, r := range g.results[before] {
			w.Inputs = append(w.Inputs, r.Handle)
		}
	}
	return w
}

// inputBytes is the expected size of all inputs of one piece of a stage.
func (g *graph) inputBytes(i int) int64 {
	var total int64
	for _, before := range g.job.route.Stages[i].After {
		total += int64(len(g.results[before])) * g.job.route.Stages[before].ResultBytes
	}
	return total
}

// beside reports whether results of another last stage wait for those of this
// one.
func (g *graph) beside(i int) bool {
	if g.depth[i] != 1 {
		return false
	}
	for other := range g.depth {
		if other != i && g.depth[other] == 1 && g.job.pieces(other) > 0 {
			return true
		}
	}
	return false
}

// zoneOf is where a stage is best run: where its inputs lie, or where the
// engine is that needs its results.
func (g *graph) zoneOf(i int) string {
	if g.depth[i] == 1 && g.job.route.Stages[i].ResultBytes >= largeResult {
		return g.zone
	}
	if g.inputBytes(i) < largeResult {
		return ""
	}
	var largest int64
	zone := ""
	for _, before := range g.job.route.Stages[i].After {
		bytes := g.job.route.Stages[before].ResultBytes
		if results := g.results[before]; len(results) > 0 && bytes > largest {
			largest, zone = bytes, results[0].Zone
		}
	}
	return zone
}

// workspaceRanks is how many ranks of routes one rank of workspaces outweighs.
const workspaceRanks = 2

// priority is the request's rank: the workspace's before the route's.
func (j *job) priority() int {
	return j.workspace.Priority*workspaceRanks + j.route.Priority
}

// failure is what a failed stage means for the request.
func (g *graph) failure(ctx context.Context, end stageEnd) error {
	j := g.job
	if interrupted := j.interrupted(ctx); interrupted != nil {
		return interrupted
	}
	service := j.route.Stages[end.stage].Service
	if end.answer.Failure == stageplan.FailureGone {
		return errGone
	}
	j.log.WithFields(logrus.Fields{
		"stage": end.stage, "pool": service, "failure": end.answer.Failure, "owner": end.answer.Owner,
		"wait_ms": end.answer.Wait.Milliseconds(), "left_ms": j.left().Milliseconds(),
	}).Info("stage failed")
	reason, after := verdict.ReasonOverload, end.answer.Wait+fullAfter
	switch end.answer.Failure {
	case stageplan.FailureLate:
		reason, after = ReasonLate, j.returnAfter()
	case stageplan.FailureClosed:
		reason, after = verdict.ReasonNoServer, j.returnAfter()
	case stageplan.FailureResting:
		reason, after = ReasonResting, end.answer.Wait+time.Duration(j.core.chance()*float64(comeBackSpread))
	}
	return j.refuse(reason, after, "stage %d at %s: %s", end.stage, service, end.answer.Failure)
}

// inputs returns the results that the request itself needs: those of the stages
// that no other comes after.
func (g *graph) inputs() []string {
	var handles []string
	for i := range g.job.route.Stages {
		if g.depth[i] != 1 {
			continue
		}
		for _, r := range g.results[i] {
			handles = append(handles, r.Handle)
		}
	}
	return handles
}

// inputsAt returns where most of the large results that the request needs lie,
// and their expected size.
func (g *graph) inputsAt() (zone string, bytes int64) {
	byZone := make(map[string]int64)
	for i, stage := range g.job.route.Stages {
		if g.depth[i] != 1 || stage.ResultBytes < largeResult {
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

// release gives up all results.
func (g *graph) release() {
	for i, results := range g.results {
		if len(results) == 0 || g.used[i] {
			continue
		}
		g.results[i] = nil
		go g.job.core.options.Stages.Release(g.job.route.Stages[i].Service, results)
	}
}

// releaseUsed gives up the results that no stage needs any more. Those that the
// request itself needs stay.
func (g *graph) releaseUsed(ended []bool) {
	for i, results := range g.results {
		if g.depth[i] > 1 && len(results) > 0 && !g.used[i] && g.consumed(i, ended) {
			g.used[i] = true
			go g.job.core.options.Stages.Release(g.job.route.Stages[i].Service, results)
		}
	}
}

// consumed reports whether all stages that need the results of one have ended.
func (g *graph) consumed(i int, ended []bool) bool {
	for other, stage := range g.job.route.Stages {
		if slices.Contains(stage.After, i) && !ended[other] {
			return false
		}
	}
	return true
}
