// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/backend"
	"github.com/wingvale/wingvale/internal/dispatch"
	"github.com/wingvale/wingvale/internal/protocol"
	"github.com/wingvale/wingvale/internal/queue"
	"github.com/wingvale/wingvale/internal/table"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

const (
	// maxSends limits how often one stage is sent.
	maxSends = 4
	// sendsPerAttempt keeps the send numbers of different attempts apart.
	sendsPerAttempt = 1000
)

// job is the execution of one request.
type job struct {
	*plan
	run *table.Run
	// previous is the result of the last finished stage.
	previous json.RawMessage
	// finished is the name of that stage.
	finished string
	// sent is set once any byte of a call may have reached a backend server. It is never
	// reset.
	sent bool
	// sends is the number of the last call.
	sends  int
	costs  []request.StageCost
	digest request.Digest
	// attempts counts the calls of the current stage. retryTaken is set once the retry for the next one was
	// taken from the budget.
	attempts   int
	retryTaken atomic.Bool
	// resumeTried is set once the stream of the caller's checkpoint has been tried.
	resumeTried bool
}

// start runs an admitted request in the background.
func (n *Node) start(run *table.Run, p *plan) {
	p.commit()
	j := &job{plan: p, run: run, digest: request.NewDigest()}
	attempt := 1
	if c := p.spec.Resume; c != nil {
		attempt = c.Attempt + 1
		j.sent = true
		j.previous, j.finished = c.Result, c.Finished
	}
	j.sends = (attempt - 1) * sendsPerAttempt
	run.Accept(request.Accepted{
		ID:         run.ID,
		Node:       n.settings.Caller,
		Attempt:    attempt,
		Deadline:   pipeline.Duration(time.Until(p.deadline)),
		Repeatable: !p.unrepeatable,
	})
	n.running.Add(1)
	n.scope.Counter("accepted").Inc(1)
	n.runs.Go(func() {
		defer n.running.Add(-1)
		n.execute(run.Context(), j)
	})
}

// execute runs each stage of an admitted request in order and then ends the answer.
func (n *Node) execute(ctx context.Context, j *job) {
	ctx, cancel := context.WithDeadlineCause(ctx, j.deadline, errDeadline)
	defer cancel()
	defer j.release()
	for i := j.start; i < len(j.steps); i++ {
		s := &j.steps[i]
		j.run.Stage(s.Name)
		last := i == len(j.steps)-1
		result, err := n.runStage(ctx, j, s, last)
		if err != nil {
			n.fail(ctx, j, s, err)
			return
		}
		if last {
			// No checkpoint is needed: the answer itself follows.
			break
		}
		j.previous, j.finished = result, s.Name
		j.checkpoint(nil)
	}
	n.finish(j)
}

var errDeadline = errors.New("node: the deadline has passed")

// runStage runs one stage, with as many retries as the rules and the deadline allow.
func (n *Node) runStage(ctx context.Context, j *job, s *step, last bool) (json.RawMessage, error) {
	if s.DeadlineShare > 0 {
		var cancel context.CancelFunc
		limit := time.Duration(s.DeadlineShare * float64(j.deadline.Sub(j.startedAt)))
		ctx, cancel = context.WithTimeoutCause(ctx, limit, errDeadline)
		defer cancel()
	}
	cost := request.StageCost{Stage: s.Name}
	defer func() { j.costs = append(j.costs, cost) }()
	n.budget.RecordFirstAttempt()
	var avoid []netip.AddrPort
	for {
		g, err := s.pool.Acquire(ctx, n.newTask(ctx, j, s, avoid))
		if err != nil {
			return nil, j.afterSend(err)
		}
		s.release()
		startedAt := time.Now()
		cost.Attempts++
		j.attempts = cost.Attempts
		cost.Server = g.Server
		cost.Wait += pipeline.Duration(g.Waited)
		result, err := n.send(ctx, j, s, g, last)
		cost.Work += pipeline.Duration(time.Since(startedAt))
		if err == nil {
			return result, nil
		}
		if !n.mayRetry(ctx, j, err, cost.Attempts) {
			return nil, j.afterSend(err)
		}
		n.scope.Counter("retries").Inc(1)
		avoid = append(avoid, g.Server)
	}
}

// afterSend turns NotRun into Unknown if any part of the request was sent before.
func (j *job) afterSend(err error) error {
	if j.sent {
		return verdict.AfterSend(err)
	}
	return err
}

func (n *Node) newTask(ctx context.Context, j *job, s *step, avoid []netip.AddrPort) dispatch.Task {
	latest := j.deadline
	if limit, ok := ctx.Deadline(); ok && limit.Before(latest) {
		latest = limit
	}
	return dispatch.Task{
		Item: queue.Item{
			Workspace:  j.workspace.Name,
			Weight:     j.workspace.Weight,
			Latest:     latest.Add(-s.remainingWork - s.margin),
			Cost:       s.expected.Mean,
			Background: j.background(),
		},
		Model:  s.Model,
		Prefix: j.prefix(s),
		Avoid:  avoid,
	}
}

