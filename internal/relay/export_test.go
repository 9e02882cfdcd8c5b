// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/wingvale/wingvale/internal/stageplan"
	"github.com/wingvale/wingvale/internal/stagepool"
	"github.com/wingvale/wingvale/internal/suspect"
)

// Splitter splits a stream at event boundaries.
type Splitter struct{ s eventSplitter }

// Add adds bytes and returns the complete events.
func (s *Splitter) Add(part string) string { return string(s.s.split([]byte(part))) }

// Last returns the id of the last complete event.
func (s *Splitter) Last() string { return s.s.lastID }

// Rest returns the incomplete event.
func (s *Splitter) Rest() string { return string(s.s.partial) }

// RetryBudget limits retries.
type RetryBudget struct{ r *retryBudget }

// NewRetryBudget returns the budget of one of so many hosts.
func NewRetryBudget(share, reserve float64, window time.Duration, hosts int) RetryBudget {
	return RetryBudget{r: newRetryBudget(share, reserve, window, func() int { return hosts })}
}

// RecordRequest records a request.
func (r RetryBudget) RecordRequest() { r.r.recordRequest("s") }

// TryTake takes a retry if one is available.
func (r RetryBudget) TryTake() bool { return r.r.tryTake("s") }

// TryTakeSpare takes a retry for a request that no server has run, if one is available.
func (r RetryBudget) TryTakeSpare() bool { return r.r.tryTakeSpare("s") }

// GiveBack returns a retry.
func (r RetryBudget) GiveBack() { r.r.giveBack("s") }

// PickTarget picks a route's service.
func PickTarget(r Route, point float64) string { return r.pickTarget(point) }

// Objective returns how long after its arrival a request on a route is in time, if the
// request may be held for the given time.
func Objective(c *Core, r *Route, held time.Duration) time.Duration {
	j := newTestJob(c, r, held)
	return j.firstAttemptTime().Add(r.Objective).Sub(j.Arrived)
}

// IsFirstAttempt reports whether a request that arrives now on a route and may be held for
// the given time counts as the caller's first attempt.
func IsFirstAttempt(c *Core, r *Route, held time.Duration) bool {
	return newTestJob(c, r, held).isFirstAttempt()
}

// Remaining returns the time left, after a pause, for a request that arrives now and may
// be held for the given time.
func Remaining(c *Core, held time.Duration, pause func()) time.Duration {
	j := newTestJob(c, &Route{}, held)
	j.bootDeadline = c.options.SinceBoot() + held
	pause()
	return j.remaining()
}

// Shed returns the refusal, if any, of a request that arrives now on a route, is in time for so long
// and of use for the given limit.
func Shed(c *Core, r *Route, left, limit time.Duration) error {
	j := newTestJob(c, r, limit)
	j.catalog, j.workspace, j.log = c.Catalog(), &Workspace{}, c.log
	j.objective, j.firstDeadline = j.Arrived.Add(left), j.deadline
	j.bootDeadline = c.options.SinceBoot() + limit
	return newStageGraph(j, "").shed()
}

// NextLoads returns what a stage of a route announces to later pools, for a request with the given
// numbers of pieces.
func NextLoads(r *Route, stage int, pieces ...int) []stageplan.Load {
	j := &job{Request: &Request{Pieces: pieces}, route: r}
	return newStageGraph(j, "").nextLoads(stage)
}

// StageDepths returns how many stages a chain has at most from each stage of a route to the end.
func StageDepths(r *Route) []int {
	return newStageGraph(&job{Request: &Request{}, route: r}, "").depths
}

// StageInputs returns the stages with pieces whose results each stage of a route needs, and those whose results the
// request itself needs. It reports false if a request with these numbers of pieces is refused.
func StageInputs(r *Route, pieces []int) (after [][]int, last []int, served bool) {
	j := &job{Request: &Request{Pieces: pieces}, route: r}
	if j.checkLeftOut() != nil {
		return nil, nil, false
	}
	g := newStageGraph(j, "")
	for i, depth := range g.depths {
		if depth == 1 {
			last = append(last, i)
		}
	}
	return g.after, last, true
}

