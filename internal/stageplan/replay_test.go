// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package stageplan_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/stageplan"
)

const (
	replayStep     = 5 * time.Millisecond
	replayDuration = 20 * time.Second
)

// pattern is a simulated load on the servers of one pool.
type pattern struct {
	servers int
	// perSecond requests arrive, of the given number of pieces each, and burst times as many
	// from burstAt to burstEnd.
	perSecond         float64
	pieces            int
	burst             float64
	burstAt, burstEnd time.Duration
	// lossy is the number of servers that lose the share lost of their answers from lostAt to
	// lostEnd, without any error.
	lossy           int
	lost            float64
	lostAt, lostEnd time.Duration
	// slow is the number of servers that take slowness times as long from slowAt to slowEnd.
	slow            int
	slowness        float64
	slowAt, slowEnd time.Duration
}

// replayResult is the result of a replay.
type replayResult struct {
	submitted, inTime, ended int
	waits                    []time.Duration
	// idle is how long servers were idle while pieces had waited for longer than a call takes.
	idle time.Duration
}

func (r replayResult) wait(share float64) time.Duration {
	return r.waits[int(share*float64(len(r.waits)-1))]
}

func (r replayResult) String() string {
	return fmt.Sprintf("%d submitted, %d in time, %d ended otherwise, waits %v %v %v, idle %v",
		r.submitted, r.inTime, r.ended, r.wait(0.5), r.wait(0.95), r.wait(1), r.idle)
}

// inFlightCall is one call at its server.
type inFlightCall struct {
	call *stageplan.Call
	ends time.Time
	lost bool
}

// submitted is one request in flight.
type submitted struct {
	*stageplan.Task
	at     time.Time
	latest time.Time
}

// replayer runs a pattern on a scheduler. A server continues with an abandoned call, and
// starts the next one only after it.
type replayer struct {
	pattern
	spec      stageplan.Spec
	scheduler *stageplan.Scheduler
	arrivals  *rand.Rand
	losses    *rand.Rand
	// freeAt is when each server, by number from 1, has finished its calls.
	freeAt []time.Time
	calls  []inFlightCall
	open   []submitted
	replayResult
}

func replay(p pattern, spec stageplan.Spec, seed uint64) replayResult {
	var servers []stageplan.Server
	for i := range p.servers {
		servers = append(servers, server(i+1, string(rune('a'+i%3))))
	}
	r := replayer{
		pattern: p, spec: spec, scheduler: newScheduler(spec, servers...),
		arrivals: rand.New(rand.NewPCG(seed, 3)), losses: rand.New(rand.NewPCG(seed, 4)), freeAt: make([]time.Time, p.servers+1),
	}
	for at := time.Duration(0); at < replayDuration; at += replayStep {
		r.arrive(at)
		r.deliver(at)
		r.scheduler.ResendOverdue(start.Add(at))
		r.send(at)
		r.count(at)
	}
	slices.Sort(r.waits)
	return r.replayResult
}

func within(at, from, to time.Duration) bool { return at >= from && at < to }

// arrive generates arriving requests.
func (p *replayer) arrive(at time.Duration) {
	now := start.Add(at)
	rate := p.perSecond
	if within(at, p.burstAt, p.burstEnd) {
		rate *= p.burst
	}
	for chance := rate * replayStep.Seconds(); chance > 0; chance-- {
		if p.arrivals.Float64() >= chance {
			continue
		}
		w := work(fmt.Sprint(p.submitted), p.pieces)
		w.Latest, w.Deadline = now.Add(900*time.Millisecond), now.Add(4*time.Second)
		p.submitted++
		p.open = append(p.open, submitted{Task: p.scheduler.Add(now, w), at: now, latest: w.Latest})
	}
}

// deliver delivers the answers of calls that have ended, except lost ones.
func (p *replayer) deliver(at time.Duration) {
	now := start.Add(at)
	p.calls = slices.DeleteFunc(p.calls, func(c inFlightCall) bool {
		if c.ends.After(now) {
			return false
		}
		if !c.lost {
			p.scheduler.Finish(now, c.call, made(c.call))
		}
		return true
	})
}

// send delivers the scheduler's calls to their servers.
func (p *replayer) send(at time.Duration) {
	now := start.Add(at)
	for {
		b, ok := p.scheduler.Next(now)
		if !ok {
			return
		}
		number := int(b.Server().Address.Addr().As4()[3])
		begins := now
		if p.freeAt[number].After(now) {
			begins = p.freeAt[number]
		}
		takes := p.spec.CallTime + time.Duration(len(requests(b)))*p.spec.PieceTime
		if number > p.servers-p.slow && within(at, p.slowAt, p.slowEnd) {
			takes = time.Duration(float64(takes) * p.slowness)
		}
		lost := number <= p.lossy && within(at, p.lostAt, p.lostEnd) && p.losses.Float64() < p.lost
		p.freeAt[number] = begins.Add(takes)
		p.calls = append(p.calls, inFlightCall{call: b, ends: begins.Add(takes), lost: lost})
	}
}

// count counts the requests that have ended, and the time of idle servers.
func (p *replayer) count(at time.Duration) {
	now := start.Add(at)
	waited := false
	p.open = slices.DeleteFunc(p.open, func(a submitted) bool {
		failure, done := a.Ended()
		if !done {
			waited = waited || a.Waiting() && now.Sub(a.at) > p.spec.CallTime
			return false
		}
		p.waits = append(p.waits, now.Sub(a.at))
		switch {
		case failure != "":
			p.ended++
		case now.Before(a.latest):
			p.inTime++
		}
		return true
	})
	for _, idleFrom := range p.freeAt[1:] {
		if waited && !idleFrom.After(now) {
			p.idle += replayStep
		}
	}
}

// smallPieces has calls of 70 small pieces.
var smallPieces = stageplan.Spec{Service: "read", Size: 70, Slots: 1, CallTime: 150 * time.Millisecond, PieceTime: 1800 * time.Microsecond, ResultTTL: 4 * time.Second}

// In a pool of 15 servers, nine lose 3 in 10 of their answers for six seconds without any
// error. Each of them counted as slow because a call was overdue, and seven were idle while
// pieces waited for up to 2.7 s.
func TestServersThatLoseAnswersDoNotCountAsSlow(t *testing.T) {
	for seed := range uint64(3) {
		r := replay(pattern{
			servers: 15, perSecond: 220, pieces: 8, lossy: 9, lost: 0.3, lostAt: 4 * time.Second, lostEnd: 10 * time.Second,
		}, smallPieces, seed)
		t.Log(r)
		assert.Check(t, r.wait(1) < 2200*time.Millisecond, "%v", r)
		assert.Check(t, float64(r.inTime) > 0.96*float64(r.submitted), "%v", r)
	}
}

// Four of 15 servers become five times as slow while no answer is lost. They must be detected,
// and their pieces sent elsewhere.
func TestSlowServersAreDetected(t *testing.T) {
	for seed := range uint64(3) {
		r := replay(pattern{
			servers: 15, perSecond: 220, pieces: 8, slow: 4, slowness: 5, slowAt: 4 * time.Second, slowEnd: 9 * time.Second,
		}, smallPieces, seed)
		t.Log(r)
		assert.Check(t, float64(r.inTime) > 0.98*float64(r.submitted), "%v", r)
	}
}