// mayRetry reports whether a failed call may be retried: it did not run, or the request is
// repeatable, and there is time and retry budget left.
func (n *Node) mayRetry(ctx context.Context, j *job, err error, sends int) bool {
	if ctx.Err() != nil || sends >= maxSends {
		return false
	}
	e := verdict.As(err)
	if e.Verdict != verdict.NotRun && j.unrepeatable {
		return false
	}
	if e.Reason == verdict.ReasonTooLarge {
		return false
	}
	if e.Verdict == verdict.NotRun && e.Reason == verdict.ReasonConnection {
		// Nothing was sent, so the retry adds no load.
		return true
	}
	if !j.retryTaken.Swap(false) && !n.budget.TakeRetry() {
		n.scope.Counter("retries_denied").Inc(1)
		return false
	}
	return true
}

// send makes one call and records its outcome.
func (n *Node) send(ctx context.Context, j *job, s *step, g *dispatch.Grant, last bool) (json.RawMessage, error) {
	j.sends++
	call := backend.Call{Server: g.Server, Request: j.run.ID, Stage: s.Name, Attempt: j.sends, Deadline: j.deadline}
	startedAt := time.Now()
	var result json.RawMessage
	var report backend.Report
	var err error
	if s.Kind == pipeline.KindEngine {
		result, report, err = n.generate(ctx, j, s, call, last)
	} else {
		result, report, err = n.callStage(ctx, j, s, call, last)
	}
	if verdict.Of(err) != verdict.NotRun {
		j.sent = true
	}
	n.recordOutcome(ctx, s, g, report, time.Since(startedAt), err)
	return result, err
}

// recordOutcome updates the pool and the estimates with the outcome of a call.
func (n *Node) recordOutcome(ctx context.Context, s *step, g *dispatch.Grant, report backend.Report, work time.Duration, err error) {
	o := dispatch.Outcome{Work: work, Expected: s.expected.Typical, Low: s.expected.Low, Load: report.Load, Known: report.Known}
	switch {
	case err == nil:
		n.estimates.Add(s.estimateKey, work)
	case ctx.Err() != nil:
		o.Ignored = true
	case errors.Is(err, errCallOverdue):
		// The call took at least that long. If this were not recorded, the estimate would
		// never show that the whole pool has become slow.
		n.estimates.Add(s.estimateKey, work)
		o.Failed = true
	case verdict.As(err).Reason == verdict.ReasonRefused:
		o.Refused = true
	default:
		o.Failed = true
		o.Unreachable = verdict.Of(err) == verdict.NotRun
	}
	g.Done(o)
	if report.Known {
		n.pools.recordReport(g.Server)
	}
	if report.Known && report.Load.Leaving {
		n.MarkServerLeaving(g.Server, report.Load.Instance)
	}
	tags := map[string]string{"stage": s.Name, "pool": s.Pool, "verdict": verdict.Of(err).String()}
	n.scope.Tagged(tags).Timer("stage").Record(work)
}

const (
	// callTimeoutFactor is the multiple of the typical duration after which a call to a pool
	// times out and is retried on another server; it needs minSamples samples.
	callTimeoutFactor = 6
	minSamples        = 10
	minCallTimeout    = 200 * time.Millisecond
	// defaultCallTimeout applies to calls without enough samples.
	defaultCallTimeout = 10 * time.Second
)

// callTimeout returns the timeout of one call of a repeatable stage, so that a server that
// hangs costs one attempt and not the request. An unrepeatable call cannot be retried, so it
// gets all of the remaining time.
func callTimeout(j *job, s *step) time.Duration {
	if j.unrepeatable {
		// The margin ensures that the deadline itself ends the call.
		return time.Until(j.deadline) + defaultCallTimeout
	}
	if s.expected.Samples < minSamples {
		return defaultCallTimeout
	}
	timeout := callTimeoutFactor * s.expected.Typical
	if j.background() {
		return max(timeout, defaultCallTimeout)
	}
	return max(timeout, minCallTimeout)
}

func (n *Node) callStage(ctx context.Context, j *job, s *step, call backend.Call, last bool) (json.RawMessage, backend.Report, error) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer n.endOverdueCall(j, s, j.attempts, cancel)()
	body := protocol.StageCall{Workspace: j.workspace.Name, Input: j.spec.Input, Previous: j.previous, Unrepeatable: j.unrepeatable}
	result, report, err := n.backends.Stage(callCtx, call, body)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(callCtx), errCallOverdue) {
		v := verdict.As(err)
		err = verdict.New(v.Verdict, v.Reason, "%w: %w", errCallOverdue, err)
	}
	if err == nil && last && !n.appendChunk(j, string(result)) {
		return nil, report, errAnswerTooLarge()
	}
	return result, report, err
}