func newTestJob(c *Core, r *Route, held time.Duration) *job {
	arrived := time.Now()
	return &job{Request: &Request{Arrived: arrived}, core: c, route: r, deadline: arrived.Add(held)}
}

// DurationTracker records how long requests took.
type DurationTracker struct{ t *durationTracker }

// NewDurationTracker returns a tracker without records.
func NewDurationTracker() DurationTracker { return DurationTracker{t: newDurationTracker()} }

// Add records how long a request of a route took from its arrival and from its send to the
// first byte, and from there to the end, and its number of events.
func (t DurationTracker) Add(route string, events int, first, served, rest time.Duration) {
	t.t.add(route, requestDurations{toFirstByte: first, sendToFirstByte: served, afterFirstByte: rest, events: events})
}

// UpperBounds returns the maximum time that another request may take.
func (t DurationTracker) UpperBounds(route string, events int) (arrived, sent time.Duration, ok bool) {
	return t.t.upperBounds(route, events)
}

// CrashDetector distinguishes crashed servers from broken connections.
type CrashDetector struct{ d *crashDetector }

// nearServers stands for all servers near those that a detector probes.
const nearServers = "near"

// NewCrashDetector returns a detector that probes with refuses and reports to onCrash.
func NewCrashDetector(refuses func(instance string) bool, onCrash func(instance string, digests []suspect.Digest)) CrashDetector {
	connect := func(_ context.Context, s Server) connectResult {
		if refuses(s.Instance) {
			return connectRefused
		}
		return connectAccepted
	}
	return CrashDetector{d: newCrashDetector(
		context.Background(), connect, connect,
		func(Server, time.Duration) bool { return false },
		func(context.Context, Server) bool { return !refuses(nearServers) },
		func(s Server, requests []lostRequest) {
			var digests []suspect.Digest
			for _, r := range requests {
				digests = append(digests, r.traits.Request)
			}
			onCrash(s.Instance, digests)
		},
		discardLog(), tally.NoopScope,
	)}
}

