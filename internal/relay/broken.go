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
	// brokenFor is how long a broken connection may be a sign that its server has
	// ended: as long as an entry of the publisher outlives its server, and a little.
	brokenFor = 5 * time.Second
	// lookAgain is the pause until a server is looked at once more that took a
	// connection: one that ends may listen a little longer than it answers.
	lookAgain = 100 * time.Millisecond
	// lookFor bounds the looks at one server, and is how long before one that found
	// it ended a connection may have broken by that.
	lookFor = time.Second
	// brokenMost bounds the servers whose connections broke, and the requests
	// remembered of each.
	brokenMost = 256
)

// lain is a request that had been sent to a server when its connection broke.
type lain struct {
	digest suspect.Digest
	// answered says that its answer had begun.
	answered bool
	// given says that the request was given up, and the connection didn't break by
	// itself.
	given bool
	// at is when the connection broke.
	at time.Time
}

// brokenServer is a backend server of which connections broke.
type brokenServer struct {
	server Server
	// requests are those of the last brokenFor, the latest last.
	requests []lain
	// at is when the last connection broke.
	at time.Time
	// looking says that somebody looks whether it is there.
	looking bool
	// ended says that it is not.
	ended bool
}

// broken tells backend servers that ended from connections that broke. It is safe
// for concurrent use.
type broken struct {
	// refuses reports whether nothing listens at a server's address, and ended is
	// told of the requests that lay on a server which has ended.
	refuses func(ctx context.Context, s Server) bool
	ended   func(s Server, requests []lain)
	// ctx ends with the host, and the looks with it.
	ctx context.Context

	mu      sync.Mutex
	servers map[string]*brokenServer
}

func newBroken(ctx context.Context, refuses func(ctx context.Context, s Server) bool, ended func(s Server, requests []lain)) *broken {
	return &broken{ctx: ctx, refuses: refuses, ended: ended, servers: make(map[string]*brokenServer)}
}

// add notes that a connection broke, and looks at the server unless somebody does.
func (b *broken) add(s Server, r lain) {
	if look, ended := b.note(s, r); ended {
		b.ended(s, []lain{r})
	} else if look {
		go b.look(s)
	}
}

// note remembers a request that lay on a server. It reports whether the server is to
// be looked at, and whether it is known to have ended.
func (b *broken) note(s Server, r lain) (look, ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(r.at)
	k := b.of(s)
	if k == nil {
		return false, false
	}
	k.at = r.at
	if k.ended {
		return false, true
	}
	if len(k.requests) < brokenMost {
		k.requests = append(k.requests, r)
	}
	look = !k.looking
	k.looking = true
	return look, false
}

// leave notes that a request was given up at a server before it was answered. Where that
// is found ended soon, the request had lain there too.
func (b *broken) leave(s Server, r lain) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(r.at)
	if k := b.of(s); k != nil && !k.ended && len(k.requests) < brokenMost {
		k.at = r.at
		k.requests = append(k.requests, r)
	}
}

// of returns what is known of a server; nil where too many are. The mutex must be held.
func (b *broken) of(s Server) *brokenServer {
	k := b.servers[s.Instance]
	if k == nil && len(b.servers) < brokenMost {
		k = &brokenServer{server: s}
		b.servers[s.Instance] = k
	}
	return k
}

// forget drops what is too old to mean anything. The mutex must be held.
func (b *broken) forget(now time.Time) {
	for instance, k := range b.servers {
		if now.Sub(k.at) >= brokenFor {
			delete(b.servers, instance)
			continue
		}
		k.requests = slices.DeleteFunc(k.requests, func(r lain) bool { return now.Sub(r.at) >= brokenFor })
	}
}

// look connects to a server, twice where it must, to see whether it has ended.
func (b *broken) look(s Server) {
	ctx, cancel := context.WithTimeout(b.ctx, lookFor)
	defer cancel()
	if b.refuses(ctx, s) {
		b.refused(s.Instance)
		return
	}
	again := time.NewTimer(lookAgain)
	defer again.Stop()
	select {
	case <-ctx.Done():
	case <-again.C:
	}
	if b.refuses(ctx, s) {
		b.refused(s.Instance)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.servers[s.Instance]; k != nil {
		k.looking = false
	}
}

// gone notes that the publisher does not list a server any more.
func (b *broken) gone(instance string) { b.over(instance, brokenFor) }

// refused notes that nothing listens at a server's address.
func (b *broken) refused(instance string) { b.over(instance, lookFor) }

// over notes that a server has ended, and tells of the requests whose connections
// broke within the time before, or that were given up just before.
func (b *broken) over(instance string, within time.Duration) {
	now := time.Now()
	b.mu.Lock()
	b.forget(now)
	k := b.servers[instance]
	if k == nil || k.ended {
		b.mu.Unlock()
		return
	}
	k.ended = true
	requests := slices.DeleteFunc(k.requests, func(r lain) bool {
		return now.Sub(r.at) >= within || r.given && now.Sub(r.at) >= lookFor
	})
	k.requests = nil
	b.mu.Unlock()
	b.ended(k.server, requests)
}

// broke notes that the connection to a server broke while it had the request.
func (j *job) broke(s Server, answered bool) {
	// Whether the server has ended is told later; nothing else is tried until then.
	j.setTry(nil)
	j.core.broken.add(s, lain{digest: j.digest(), answered: answered, at: time.Now()})
}

// gaveUp notes that the request was given up at a server before it was answered.
func (j *job) gaveUp(s Server) {
	j.core.broken.leave(s, lain{digest: j.digest(), given: true, at: time.Now()})
}

// digest names the request over all its attempts.
func (j *job) digest() suspect.Digest {
	j.digestOnce.Do(func() {
		j.digested = suspect.DigestOf(suspect.Content{
			Workspace: j.workspace.Name, Method: j.Method, Host: j.Host, Target: j.Target, Body: j.Body,
		})
	})
	return j.digested
}

// serverEnded tells all hosts of a backend server that ended and of the requests that
// lay there.
func (c *Core) serverEnded(s Server, requests []lain) {
	c.scope.Counter("servers_ended").Inc(1)
	c.scope.Counter("requests_lain").Inc(int64(len(requests)))
	ends := make([]suspect.End, 0, len(requests))
	for _, r := range requests {
		ends = append(ends, suspect.End{Request: r.digest, Server: suspect.ServerOf(s.Instance), Answered: r.answered, At: r.at})
		c.log.WithFields(logrus.Fields{"server": s.Instance, "service": s.Service, "digest": r.digest, "answered": r.answered}).
			Info("a backend server ended under a request")
	}
	c.options.Suspects.Ended(ends)
}
