// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"github.com/wingvale/wingvale/internal/dispatch"
	"github.com/wingvale/wingvale/internal/estimate"
	"github.com/wingvale/wingvale/pipeline"
	"github.com/wingvale/wingvale/request"
	"github.com/wingvale/wingvale/verdict"
)

// plan is the execution plan of a request, made once at its start from the values then in
// force. Later changes of the configuration apply to later requests.
type plan struct {
	spec      request.Spec
	workspace pipeline.Workspace
	template  pipeline.Template
	// start is the first stage to run, always a valid index of steps; the stages before it
	// have finished.
	start int
	steps []step
	// startedAt and deadline bound the request.
	startedAt time.Time
	deadline  time.Time
	// unrepeatable is set if no stage may be sent twice.
	unrepeatable bool
}

// step is one stage of a plan.
type step struct {
	pipeline.Stage
	pool *dispatch.Pool
	// estimateKey is the key of the stage in the table of estimates.
	estimateKey string
	expected    estimate.Estimate
	// remainingWork is the expected work of this and all later stages, and margin the extra
	// time that most requests need beyond that.
	remainingWork time.Duration
	margin        time.Duration
	// release removes the work committed to the pool for this stage. It is idempotent and
	// never nil.
	release func()
}

// newPlan resolves spec against the values in force. Its errors are NotRun.
func (n *Node) newPlan(spec request.Spec) (*plan, error) {
	w, t, err := n.resolve(spec)
	if err != nil {
		return nil, err
	}
	p := &plan{spec: spec, workspace: w, template: t, startedAt: time.Now(), unrepeatable: spec.Unrepeatable}
	wait := t.Deadline.Std()
	if requested := spec.Deadline.Std(); requested > 0 {
		wait = min(requested, wait)
	}
	p.deadline = p.startedAt.Add(wait)
	for _, s := range t.Stages {
		p.unrepeatable = p.unrepeatable || s.Unrepeatable
		p.steps = append(p.steps, n.newStep(t, s))
	}
	remainingWork, margin := time.Duration(0), time.Duration(0)
	for i := len(p.steps) - 1; i >= 0; i-- {
		remainingWork += p.steps[i].expected.Mean
		margin += marginDeviations * p.steps[i].expected.Spread
		p.steps[i].remainingWork, p.steps[i].margin = remainingWork, margin
	}
	if spec.Resume != nil {
		return p, p.resume(*spec.Resume)
	}
	return p, nil
}

func (n *Node) resolve(spec request.Spec) (pipeline.Workspace, pipeline.Template, error) {
	w, ok := n.configuration.Get(pipeline.PrefixWorkspace + spec.Workspace)
	if !ok || w.Workspace == nil {
		return pipeline.Workspace{}, pipeline.Template{}, verdict.New(verdict.NotRun, verdict.ReasonNoWorkspace, "node: no workspace %s is published", spec.Workspace)
	}
	t, ok := n.configuration.Get(pipeline.PrefixTemplate + spec.Pipeline)
	if !ok || t.Template == nil {
		return pipeline.Workspace{}, pipeline.Template{}, verdict.New(verdict.NotRun, verdict.ReasonNoPipeline, "node: no template %s is published", spec.Pipeline)
	}
	resolved, err := w.Workspace.Resolve(*t.Template)
	if err != nil {
		return pipeline.Workspace{}, pipeline.Template{}, verdict.New(verdict.NotRun, verdict.ReasonNoPipeline, "%w", err)
	}
	return *w.Workspace, resolved, nil
}

func (n *Node) newStep(t pipeline.Template, s pipeline.Stage) step {
	estimateKey := t.Name + "/" + s.Name + "/" + s.Model
	return step{Stage: s, pool: n.pools.get(s.Pool), estimateKey: estimateKey, expected: n.estimates.Estimate(estimateKey), release: func() {}}
}

// resume moves the start past the stages that the caller's checkpoint covers.
func (p *plan) resume(c request.Checkpoint) error {
	if p.unrepeatable {
		return verdict.New(verdict.Unknown, verdict.ReasonBadRequest, "node: an unrepeatable request cannot resume")
	}
	if c.Finished == "" {
		return nil
	}
	for i, s := range p.steps[:len(p.steps)-1] {
		if s.Name == c.Finished {
			p.start = i + 1
			return nil
		}
	}
	return verdict.New(verdict.Unknown, verdict.ReasonBadRequest, "node: no stage follows the checkpoint's %s in the pipeline", c.Finished)
}

// marginDeviations is the margin of a request, in mean deviations of its work. Without it,
// half of the requests that start at the latest possible time would miss their deadline, at
// full cost.
const marginDeviations = 3

func (p *plan) margin() time.Duration {
	return p.steps[p.start].margin
}

func (p *plan) background() bool {
	return p.template.Class == pipeline.ClassBackground
}

// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// admit decides, before any resources are used, whether the request can meet its deadline. A
// stage starts when the previous one has ended and the work committed ahead of it at its own
// pool is drained, whichever is later: the queue of a later stage drains while the earlier
// stages run.
func (n *Node) admit(p *plan) error {
	total := time.Duration(0)
	for _, s := range p.steps[p.start:] {
		if s.pool == nil {
			return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "node: no backend server of pool %s is listed", s.Pool).WithRetryAfter(time.Second)
		}
		f := s.pool.Predict(p.workspace.Name, p.workspace.Weight, s.Model, s.expected.Mean)
		if f.Share == 0 {
			return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "node: no backend server of pool %s can serve stage %s", s.Pool, s.Name).WithRetryAfter(time.Second)
		}
		total = max(total, f.Wait) + s.expected.Mean
	}
	total += p.margin()
	available := time.Until(p.deadline)
	if total <= available || n.options.Policy.AdmitAll {
		return nil
	}
	if n.allowProbe(p) {
		return nil
	}
	retryAfter := min(max(total-available, minRetryAfter), maxRetryAfter)
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, "node: would take %v of %v", total.Round(time.Millisecond), available.Round(time.Millisecond)).WithRetryAfter(n.jitter(retryAfter))
}

// probeInterval is the minimum age of an estimate that a request may be admitted against as a
// probe, and the minimum time between two probes.
const probeInterval = 2 * time.Second

// allowProbe reports whether a request may be admitted although the estimates say that it is
// late. Old estimates are probed, since only a call can show that a slow phase is over.
func (n *Node) allowProbe(p *plan) bool {
	for _, s := range p.steps[p.start:] {
		if n.estimates.Age(s.estimateKey) < probeInterval {
			continue
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if time.Since(n.lastProbes[s.estimateKey]) < probeInterval {
			return false
		}
		n.lastProbes[s.estimateKey] = time.Now()
		n.scope.Counter("probes").Inc(1)
		return true
	}
	return false
}

// jitter adds up to half of d at random, so that refused callers do not all retry at the same
// time.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d + time.Duration(n.random.Int64N(int64(d)/2+1))
}

// commit adds the plan's work to the pools that it will use. Background work is not counted,
// since it yields to all other work.
func (p *plan) commit() {
	for i := range p.steps {
		s := &p.steps[i]
		if i >= p.start && !p.background() {
			s.release = s.pool.Commit(p.workspace.Name, p.workspace.Weight, s.expected.Mean)
		}
	}
}

// release removes the committed work of stages that have not started.
func (p *plan) release() {
	for _, s := range p.steps {
		s.release()
	}
}
