// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wingvale/wingvale/internal/suspect"
)

const (
	// brokenRetention is how long a broken connection counts as a possible sign that its
	// server has crashed: slightly longer than the publisher lists a server after it
	// crashed.
	brokenRetention = 5 * time.Second
	// probeRetryDelay is the delay before the second probe of a server that accepted a
	// connection: a crashing server may keep listening shortly after it has stopped
	// answering.
	probeRetryDelay = 100 * time.Millisecond
	// probeTimeout limits the probes of one server. It is also how long before a probe finds
	// the server down a request may have been lost or abandoned and still count as hit by
	// the crash.
	probeTimeout = time.Second
	// maxBrokenRecords limits the number of servers with broken connections, and the
	// number of requests recorded for each.
	maxBrokenRecords = 256
)

// lostRequest is a request that had been sent to a server when its connection broke or this
// host gave the request up.
type lostRequest struct {
	digest suspect.Digest
	// answered reports whether the answer had started.
	answered bool
	// abandoned reports whether this host gave the request up, as opposed to the
	// connection breaking by itself.
	abandoned bool
	// failedAt is when the connection broke or the request was given up.
	failedAt time.Time
}

// failingServer is a backend server with lost requests.
type failingServer struct {
	server Server
	// requests holds the lost requests of the last brokenRetention, the latest last.
	requests []lostRequest
	// lastFailure is when the last connection broke or the last request was given up.
	lastFailure time.Time
	// probing reports whether a probe of the server is running.
	probing bool
	// crashed reports whether the server is known to have crashed.
	crashed bool
}

// crashDetector distinguishes crashed backend servers from connections that broke for
// other reasons. It is safe for concurrent use.
type crashDetector struct {
	// refuses reports whether nothing listens at a server's address. onCrash is called
	// with the requests that a crashed server was working on.
	refuses func(ctx context.Context, s Server) bool
	onCrash func(s Server, requests []lostRequest)
	// ctx is cancelled when the host ends, which also ends the probes.
	ctx context.Context

	mu      sync.Mutex
	servers map[string]*failingServer
}

func newCrashDetector(ctx context.Context, refuses func(ctx context.Context, s Server) bool, onCrash func(s Server, requests []lostRequest)) *crashDetector {
	return &crashDetector{ctx: ctx, refuses: refuses, onCrash: onCrash, servers: make(map[string]*failingServer)}
}

// recordBroken records a broken connection, and probes the server unless a probe is
// running.
func (d *crashDetector) recordBroken(s Server, r lostRequest) {
	if needsProbe, crashed := d.addRequest(s, r); crashed {
		d.onCrash(s, []lostRequest{r})
	} else if needsProbe {
		go d.probe(s)
	}
}

// addRequest records a request that a server was working on. It reports whether the server
// is to be probed, and whether it is known to have crashed.
func (d *crashDetector) addRequest(s Server, r lostRequest) (needsProbe, crashed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(r.failedAt)
	record := d.ensureRecord(s)
	if record == nil {
		return false, false
	}
	record.lastFailure = r.failedAt
	if record.crashed {
		return false, true
	}
	if len(record.requests) < maxBrokenRecords {
		record.requests = append(record.requests, r)
	}
	needsProbe = !record.probing
	record.probing = true
	return needsProbe, false
}

// recordAbandoned records a request that this host gave up before it was answered. If the
// server is found to have crashed shortly after, the crash is attributed to the request
// too.
func (d *crashDetector) recordAbandoned(s Server, r lostRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(r.failedAt)
	if record := d.ensureRecord(s); record != nil && !record.crashed && len(record.requests) < maxBrokenRecords {
		record.lastFailure = r.failedAt
		record.requests = append(record.requests, r)
	}
}

// ensureRecord returns the record of a server, or nil if there are too many. The mutex
// must be held.
func (d *crashDetector) ensureRecord(s Server) *failingServer {
	record := d.servers[s.Instance]
	if record == nil && len(d.servers) < maxBrokenRecords {
		record = &failingServer{server: s}
		d.servers[s.Instance] = record
	}
	return record
}