var errCallOverdue = errors.New("node: the server did not answer the call in time")

// endOverdueCall ends a call of a repeatable stage that its server does not answer in time, once a retry is
// there for it. Without one, the call goes on. Each further call of a stage gets twice the time, since all
// servers may have become slow. The returned function ends the watch.
func (n *Node) endOverdueCall(j *job, s *step, attempts int, cancel context.CancelCauseFunc) (stop func()) {
	if j.unrepeatable || attempts >= maxSends {
		return func() {}
	}
	timeout := callTimeout(j, s) << (attempts - 1)
	ctx, stopWatch := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(timeout)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if ctx.Err() == nil && n.budget.TakeRetry() {
				j.retryTaken.Store(true)
				n.scope.Counter("calls_overdue").Inc(1)
				cancel(errCallOverdue)
				return
			}
		}
	}()
	return stopWatch
}

func errAnswerTooLarge() error {
	return verdict.New(verdict.Unknown, verdict.ReasonTooLarge, "node: the answer has more than %d bytes", request.MaxAnswerBytes)
}

// appendChunk appends text to the caller's answer.
func (n *Node) appendChunk(j *job, text string) bool {
	j.digest.Add(text)
	return j.run.Chunk(text)
}

// checkpoint sends the caller what another node needs to resume the request.
func (j *job) checkpoint(stream *request.StreamRef) {
	if j.unrepeatable || len(j.previous) > request.MaxCheckpointBytes {
		return
	}
	j.run.Checkpoint(request.Checkpoint{
		Attempt:  j.run.Attempt(),
		Finished: j.finished,
		Result:   j.previous,
		Stream:   stream,
	})
}

func (n *Node) finish(j *job) {
	done := request.Done{
		ID:      j.run.ID,
		Attempt: j.run.Attempt(),
		Chunks:  j.run.Chunks(),
		Digest:  j.digest.Sum(),
		Costs:   j.costs,
	}
	j.run.End(time.Now(), request.Event{Type: request.EventDone, Done: &done})
	n.table.MarkEnded(j.run)
	n.scope.Counter("answered").Inc(1)
	n.scope.Timer("request").Record(time.Since(j.startedAt))
}

// fail ends the request with an error that states whether anything ran.
func (n *Node) fail(ctx context.Context, j *job, s *step, err error) {
	if cause := context.Cause(ctx); cause != nil {
		err = endedBy(cause, j.sent)
	}
	issuedHere := n.table.Issued(j.run.ID)
	failed := request.NewFailed(err)
	if failed.Reason == verdict.ReasonConnection {
		// The failed connection is that to a backend server, not the caller's.
		failed.Reason = verdict.ReasonServerFailed
	}
	failed.Settled = issuedHere && failed.Verdict == verdict.NotRun
	failed.Costs = j.costs
	n.log.WithFields(logrus.Fields{
		"request":   j.run.ID.String(),
		"workspace": j.workspace.Name,
		"stage":     s.Name,
		"verdict":   failed.Verdict.String(),
		"reason":    failed.Reason,
	}).Info("request failed: ", failed.Message)
	n.endRun(j.run, failed)
	n.scope.Tagged(map[string]string{"verdict": failed.Verdict.String(), "reason": string(failed.Reason)}).Counter("failed").Inc(1)
	switch {
	case issuedHere && (failed.Verdict == verdict.NotRun || failed.Reason == verdict.ReasonLeaving):
		// Nothing is kept for readers, and nothing may start under this id.
		n.table.Refuse(j.run, failed.Verdict, failed.Reason)
	case failed.Reason == verdict.ReasonLeaving:
		n.table.Forget(j.run)
	default:
		n.table.MarkEnded(j.run)
	}
}

// endedBy returns the error of a request whose context ended with cause.
func endedBy(cause error, sent bool) error {
	v := verdict.NotRun
	if sent {
		v = verdict.Unknown
	}
	switch {
	case errors.Is(cause, errDeadline):
		return verdict.New(v, verdict.ReasonDeadline, "%w", cause)
	case errors.Is(cause, errMoved):
		return verdict.New(v, verdict.ReasonLeaving, "%w", cause)
	default:
		return verdict.New(v, verdict.ReasonCancelled, "%w", cause)
	}
}

func (n *Node) endRun(run *table.Run, failed request.Failed) {
	if failed.Reason == verdict.ReasonLeaving && failed.Addresses == nil {
		a := n.addresses("", 0)
		failed.Addresses = &a
	}
	run.End(time.Now(), request.Event{Type: request.EventFailed, Failed: &failed})
}
