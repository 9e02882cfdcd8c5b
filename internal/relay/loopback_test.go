// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/wingvale/wingvale/internal/enginepool"
	"github.com/wingvale/wingvale/internal/exchange"
	"github.com/wingvale/wingvale/internal/listed"
	"github.com/wingvale/wingvale/internal/notice"
	"github.com/wingvale/wingvale/internal/owner"
	"github.com/wingvale/wingvale/internal/placing"
	"github.com/wingvale/wingvale/internal/ratelimit"
	"github.com/wingvale/wingvale/internal/relay"
	"github.com/wingvale/wingvale/internal/suspect"
	"github.com/wingvale/wingvale/internal/trial"
	"github.com/wingvale/wingvale/verdict"
)

// Names of the site that serves over loopback connections.
const (
	loopbackHost   = "host.example"
	engineService  = "engine"
	plainService   = "plain"
	headerID       = "Id"
	headerNotRun   = "Not-Run"
	headerSigned   = "Signed"
	headerResumeAt = "Resume-At"
	headerInputs   = "Inputs"
	headerGone     = "Input-Gone"
)

// loopbackDialect is the dialect of the scripted servers.
type loopbackDialect struct{}

func (loopbackDialect) Header(r *relay.Request, send relay.ForwardInfo) http.Header {
	h := http.Header{headerID: {r.ID}}
	if send.LastEvent != "" {
		h.Set(headerResumeAt, send.LastEvent)
	}
	if len(send.Inputs) > 0 {
		h.Set(headerInputs, strings.Join(send.Inputs, ","))
	}
	return h
}

func (loopbackDialect) Matches(id string, _ int, h http.Header) bool { return h.Get(headerID) == id }

func (loopbackDialect) StatusTarget() string { return "/status" }

func (loopbackDialect) Head(_ string, _ int, h http.Header) relay.Head {
	return relay.Head{NotRun: h.Get(headerNotRun) != "", InputMissing: h.Get(headerGone) != "", Signed: h.Get(headerSigned) != ""}
}

// script writes the bytes of an answer to a request. Its connection is closed in good order
// afterwards, or reset if it returns true.
type script func(w io.Writer, r *http.Request) (reset bool)

// scriptedServer is a backend server that answers over loopback connections.
type scriptedServer struct {
	listener net.Listener
	answer   script

	mu sync.Mutex
	// requests counts the requests that it received.
	requests int
}

func newScriptedServer(t *testing.T, answer script) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedServer{listener: l, answer: answer}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.requests++
	s.mu.Unlock()
	answer := bufio.NewWriterSize(c, 1<<20)
	reset := s.answer(answer, r)
	if answer.Flush() != nil || !reset {
		return
	}
	// A reset overtakes data that has not been read.
	time.Sleep(resetDelay)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

const resetDelay = 20 * time.Millisecond

func (s *scriptedServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *scriptedServer) address(t *testing.T) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(s.listener.Addr().String())
	assert.NilError(t, err)
	return a
}

// loopbackSite is a core whose servers answer over loopback connections.
type loopbackSite struct {
	core     *relay.Core
	engines  *enginepool.Group
	limits   *ratelimit.Group
	suspects *trial.Group
	stages   *stageRecorder
	// listed has the servers.
	listed []*relay.Server
}

// loopbackSlots is how many requests each server processes at once.
const loopbackSlots = 8

// newLoopbackSite returns a core that sends the requests of both services to servers.
func newLoopbackSite(t *testing.T, servers ...*scriptedServer) *loopbackSite {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := netip.MustParseAddrPort("127.0.0.1:1")
	hosts := owner.NewHosts([]owner.Peer{{Address: self, Control: self}})
	owners := owner.NewFinder(self, func() *owner.Hosts { return hosts })
	pool := exchange.NewPool((&net.Dialer{}).DialContext, exchange.Unobserved{})
	t.Cleanup(func() { cancel(); pool.Close() })
	engines := enginepool.New(ctx, enginepool.Options{Owners: owners, HTTP: http.DefaultClient, Log: log, Scope: tally.NoopScope})
	limits := ratelimit.New(ratelimit.Options{
		Self: self, Registry: ratelimit.NewRegistry(steady, log, tally.NoopScope), Owners: owners, SinceBoot: steady, Log: log, Scope: tally.NoopScope,
		Slots: func(string) int { return loopbackSlots }, Done: ctx.Done(),
	})
	suspects := trial.New(trial.Options{
		Owners: owners, Spread: func([]suspect.Crash) {}, Log: log, Scope: tally.NoopScope,
		RequestTrial: func(context.Context, netip.AddrPort, suspect.Digest) (bool, error) { return true, nil },
		ReleaseTrial: func(netip.AddrPort, suspect.Digest) {},
	})
	known := make(chan struct{})
	close(known)
	stages := &stageRecorder{}
	core := relay.New(relay.Options{
		Stages:  stages.group(ctx, self, owners, log),
		Context: ctx, Zone: "a", Dialect: loopbackDialect{}, Servers: pool, Engines: engines, Limits: limits, Suspects: suspects,
		Notices: notice.NewRegistry(notice.Options{
			SinceBoot: steady, Random: rand.New(rand.NewPCG(1, 2)), Log: log, Scope: tally.NoopScope, UsesLoad: func() bool { return false },
		}),
		Confirm:          func(context.Context) bool { return true },
		SuspectsReceived: known, SinceBoot: steady, Hosts: func() int { return 1 }, Log: log, Scope: tally.NoopScope,
		Random: rand.New(rand.NewPCG(1, 1)), RetryShare: 1, RetryReserve: 100, RetryWindow: time.Millisecond,
	})
	var changes []listed.Change[relay.Server]
	var placed []listed.Change[placing.Engine]
	for i, s := range servers {
		for _, service := range []string{engineService, plainService} {
			instance := fmt.Sprintf("%s-%d", service, i)
			changes = append(changes, listed.Change[relay.Server]{Service: service, New: &relay.Server{
				Instance: instance, Service: service, Address: s.address(t), Zone: "a", Slots: loopbackSlots,
			}})
			if service == engineService {
				placed = append(placed, listed.Change[placing.Engine]{Service: service, New: &placing.Engine{Instance: instance, Address: s.address(t), Zone: "a"}})
			}
		}
	}
	engines.Configure(placed)
	core.ChangeServers(changes)
	core.SetCatalog(loopbackCatalog())
	site := &loopbackSite{core: core, engines: engines, limits: limits, suspects: suspects, stages: stages}
	for _, c := range changes {
		site.listed = append(site.listed, c.New)
	}
	return site
}

