// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/internal/suspect"
	"github.com/wingvale/wingvale/verdict"
)

// Reasons beside those of package verdict.
const (
	ReasonNoRoute verdict.Reason = "no_route"
	ReasonNoKey   verdict.Reason = "no_key"
	ReasonTimeout verdict.Reason = "timeout"
	// ReasonCrowded says that stages' pools were too full when a request came,
	// ReasonLate that one told later that it would not be reached.
	ReasonCrowded verdict.Reason = "crowded"
	ReasonLate    verdict.Reason = "late"
	// ReasonResting says that all servers had asked the host for rest.
	ReasonResting verdict.Reason = "resting"
)

// ErrCut says that an answer had begun and cannot be ended: the caller must see
// that it is not whole.
var ErrCut = errors.New("relay: the answer was cut off")

// ErrLeft says that the caller has left.
var ErrLeft = errors.New("relay: the caller has left")

const (
	// retryLeast is the least time that a refused caller is told to stay away.
	retryLeast = 100 * time.Millisecond
	// unknownAfter is the same while there is no configuration: a node that
	// starts has one within a second of the publisher's return.
	unknownAfter = time.Second
)

// job is one request under way.
type job struct {
	*Request
	core      *Core
	route     *Route
	workspace *Workspace
	service   *Service
	catalog   *Catalog
	// homes are the regions in which the request may be served.
	homes Homes
	// objective, firstBy and deadline are moments: an answer is in time until
	// the first, counted from the caller's first try, its beginning of use until
	// the second, and all of it until the last.
	objective time.Time
	firstBy   time.Time
	deadline  time.Time
	// ends is the deadline by the clock that goes on while the host is suspended.
	ends time.Duration
	log  logrus.FieldLogger
	// tried has the instances not to be tried again.
	tried []string
	// stagesFor and firstFor are how long the stages and the first byte took.
	stagesFor time.Duration
	firstFor  time.Duration
	// events is how many a stream had that was passed on whole.
	events int
	// placed is where its prompt went last.
	placed placing.Place
	// digested names the request over all its attempts, once digest was called.
	digestOnce sync.Once
	digested   suspect.Digest
	// tryOver ends the try of a suspected request; nil is none. The mutex guards it.
	tryOver func()

	mu sync.Mutex
	// attempts counts the sends that may have run, sends all of them.
	attempts int
	sends    int
	// answers counts the sends that brought an answer of any kind.
	answers int
	// server is where it was sent last, and sentAt when.
	server Server
	sentAt time.Time
}

// sentTo notes a send.
func (j *job) sentTo(s Server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.server = s
	j.sentAt = time.Now()
	j.sends++
}

// answered notes that a send brought an answer.
func (j *job) answered() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers++
}

// unheard notes that an answer that had begun fell silent.
func (j *job) unheard() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers--
}

// unanswered returns how many sends have brought no answer yet. Their
// connections may be silent, and others that rest may be too.
func (j *job) unanswered() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sends - j.answers
}

// lastServer returns where the request was sent last.
func (j *job) lastServer() Server {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.server
}

// lastSent returns when the request was sent last.
func (j *job) lastSent() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sentAt
}

// mayHaveRun notes that a send may have run.
func (j *job) mayHaveRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts++
}

// ran returns how many sends may have run.
func (j *job) ran() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.attempts
}

// sentTimes returns how many sends there were.
func (j *job) sentTimes() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sends
}

// Serve serves one request and passes its answer to sink. An error before the
// sink was started is a *verdict.Error and nothing was passed on; after it, it
// is ErrCut.
func (c *Core) Serve(ctx context.Context, r *Request, sink Sink) error {
	j, err := c.admit(ctx, r)
	if err != nil {
		c.finish(j, r, err)
		return err
	}
	c.awaitHeard(ctx)
	if err := j.mayRun(); err != nil {
		c.finish(j, r, err)
		return err
	}
	defer j.endTry()
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	ctx, free := j.bound(ctx, 0)
	defer free()
	if j.route.Stream {
		err = j.generate(ctx, sink)
	} else {
		err = j.plain(ctx, sink)
	}
	if err == nil {
		j.noteSpan()
		c.options.Suspects.Answered(j.digest())
	}
	c.finish(j, r, err)
	return err
}

// admit finds the route and the workspace, and refuses what cannot be served.
func (c *Core) admit(ctx context.Context, r *Request) (*job, error) {
	catalog := c.awaitCatalog(ctx)
	if catalog == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "relay: no configuration yet").After(unknownAfter)
	}
	route, workspace, refusal := catalog.authorise(r)
	if refusal != nil {
		// What is not known here may have come into force elsewhere.
		if !c.options.Confirm(ctx) {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "relay: cannot confirm the configuration: %w", refusal).After(retryLeast)
		}
		catalog = c.catalog.Load()
		if route, workspace, refusal = catalog.authorise(r); refusal != nil {
			return nil, refusal
		}
	}
	j := &job{Request: r, core: c, route: route, workspace: workspace, catalog: catalog}
	j.service = catalog.Service(route.target(c.chance()))
	if j.service == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "relay: route %s names no known service", route.Name).After(retryLeast)
	}
	var anywhere bool
	if j.homes, anywhere = route.Homes.within(workspace.Homes); !anywhere {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "relay: route %s and workspace %s share no home", route.Name, workspace.Name).After(unknownAfter)
	}
	held := route.Timeout
	if r.Patience > 0 {
		held = min(held, r.Patience)
	}
	j.deadline = r.Arrived.Add(held)
	j.ends = c.options.Boot() + time.Until(j.deadline)
	j.objective = j.firstTry().Add(route.Objective)
	j.firstBy = j.deadline
	if route.FirstWithin > 0 {
		j.firstBy = r.Arrived.Add(min(held, route.FirstWithin))
	}
	j.log = c.log.WithFields(logrus.Fields{"request": r.ID, "route": route.Name})
	if err := j.mayTake(); err != nil {
		return nil, err
	}
	c.retries.first(j.service.Name)
	return j, nil
}