// removeExpired drops records older than brokenRetention. The mutex must be held.
func (d *crashDetector) removeExpired(now time.Time) {
	for instance, record := range d.servers {
		if now.Sub(record.lastFailure) >= brokenRetention {
			delete(d.servers, instance)
			continue
		}
		record.requests = slices.DeleteFunc(record.requests, func(r lostRequest) bool { return now.Sub(r.failedAt) >= brokenRetention })
	}
}

// probe connects to a server, twice if necessary, to find out whether it has crashed.
func (d *crashDetector) probe(s Server) {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	if d.refuses(ctx, s) {
		d.connectionRefused(s.Instance)
		return
	}
	retry := time.NewTimer(probeRetryDelay)
	defer retry.Stop()
	select {
	case <-ctx.Done():
	case <-retry.C:
	}
	if d.refuses(ctx, s) {
		d.connectionRefused(s.Instance)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if record := d.servers[s.Instance]; record != nil {
		record.probing = false
	}
}

// delisted records that the publisher no longer lists a server.
func (d *crashDetector) delisted(instance string) { d.markCrashed(instance, brokenRetention) }

// connectionRefused records that nothing listens at a server's address.
func (d *crashDetector) connectionRefused(instance string) { d.markCrashed(instance, probeTimeout) }

// markCrashed records that a server has crashed and reports the requests whose connections
// broke within the given time before. Abandoned requests count only within probeTimeout.
func (d *crashDetector) markCrashed(instance string, within time.Duration) {
	now := time.Now()
	d.mu.Lock()
	d.removeExpired(now)
	record := d.servers[instance]
	if record == nil || record.crashed {
		d.mu.Unlock()
		return
	}
	record.crashed = true
	requests := slices.DeleteFunc(record.requests, func(r lostRequest) bool {
		return now.Sub(r.failedAt) >= within || r.abandoned && now.Sub(r.failedAt) >= probeTimeout
	})
	record.requests = nil
	d.mu.Unlock()
	d.onCrash(record.server, requests)
}

// recordConnectionLoss records that the connection to a server broke while it worked on the
// request.
func (j *job) recordConnectionLoss(s Server, answered bool) {
	// Whether the server has crashed is known only later. No other trial may start until
	// then, so this one is left to expire by itself.
	j.setTrial(nil)
	j.core.crashes.recordBroken(s, lostRequest{digest: j.digest(), answered: answered, failedAt: time.Now()})
}

// recordCancellation records that the request was given up at a server before it was
// answered.
func (j *job) recordCancellation(s Server) {
	j.core.crashes.recordAbandoned(s, lostRequest{digest: j.digest(), abandoned: true, failedAt: time.Now()})
}

// digest identifies the request across all its attempts.
func (j *job) digest() suspect.Digest {
	j.digestOnce.Do(func() {
		j.digestValue = suspect.DigestOf(suspect.Content{
			Workspace: j.workspace.Name, Method: j.Method, Host: j.Host, Target: j.Target, Body: j.Body,
		})
	})
	return j.digestValue
}

// serverCrashed reports to all hosts that a backend server crashed and which requests it
// was working on.
func (c *Core) serverCrashed(s Server, requests []lostRequest) {
	c.scope.Counter("servers_ended").Inc(1)
	c.scope.Counter("requests_lain").Inc(int64(len(requests)))
	crashes := make([]suspect.Crash, 0, len(requests))
	for _, r := range requests {
		crashes = append(crashes, suspect.Crash{Request: r.digest, Server: suspect.ServerOf(s.Instance), Answered: r.answered, CrashedAt: r.failedAt})
		c.log.WithFields(logrus.Fields{"server": s.Instance, "service": s.Service, "digest": r.digest, "answered": r.answered}).
			Info("a backend server crashed while serving a request")
	}
	c.options.Suspects.RecordCrashes(crashes)
}
