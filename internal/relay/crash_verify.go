// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"slices"
	"time"
)

// recordUnverified records an answer that ended with its connection and may have been broken off, and
// looks shortly after whether the server is still there.
func (d *crashDetector) recordUnverified(s Server, r lostRequest) {
	d.mu.Lock()
	d.removeExpired(r.failedAt)
	record := d.ensureRecord(s)
	record.lastFailure = r.failedAt
	if record.crashed {
		d.mu.Unlock()
		d.onCrash(s, []lostRequest{r})
		return
	}
	record.add(r)
	needsProbe := !record.verifying
	record.verifying = true
	wait := max(probeRetryDelay, time.Until(record.foundUpAt.Add(probePause)))
	d.mu.Unlock()
	if needsProbe {
		go d.verifyEnds(s, wait)
	}
}

// verifyEnds finds out after a while whether a server has crashed, and again while there are answers that
// ended too shortly before.
func (d *crashDetector) verifyEnds(s Server, wait time.Duration) {
	for {
		timer := time.NewTimer(wait)
		select {
		case <-d.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		d.verifyOnce(s)
		if !d.hasUnverified(s.Instance) {
			return
		}
		wait = probePause
	}
}

// verifyOnce finds out whether a server has crashed. One that this host receives data from needs no
// connection.
func (d *crashDetector) verifyOnce(s Server) {
	began := time.Now()
	if d.sends(s, probeRetryDelay/2) {
		d.scope.Counter("ends_verified_by_data").Inc(1)
		d.recordProbe(s.Instance, connectAccepted, began.Add(-probeRetryDelay/2))
		return
	}
	d.scope.Counter("ends_probed").Inc(1)
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	if result := d.ask(ctx, s); result == connectRefused {
		d.confirm(ctx, s)
	} else {
		d.recordProbe(s.Instance, result, began)
	}
}

// hasUnverified reports whether there are answers of a server left whose ends are not verified. If not, the
// next one needs another verifyEnds.
func (d *crashDetector) hasUnverified(instance string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.servers[instance]
	if record == nil {
		return false
	}
	record.verifying = slices.ContainsFunc(record.requests, func(r lostRequest) bool { return r.unverified })
	return record.verifying
}

// recordProbe records the result of a probe that did not show that a server has crashed, and settles the
// answers that ended before it. A server that accepted a connection was up at seenAt.
func (d *crashDetector) recordProbe(instance string, result connectResult, seenAt time.Time) {
	d.mu.Lock()
	record := d.servers[instance]
	if record == nil {
		d.mu.Unlock()
		return
	}
	if result == connectAccepted {
		record.foundUpAt = seenAt
	}
	probed := record.take(func(r lostRequest) bool {
		return r.unverified && (result != connectAccepted || r.precedes(seenAt))
	})
	if result == connectHung {
		// Only the publisher shows whether the server has crashed. No trial ends before that.
		for _, r := range probed {
			r.unverified, r.settle = false, nil
			record.add(r)
		}
		probed = nil
	}
	d.mu.Unlock()
	settle(probed, result == connectAccepted)
}

// settle settles requests of which it is known whether their server was up after them.
func settle(requests []lostRequest, up bool) {
	for _, r := range requests {
		if r.settle != nil {
			r.settle(up)
		}
	}
}

// take removes and returns the requests for which a condition holds.
func (f *failingServer) take(condition func(r lostRequest) bool) []lostRequest {
	var taken []lostRequest
	f.requests = slices.DeleteFunc(f.requests, func(r lostRequest) bool {
		if !condition(r) {
			return false
		}
		taken = append(taken, r)
		return true
	})
	return taken
}