// authorise finds whose request it is and its route.
func (c *Catalog) authorise(r *Request) (*Route, *Workspace, error) {
	route := c.Match(r.Host, r.Path)
	if route == nil {
		return nil, nil, verdict.New(verdict.NotRun, ReasonNoRoute, "relay: no route for host %.80q", r.Host)
	}
	if route.Public {
		return route, &Workspace{}, nil
	}
	workspace, ok := c.Workspace(r.Key)
	if !ok {
		return nil, nil, verdict.New(verdict.NotRun, ReasonNoKey, "relay: unknown key")
	}
	return route, workspace, nil
}

// finish logs how a request ended.
func (c *Core) finish(j *job, r *Request, err error) {
	fields := logrus.Fields{"request": r.ID, "took_ms": time.Since(r.Arrived).Milliseconds()}
	outcome := "answered"
	if err != nil {
		outcome = outcomeOf(err)
		fields["error"] = err.Error()
	}
	fields["outcome"] = outcome
	tagged := c.scope.Tagged(map[string]string{"outcome": outcome})
	tagged.Counter("requests").Inc(1)
	tagged.Histogram("request_seconds", latencies).RecordDuration(time.Since(r.Arrived))
	if err != nil && verdict.Of(err) == verdict.NotRun {
		reason := map[string]string{"reason": outcome}
		c.scope.Tagged(reason).Histogram("refusal_seconds", latencies).RecordDuration(time.Since(r.Arrived))
	}
	if j != nil {
		fields["route"] = j.route.Name
		fields["workspace"] = j.workspace.Name
		fields["config"] = j.catalog.Version
		fields["server"] = j.lastServer().Instance
		fields["digest"] = j.digest()
		fields["sends"] = j.sentTimes()
		fields["attempts"] = j.ran()
		fields["stages_ms"] = j.stagesFor.Milliseconds()
		fields["first_ms"] = j.firstFor.Milliseconds()
		fields["held_ms"] = j.deadline.Sub(j.Arrived).Milliseconds()
		fields["objective_ms"] = j.route.Objective.Milliseconds()
		if j.placed.Instance != "" {
			fields["tokens"] = r.tokens()
			fields["shared_tokens"] = r.sharedTokens()
			fields["engine_wait_ms"] = j.placed.Wait.Milliseconds()
			fields["engine_expected_ms"] = j.placed.Expected.Milliseconds()
			fields["copied"] = j.placed.Source.IsValid()
		}
		if j.stagesFor > 0 {
			c.scope.Histogram("stages_seconds", latencies).RecordDuration(j.stagesFor)
		}
		if j.firstFor > 0 {
			c.scope.Histogram("first_byte_seconds", latencies).RecordDuration(j.firstFor)
		}
	}
	c.log.WithFields(fields).Info("request ended")
}

func outcomeOf(err error) string {
	switch {
	case errors.Is(err, ErrCut):
		return "cut"
	case errors.Is(err, ErrLeft):
		return "left"
	default:
		return string(verdict.As(err).Reason)
	}
}

// left returns how long the caller and the operators wait yet. The steady clock stands
// still while the host is suspended: a server was told of 4 s that its caller had
// waited already.
func (j *job) left() time.Duration {
	return min(time.Until(j.deadline), j.ends-j.core.options.Boot())
}

// interrupted says why ctx has ended, where it has.
func (j *job) interrupted(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return j.expired()
	case errors.Is(context.Cause(ctx), errEnding):
		return j.elsewhere()
	default:
		return ErrLeft
	}
}

// expired is the answer at the deadline: not run where nothing was sent.
func (j *job) expired() error {
	if j.ran() == 0 {
		return verdict.New(verdict.NotRun, ReasonTimeout, "relay: not started within %v", j.deadline.Sub(j.Arrived)).After(retryLeast)
	}
	return verdict.New(verdict.Unknown, ReasonTimeout, "relay: no answer within %v", j.deadline.Sub(j.Arrived))
}

// refuse is the answer where no server can be had.
func (j *job) refuse(reason verdict.Reason, after time.Duration, format string, args ...any) error {
	v := verdict.NotRun
	if j.ran() > 0 {
		v = verdict.Unknown
	}
	return verdict.New(v, reason, "relay: %s", fmt.Sprintf(format, args...)).After(max(after, retryLeast))
}