// NewCrashDetectorWithData returns a detector of servers that are up, and send data or not. It calls probed
// for each probe.
func NewCrashDetectorWithData(probed func(), sends bool) CrashDetector {
	connect := func(context.Context, Server) connectResult {
		probed()
		return connectAccepted
	}
	return CrashDetector{d: newCrashDetector(
		context.Background(), connect, connect,
		func(Server, time.Duration) bool { return sends },
		func(context.Context, Server) bool { return true }, func(Server, []lostRequest) {},
		discardLog(), tally.NoopScope,
	)}
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// NewCrashDetectorWithContext returns a detector whose probes end with ctx.
func NewCrashDetectorWithContext(ctx context.Context, refuses func(ctx context.Context) bool) CrashDetector {
	connect := func(ctx context.Context, _ Server) connectResult {
		if refuses(ctx) {
			return connectRefused
		}
		return connectAccepted
	}
	return CrashDetector{d: newCrashDetector(
		ctx, connect, connect,
		func(Server, time.Duration) bool { return false }, func(context.Context, Server) bool { return true }, func(Server, []lostRequest) {},
		discardLog(), tally.NoopScope,
	)}
}

// Witnesses returns the instances that tell whether a host's links to one of the servers work.
func Witnesses(servers []Server, of string) []string {
	s := newServerSet("", nil, nil, rand.New(rand.NewPCG(1, 1)))
	for i := range servers {
		s.put(&servers[i])
	}
	var instances []string
	for _, w := range s.witnesses(*s.byID[of].Server) {
		instances = append(instances, w.Instance)
	}
	return instances
}

// RecordBroken records that the connection to a server broke while it worked on a request.
func (d CrashDetector) RecordBroken(instance string, digest suspect.Digest) {
	d.d.recordBroken(Server{Instance: instance}, lostRequest{traits: suspect.Traits{Request: digest}, failedAt: time.Now()})
}

// RecordUnverified records an answer of which nothing shows whether it was whole.
func (d CrashDetector) RecordUnverified(instance string, digest suspect.Digest, endTrial func()) {
	d.d.recordUnverified(Server{Instance: instance}, lostRequest{traits: suspect.Traits{Request: digest}, unverified: true, failedAt: time.Now(), settle: func(bool) { endTrial() }})
}

// Track records that a request is in progress at a server.
func (d CrashDetector) Track(instance string, digest suspect.Digest) (end func()) {
	return d.d.track(instance, &flight{traits: suspect.Traits{Request: digest}})
}

// RecordAbandoned records that a request was given up at a server.
func (d CrashDetector) RecordAbandoned(instance string, digest suspect.Digest) {
	d.d.recordAbandoned(Server{Instance: instance}, lostRequest{traits: suspect.Traits{Request: digest}, abandoned: true, failedAt: time.Now()})
}

// ConnectionRefused records that nothing listens at a server's address.
func (d CrashDetector) ConnectionRefused(instance string) { d.d.connectionRefused(instance) }

// Delisted records that the publisher no longer lists a server.
func (d CrashDetector) Delisted(instance string) { d.d.delisted(Server{Instance: instance}) }

// Lapsed records that the entry of a server is missing after an outage of the publisher.
func (d CrashDetector) Lapsed(instance string) { d.d.lapsed(Server{Instance: instance}) }

// RecordAnswer records that a server answered what is sent now.
func (d CrashDetector) RecordAnswer(instance string) { d.d.recordAnswer(instance, time.Now()) }

// DelistedLeaving records that the publisher no longer lists a server that was leaving.
func (d CrashDetector) DelistedLeaving(instance string) {
	d.d.delisted(Server{Instance: instance, Leaving: true})
}

// UrgencyOf returns the urgency of a request whose objective passed so long ago.
func UrgencyOf(loadAware bool, w Workspace, r Route, sinceObjective time.Duration) *Urgency {
	now := time.Now()
	j := &job{catalog: &Catalog{LoadAware: loadAware}, workspace: &w, route: &r, objective: now.Add(-sinceObjective)}
	return j.urgency(now)
}

// LogStages logs the end of a request whose stages took the given total each, with the given
// times by pool.
func LogStages(c *Core, loadAware bool, times map[string]stageplan.Times, total time.Duration) {
	j := newTestJob(c, &Route{}, time.Second)
	j.catalog, j.workspace, j.service = &Catalog{LoadAware: loadAware}, &Workspace{}, &Service{}
	for pool, t := range times {
		j.recordStage(pool, stageOutcome{answer: stagepool.Answer{Times: t}, took: total})
	}
	c.logOutcome(j, j.Request, nil)
}

// ServerOfAnswer returns the server that counts as having answered a stream which first sent events, was sent
// to second as well, and then went on at first, or at second if secondWins.
func ServerOfAnswer(c *Core, first, second Server, secondWins bool) string {
	j := newTestJob(c, &Route{}, time.Minute)
	s := &stream{job: j}
	s.ended = sync.NewCond(&s.mu)
	_, a := s.newAttempt(context.Background())
	a.engine = first
	j.recordSend(first)
	s.mu.Lock()
	s.claim(a)
	s.mu.Unlock()
	_, b := s.newAttempt(context.Background())
	b.engine = second
	j.recordSend(second)
	winner := a
	if secondWins {
		winner = b
	}
	s.mu.Lock()
	s.claim(winner)
	s.mu.Unlock()
	return j.lastServer().Instance
}

// StreamOrigin returns the text form of what began a stream.
func StreamOrigin(service, version string) string {
	return streamOrigin{service: service, version: version}.String()
}
