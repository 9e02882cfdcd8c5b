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

	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/option"
	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/internal/suspect"
	"github.com/wingvale/wingvale/verdict"
)

// Reasons in addition to those of package verdict.
const (
	ReasonNoRoute verdict.Reason = "no_route"
	ReasonNoKey   verdict.Reason = "no_key"
	ReasonTimeout verdict.Reason = "timeout"
	// ReasonCrowded means that the stages' pools were too full when the request arrived,
	// ReasonLate that a pool reported later that the request could not be served in time.
	ReasonCrowded verdict.Reason = "crowded"
	ReasonLate    verdict.Reason = "late"
	// ReasonResting means that all servers had asked the host to pause.
	ReasonResting verdict.Reason = "resting"
	// ReasonUnreachable means that no host was known to reach any backend server.
	ReasonUnreachable verdict.Reason = "unreachable"
)

// ErrCut means that an answer had started and cannot be completed. The caller must be able
// to see that it is incomplete.
var ErrCut = errors.New("relay: answer was cut off")

// ErrDisconnected means that the caller has disconnected.
var ErrDisconnected = errors.New("relay: caller disconnected")

const (
	// minRetryAfter is the minimum Retry-After of a refused caller.
	minRetryAfter = 100 * time.Millisecond
	// notReadyRetryAfter is the Retry-After while there is no configuration: a starting
	// node receives one within a second of the publisher's return.
	notReadyRetryAfter = time.Second
	// unreachableRetryAfter is the Retry-After while no host reaches any backend server: a host
	// that reaches one again notices it within 500 ms.
	unreachableRetryAfter = 500 * time.Millisecond
)

// job is a request in progress.
type job struct {
	*Request
	core      *Core
	route     *Route
	workspace *Workspace
	service   *Service
	catalog   *Catalog
	// regions are the regions in which the request may be served.
	regions Regions
	// objective, firstDeadline and deadline are points in time. An answer is in time until
	// objective, which is counted from the caller's first attempt; its first event is
	// useful until firstDeadline, and the whole answer until deadline.
	objective     time.Time
	firstDeadline time.Time
	deadline      time.Time
	// bootDeadline is the deadline on the clock that keeps running while the host is
	// suspended.
	bootDeadline time.Duration
	log          logrus.FieldLogger
	// triedInstances holds the instances that must not be tried again.
	triedInstances []string
	// stagesDuration and firstByteDuration are how long the stages and the first byte
	// took.
	stagesDuration    time.Duration
	firstByteDuration time.Duration
	// stageTimes has the times of the stages that ended, in order of their ends. It is kept with
	// a load-aware catalog only.
	stageTimes []stageTime
	// events is the number of complete events of a stream that were forwarded, lastEvent the id
	// of the last one, and partialBytes the length of the incomplete event at its end.
	events       int
	lastEvent    string
	partialBytes int
	// unverifiedEnd reports whether the caller got an answer that is not known to be whole.
	unverifiedEnd bool
	// longestGap is the longest gap between two events of a stream.
	longestGap time.Duration
	// placement is where the prompt was placed last.
	placement placing.Placement
	// placeDeniedAt is when the request was first denied a place at a brittle server; zero if it
	// has got one since.
	placeDeniedAt time.Time
	// traitsValue identifies the request, and the shared parts of its prompt, across all attempts;
	// traitsOnce guards it.
	traitsOnce  sync.Once
	traitsValue suspect.Traits
	// handedOver reports whether another host answers the request, staysHere that none took it,
	// and counted whether it was added to the retry budget of a host.
	handedOver bool
	staysHere  bool
	counted    bool
	// releaseTrial ends the trial of a suspected request; nil means that there is none. tried is the part
	// of the prompt that the request is sent alone to try; 0 means none. Both are guarded by mu.
	releaseTrial func()
	tried        suspect.Digest
	// refusedPart is the part of the prompt that the request was refused for; 0 if it was not.
	refusedPart suspect.Digest
	// succeeded reports whether the answer has the status of a success.
	succeeded bool

	mu sync.Mutex
	// version is the software version that began the stream, which it may only go on at; absent
	// before its first event. versionEvidence is how that is known.
	version         option.Value[string]
	versionEvidence versionEvidence
	// firstServer is the instance that sent the first event that this host forwarded.
	firstServer string
	// possibleRunCount counts the sends that may have run, sends all of them.
	possibleRunCount int
	sends            int
	// openSends counts the sends of which it is not known yet whether they may have run.
	openSends int
	// answers counts the sends that yielded an answer of any kind.
	answers int
	// server is where the request was sent last, and sentAt when. framing is that of the last
	// answer.
	server  Server
	sentAt  time.Time
	framing exchange.Framing
}