// setVersions sets the software versions of the servers, in the order in which they were given.
func (s *loopbackSite) setVersions(versions []string) {
	var changes []listed.Change[relay.Server]
	for i, old := range s.listed {
		changed := *old
		changed.Version = versions[i*len(versions)/len(s.listed)]
		changes = append(changes, listed.Change[relay.Server]{Service: old.Service, Old: old, New: &changed})
		s.listed[i] = &changed
	}
	s.core.ChangeServers(changes)
}

// loopbackCatalog has a route for each kind of request.
func loopbackCatalog() *relay.Catalog {
	route := func(name, service string, change func(r *relay.Route)) relay.Route {
		r := relay.Route{
			Name: name, Host: loopbackHost, Prefix: "/" + name + "/", Public: true, Timeout: 5 * time.Second, Objective: time.Second,
			MaxAttempts: 2, Targets: []relay.Target{{Service: service, Weight: 1}},
		}
		change(&r)
		return r
	}
	return relay.NewCatalog(1, []relay.Route{
		route("stream", engineService, func(r *relay.Route) { r.Stream = true }),
		route("resumable", engineService, func(r *relay.Route) { r.Stream, r.Resumable, r.Repeatable = true, true, true }),
		route("once", plainService, func(*relay.Route) {}),
		route("repeatable", plainService, func(r *relay.Route) { r.Repeatable = true }),
	}, []relay.Service{{Name: engineService, Engine: &relay.Engine{}}, {Name: plainService}}, nil, relay.Limits{})
}

// recordingSink records the answer to a caller.
type recordingSink struct {
	status  int
	body    strings.Builder
	openEnd bool
}

func (s *recordingSink) Start(status int, _ http.Header) { s.status = status }

// OmitEnd records that the end of the answer is not marked for the caller.
func (s *recordingSink) OmitEnd() { s.openEnd = true }

func (s *recordingSink) Write(part []byte) error {
	_, err := s.body.Write(part)
	return err
}

var loopbackIDs atomic.Int64

// serve sends a request of the given route and returns its answer.
func (s *loopbackSite) serve(t *testing.T, route string) (*recordingSink, error) {
	t.Helper()
	sink := &recordingSink{}
	err := s.core.Serve(t.Context(), loopbackRequest(fmt.Sprintf("r-%d", loopbackIDs.Add(1)), route), sink)
	return sink, err
}

func loopbackRequest(id, route string) *relay.Request {
	return &relay.Request{
		ID: id, Method: http.MethodPost, Target: "/" + route + "/x", Path: "/" + route + "/x", Host: loopbackHost,
		Header: http.Header{}, Arrived: time.Now(), TokensIn: 10, TokensOut: 10,
	}
}

// framing is a way in which a server marks the end of an answer.
type framing string

const (
	framingLength     framing = "length"
	framingChunked    framing = "chunked"
	framingConnection framing = "connection"
)

var framings = []framing{framingLength, framingChunked, framingConnection}

// writeAnswer writes an answer of which only the first cut bytes of the body are sent; all of it
// if cut is its length.
func writeAnswer(w io.Writer, r *http.Request, f framing, contentType, body string, cut int) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Type: %s\r\n", headerID, r.Header.Get(headerID), headerSigned, contentType)
	switch f {
	case framingLength:
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n\r\n%s", len(body), body[:cut])
	case framingChunked:
		_, _ = io.WriteString(w, "Transfer-Encoding: chunked\r\n\r\n")
		if cut > 0 {
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", cut, body[:cut])
		}
		if cut == len(body) {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}
	case framingConnection:
		_, _ = io.WriteString(w, "\r\n"+body[:cut])
	}
}

// isBroken reports whether the caller sees that an answer is incomplete, or gets a failure.
func isBroken(err error) bool { return err != nil && verdict.Of(err) != verdict.NotRun }
