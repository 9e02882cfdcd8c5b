// Copyright 2026 The Wingvale Authors
// SPDX-License-Identifier: Apache-2.0

//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of a model runner. A run makes events, each of which holds its number.
type engine struct {
	site *site
	id   string
	// pace is the time between two events, and events how many a whole stream has.
	pace   time.Duration
	events int
	// act, if it is set and returns true, has served the run in its own way.
	act func(r *engineRun) bool

	mu   sync.Mutex
	runs int
}

// engineRun is one run of a stream.
type engineRun struct {
	engine *engine
	conn   net.Conn
	id     string
	// after is the event after which the run goes on, and tokens the size of the prompt.
	after, tokens int
	// gone is closed when the other end has closed the connection.
	gone chan struct{}
}

// newEngine starts an engine and lists it.
func newEngine(s *site, id, zone string) *engine {
	e := &engine{site: s, id: id, pace: 25 * time.Millisecond, events: 24}
	s.addServer(id, "model", s.serve(e), zone, 64)
	return e
}

// ServeHTTP serves the report, and streams.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/wingvale/report":
		e.mu.Lock()
		running := e.runs
		e.mu.Unlock()
		reply(w, map[string]any{
			"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy_slots": false, "seq": 0,
			"waiting": 0, "running": running, "kv_used": 41000, "kv_total": 343821, "handles": 0,
		})
		return
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	tokens, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	a := &engineRun{engine: e, conn: c, id: r.Header.Get("Attempt-Id"), after: after, gone: make(chan struct{})}
	a.tokens, _ = strconv.Atoi(tokens)
	go a.watch(buffered.Reader)
	e.count(1)
	defer e.count(-1)
	e.site.line("%s gets %s of %d tokens, Last-Event-Id %q, Deadline-Ms %s", e.id, a.id, a.tokens, r.Header.Get("Last-Event-Id"), r.Header.Get("Deadline-Ms"))
	if e.act != nil && e.act(a) {
		return
	}
	a.serve()
}

// tokensPerMs is how many prompt tokens an engine reads in a ms, as the sheet of deskshare-qld gives it.
const tokensPerMs = 38.4

// read reads the prompt. It reports false if the other end has left meanwhile.
func (a *engineRun) read() bool {
	return a.wait(20*time.Millisecond + time.Duration(float64(a.tokens)/tokensPerMs*float64(time.Millisecond)))
}

// serve serves a run as a sound engine does.
func (a *engineRun) serve() {
	if !a.read() {
		a.end()
		return
	}
	a.head()
	a.stream(a.after+1, a.engine.events)
	a.end()
}

func (e *engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs += n
}

// watch notices that the other end has closed the connection.
func (a *engineRun) watch(r *bufio.Reader) {
	_, _ = io.Copy(io.Discard, r)
	close(a.gone)
}

// left reports whether the other end has closed the connection. A run is dropped then.
func (a *engineRun) left() bool {
	select {
	case <-a.gone:
		return true
	default:
		return false
	}
}

// wait works for a while. It reports false if the other end has left meanwhile.
func (a *engineRun) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-a.gone:
		return false
	}
}

// head writes the head of the answer.
func (a *engineRun) head() {
	a.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + a.id + "\r\nResponse-Signature: " + a.engine.id + "." + a.id + "\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
}

// chunk returns a chunk with the given content.
func chunk(content string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(content), content)
}

func (a *engineRun) write(text string) {
	_, _ = io.WriteString(a.conn, text)
}

// stream writes the events from one to another.
func (a *engineRun) stream(from, to int) {
	for n := from; n <= to && !a.left(); n++ {
		a.write(chunk(event(n)))
		if n < to && !a.wait(a.engine.pace) {
			return
		}
	}
}

// end ends a whole answer.
func (a *engineRun) end() {
	if a.left() {
		a.engine.site.line("%s drops %s: its channel was closed", a.engine.id, a.id)
		return
	}
	a.write("0\r\n\r\n")
	a.engine.site.line("%s ends %s", a.engine.id, a.id)
}

// streamRequest returns a request for a stream.
func streamRequest(n *node, id string) request {
	return request{
		node: n, id: id, method: http.MethodPost, path: "/puxa400/2f", deadline: 6 * time.Second, body: strings.Repeat("a", 200),
		headers: []string{"Model: m", "Token-Usage: 1460,72", "Prompt-Prefix: 5c1e07" + id[len(id)-2:] + ":800," + id + ":660"},
	}
}