// recordSend records a send.
func (j *job) recordSend(s Server) {
	j.mu.Lock()
	j.server = s
	j.sentAt = time.Now()
	j.sends++
	j.openSends++
	runs := j.Runs + j.sends
	j.mu.Unlock()
	if j.OnSend != nil {
		j.OnSend(runs)
	}
}

// endSend records that it is known whether a send may have run.
func (j *job) endSend() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.openSends--
}

// mayRunOnceMore reports whether the request may be sent once more while its other sends go on.
func (j *job) mayRunOnceMore() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.possibleRunCount+j.openSends < j.route.MaxAttempts
}

// setServer records that the answer comes from a server.
func (j *job) setServer(s Server) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.server = s
}

// boundVersion returns the software version that the stream may only go on at; absent before its first
// event.
func (j *job) boundVersion() option.Value[string] {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.version
}

// bindVersion makes the stream go on at a software version only, unless one is bound already.
func (j *job) bindVersion(version string, evidence versionEvidence) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.version.IsPresent() {
		j.version, j.versionEvidence = option.Some(version), evidence
	}
}

// recordFirstServer records which server sent the first event that this host forwarded.
func (j *job) recordFirstServer(instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.firstServer == "" {
		j.firstServer = instance
	}
}

// streamStart returns the software version that the stream is bound to, how that is known, and the server
// that sent the first event that this host forwarded.
func (j *job) streamStart() (version option.Value[string], evidence versionEvidence, server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.version, j.versionEvidence, j.firstServer
}

// recordAnswer records that a send yielded an answer.
func (j *job) recordAnswer(framing exchange.Framing) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers++
	j.framing = framing
}

// lastFraming returns the framing of the last answer.
func (j *job) lastFraming() exchange.Framing {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.framing
}

// recordSilence records that an answer that had started fell silent.
func (j *job) recordSilence() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers--
}

// unanswered returns the number of sends without an answer so far. Their connections may
// be silently broken, and so may other idle ones.
func (j *job) unanswered() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sends - j.answers
}

// lastServer returns the server that the request was sent to last.
func (j *job) lastServer() Server {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.server
}

// lastSendTime returns when the request was sent last.
func (j *job) lastSendTime() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sentAt
}

// recordPossibleRun records that a send may have run.
func (j *job) recordPossibleRun() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.possibleRunCount++
}

// possibleRuns returns the number of sends that may have run.
func (j *job) possibleRuns() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.possibleRunCount
}

// sendCount returns the number of sends.
func (j *job) sendCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.sends
}

// Serve serves one request and writes its answer to sink. An error before sink was started
// is a *verdict.Error, and nothing was written; after that, the error is ErrCut. If the
// caller has disconnected, it is ErrDisconnected.
func (c *Core) Serve(ctx context.Context, r *Request, sink Sink) error {
	j, err := c.admit(ctx, r)
	if err != nil {
		c.logOutcome(j, r, err)
		return err
	}
	c.awaitSuspects(ctx)
	if err := j.checkHarmful(); err != nil {
		c.logOutcome(j, r, err)
		return err
	}
	defer j.endTrial()
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	ctx, free := j.withDrainDeadline(ctx, 0)
	defer free()
	err = j.serve(ctx, sink)
	if err == nil && !j.handedOver {
		j.recordDurations()
		if !j.unverifiedEnd {
			c.options.Suspects.RecordAnswer(j.answerOf(j.lastServer()))
		}
	}
	c.logOutcome(j, r, err)
	return err
}

