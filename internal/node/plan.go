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

// plan is what a request will do, made once at its start from the values then
// in force. A change of configuration meets the next request.
type plan struct {
	spec      request.Spec
	workspace pipeline.Workspace
	template  pipeline.Template
	// start is the first stage to run, always one of the steps; those before it
	// have finished.
	start int
	steps []step
	// begin and deadline bound the request.
	begin    time.Time
	deadline time.Time
	// unrepeatable says that no stage may be sent twice.
	unrepeatable bool
}

// step is one stage of a plan.
type step struct {
	pipeline.Stage
	pool *dispatch.Pool
	// kind is the estimate's key.
	kind     string
	expected estimate.Estimate
	// rest is the expected work of this stage and all after it, and margin
	// what most requests need beyond that.
	rest   time.Duration
	margin time.Duration
	// settle takes back what is committed at the pool for this stage. It may
	// be called any number of times, and is never nil.
	settle func()
}

// newPlan resolves spec against the values in force. It fails with NotRun.
func (n *Node) newPlan(spec request.Spec) (*plan, error) {
	w, t, err := n.resolve(spec)
	if err != nil {
		return nil, err
	}
	p := &plan{spec: spec, workspace: w, template: t, begin: time.Now(), unrepeatable: spec.Unrepeatable}
	wait := t.Deadline.Std()
	if asked := spec.Deadline.Std(); asked > 0 {
		wait = min(asked, wait)
	}
	p.deadline = p.begin.Add(wait)
	for _, s := range t.Stages {
		p.unrepeatable = p.unrepeatable || s.Unrepeatable
		p.steps = append(p.steps, n.newStep(t, s))
	}
	rest, margin := time.Duration(0), time.Duration(0)
	for i := len(p.steps) - 1; i >= 0; i-- {
		rest += p.steps[i].expected.Mean
		margin += margins * p.steps[i].expected.Spread
		p.steps[i].rest, p.steps[i].margin = rest, margin
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
	kind := t.Name + "/" + s.Name + "/" + s.Model
	return step{Stage: s, pool: n.pools.of(s.Pool), kind: kind, expected: n.estimates.Of(kind), settle: func() {}}
}

// resume moves the start past the stages that the caller's checkpoint has.
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

// margins is how many mean deviations of its work a request is given beyond
// what is expected. Without it, half of those that start at their latest time
// would miss their deadline, at full cost.
const margins = 3

func (p *plan) margin() time.Duration {
	return p.steps[p.start].margin
}

func (p *plan) background() bool {
	return p.template.Class == pipeline.ClassBackground
}

// maxRetryAfter bounds what a refused caller is asked to wait.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// admit decides, before anything is spent, whether the request can be answered
// in time. A stage begins when the one before has ended and the work committed
// ahead at its own pool is drained, whichever is later: what waits for a later
// stage is drained while the earlier ones run.
func (n *Node) admit(p *plan) error {
	total := time.Duration(0)
	for _, s := range p.steps[p.start:] {
		if s.pool == nil {
			return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "node: no backend server of pool %s is listed", s.Pool).After(time.Second)
		}
		f := s.pool.Predict(p.workspace.Name, p.workspace.Weight, s.Model, s.expected.Mean)
		if f.Share == 0 {
			return verdict.New(verdict.NotRun, verdict.ReasonNoServer, "node: no backend server of pool %s can serve stage %s", s.Pool, s.Name).After(time.Second)
		}
		total = max(total, f.Wait) + s.expected.Mean
	}
	total += p.margin()
	left := time.Until(p.deadline)
	if total <= left || n.options.Policy.AdmitAll {
		return nil
	}
	if n.probe(p) {
		return nil
	}
	after := min(max(total-left, minRetryAfter), maxRetryAfter)
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, "node: would take %v of %v", total.Round(time.Millisecond), left.Round(time.Millisecond)).After(n.jitter(after))
}

// probeAfter is how old an estimate must be before one request is let through
// against it, and how long until the next.
const probeAfter = 2 * time.Second

// probe lets a request through that the estimates speak against, where they are
// old: what made calls slow may have passed, and only a call can tell.
func (n *Node) probe(p *plan) bool {
	for _, s := range p.steps[p.start:] {
		if n.estimates.Age(s.kind) < probeAfter {
			continue
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		if time.Since(n.probed[s.kind]) < probeAfter {
			return false
		}
		n.probed[s.kind] = time.Now()
		n.scope.Counter("probes").Inc(1)
		return true
	}
	return false
}

// jitter spreads d by up to a half more, so that refused callers do not come
// back all at once.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d + time.Duration(n.random.Int64N(int64(d)/2+1))
}

// commit counts the plan's work at the pools that it will come to. Background
// work is not counted: it yields to all other.
func (p *plan) commit() {
	for i := range p.steps {
		s := &p.steps[i]
		if i >= p.start && !p.background() {
			s.settle = s.pool.Commit(p.workspace.Name, p.workspace.Weight, s.expected.Mean)
		}
	}
}

// settle takes all of it back that has not begun.
func (p *plan) settle() {
	for _, s := range p.steps {
		s.settle()
	}
}