// longRequest returns a request with the longest prompt of deskshare-qld, whose parts have 6,290, 11,300 and 39,600
// tokens at most. An engine reads it in 1.5 s.
func longRequest(n *node, id string) request {
	r := streamRequest(n, id)
	r.headers = []string{"Model: m", "Token-Usage: 57190,72", "Prompt-Prefix: 5c1e07a2:6290,9" + id[1:] + ":11300," + id + ":39600"}
	return r
}

const longTokens = 57190

// load sends short streams to some nodes from some callers, one after the other, until stop. It counts those that were
// answered.
func (s *site) load(callers int, nodes []*node, stop <-chan struct{}, answered *atomic.Int64) (wait func()) {
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			// The callers don't send all at once.
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				n := nodes[(i+k)%len(nodes)]
				// The last two digits name the shared part of the prompt.
				r := streamRequest(n, fmt.Sprintf("%08x%06x%02x", 0xc000+i, k, (13*i+k)%256))
				a := s.send(context.Background(), r)
				s.line("caller gets %s from %s: status %d, whole %t, %d events", r.id, n.name, a.status, a.whole, len(events(a.body)))
				if a.err != nil && a.status == 0 {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				answered.Add(1)
			}
		})
	}
	return all.Wait
}

// garble is the dose of a garble of the platform: for so long at a time, so much of the answers of the servers that
// it strikes.
type garble struct {
	length, pause time.Duration
	share         float64

	mu      sync.Mutex
	began   time.Time
	answers int
	cut     int
	// windowAnswers and windowCut are those of the present window, and window is its number.
	windowAnswers, windowCut, window int
}

// newGarble returns a dose whose first window begins now.
func newGarble(length, pause time.Duration, share float64) *garble {
	return &garble{length: length, pause: pause, share: share, began: time.Now()}
}

// enter counts in the window that a moment is in. It reports false between two windows. The mutex must be held.
func (g *garble) enter() bool {
	since := time.Since(g.began)
	if window := int(since / (g.length + g.pause)); window != g.window {
		g.window, g.windowAnswers, g.windowCut = window, 0, 0
	}
	return since%(g.length+g.pause) < g.length
}

// answered counts an answer of a server that the garble strikes.
func (g *garble) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.enter() {
		g.answers++
		g.windowAnswers++
	}
}

// strikes reports whether an answer is cut off: within a window, and only while the share allows one more, in this
// window and over all.
func (g *garble) strikes() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.enter() || float64(g.windowCut+1) > g.share*float64(g.windowAnswers+1) {
		return false
	}
	g.answers++
	g.windowAnswers++
	g.cut++
	g.windowCut++
	return true
}

// mustServe makes sure that the site serves an ordinary stream before the case begins.
func (s *site) mustServe() {
	for i, n := range s.nodes {
		r := streamRequest(n, fmt.Sprintf("%016x", 0x9000+i))
		if a := s.send(context.Background(), r); a.status != http.StatusOK || !a.whole {
			panic(cannotRun{fmt.Errorf("%s does not serve an ordinary stream: status %d, %w", n.name, a.status, a.err)})
		}
	}
	s.line("all nodes serve an ordinary stream")
}

// allEvents has the numbers of the events of a whole stream.
func (e *engine) allEvents() []int {
	list := make([]int, 0, e.events)
	for n := range e.events {
		list = append(list, n+1)
	}
	return list
}

// events returns the numbers of the events in a body.
func events(body string) []int {
	var list []int
	for line := range strings.SplitSeq(body, "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(text)
			list = append(list, n)
		}
	}
	return list
}

// streamConfig returns a configuration with one route of resumable streams, like the example of the wire.
func streamConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-stream", "hostname": hostName, "path_prefix": "/puxa400/", "kind": "stream", "timeout_ms": 6000, "target_latency_ms": 1100,
			"priority": 0, "service": "model", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 200,
		}, map[string]any{
			"name": "r-write", "hostname": hostName, "path_prefix": "/cufi501/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 2, "service": "plain", "max_attempts": 1, "public": false,
		}, map[string]any{
			"name": "r-read", "hostname": hostName, "path_prefix": "/wuhu344/", "kind": "idempotent", "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 2, "service": "plain", "max_attempts": 2, "public": false,
		}},
		"services": []any{
			map[string]any{
				"name": "model", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv_capacity_tokens": 343821, "kv_token_bytes": 163840, "link_mbps": 260000.0, "moves": true, "backups": true, "stride": 3,
					"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "plain", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	}
}