// admit finds the route and the workspace, and refuses requests that cannot be served.
func (c *Core) admit(ctx context.Context, r *Request) (*job, error) {
	catalog := c.awaitCatalog(ctx)
	if catalog == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "relay: no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	route, workspace, refusal := catalog.authorise(r)
	if refusal != nil {
		// A route or key that is unknown here may already be in force elsewhere.
		if !c.options.Confirm(ctx) {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonNotReady, "relay: cannot confirm the configuration: %w", refusal).WithRetryAfter(minRetryAfter)
		}
		catalog = c.catalog.Load()
		if route, workspace, refusal = catalog.authorise(r); refusal != nil {
			return nil, refusal
		}
	}
	j := &job{Request: r, core: c, route: route, workspace: workspace, catalog: catalog, possibleRunCount: r.Runs, counted: r.Counted}
	if err := j.checkUsable(); err != nil {
		return nil, err
	}
	if err := j.checkLeftOut(); err != nil {
		return nil, err
	}
	j.service = catalog.Service(route.pickTarget(c.randomFloat()))
	if j.service == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "relay: route %s names no known service", route.Name).WithRetryAfter(minRetryAfter)
	}
	var anywhere bool
	if j.regions, anywhere = route.AllowedRegions.intersect(workspace.AllowedRegions); !anywhere {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoServer, "relay: route %s and workspace %s share no home", route.Name, workspace.Name).WithRetryAfter(notReadyRetryAfter)
	}
	timeout := route.Timeout
	if r.CallerTimeout > 0 {
		timeout = min(timeout, r.CallerTimeout)
	}
	j.deadline = r.Arrived.Add(timeout)
	j.bootDeadline = c.options.SinceBoot() + time.Until(j.deadline)
	j.objective = j.firstAttemptTime().Add(route.Objective)
	j.firstDeadline = j.deadline
	if route.FirstEventTimeout > 0 {
		j.firstDeadline = r.Arrived.Add(min(timeout, route.FirstEventTimeout))
	}
	j.log = c.log.WithFields(logrus.Fields{"request": r.ID, "route": route.Name})
	if err := j.checkDrainOnArrival(); err != nil {
		return nil, err
	}
	if c.options.Unreachable != nil && c.options.Unreachable() {
		return nil, j.refuse(ReasonUnreachable, unreachableRetryAfter, "no host reaches any backend server")
	}
	j.countForRetries()
	return j, nil
}

// authorise finds the route and the workspace of a request.
func (c *Catalog) authorise(r *Request) (*Route, *Workspace, error) {
	route := c.Match(r.Host, r.Path)
	if route == nil {
		return nil, nil, verdict.New(verdict.NotRun, ReasonNoRoute, "relay: no route for host %.80q", r.Host)
	}
	if route.Public {
		return route, &Workspace{}, nil
	}
	workspace, ok := c.Workspace(r.Key)
	if !ok && c.LacksKeys {
		return nil, nil, unusable("the key may be one of a workspace that can't be used")
	}
	if !ok {
		return nil, nil, verdict.New(verdict.NotRun, ReasonNoKey, "relay: unknown key")
	}
	return route, workspace, nil
}

// remaining returns how much longer the caller and the route's time limit allow the
// request to take. The monotonic clock stops while the host is suspended, so the boot
// clock is checked too: without it, a server was given 4 s that had already passed for its
// caller.
func (j *job) remaining() time.Duration {
	return min(time.Until(j.deadline), j.bootDeadline-j.core.options.SinceBoot())
}

// contextError returns the request's error if ctx has ended, or nil.
func (j *job) contextError(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return j.deadlineError()
	case errors.Is(context.Cause(ctx), errDrained):
		return j.drainRefusal()
	default:
		return ErrDisconnected
	}
}

// deadlineError returns the error at the deadline: not run if nothing was sent.
func (j *job) deadlineError() error {
	if j.possibleRuns() == 0 {
		return verdict.New(verdict.NotRun, ReasonTimeout, "relay: not started within %v", j.deadline.Sub(j.Arrived)).WithRetryAfter(minRetryAfter)
	}
	return verdict.New(verdict.Unknown, ReasonTimeout, "relay: no answer within %v", j.deadline.Sub(j.Arrived))
}

// refuse returns the error for a request that no server can serve.
func (j *job) refuse(reason verdict.Reason, after time.Duration, format string, args ...any) error {
	v := verdict.NotRun
	if j.possibleRuns() > 0 {
		v = verdict.Unknown
	}
	return verdict.New(v, reason, "relay: %s", fmt.Sprintf(format, args...)).WithRetryAfter(max(after, minRetryAfter))
}
